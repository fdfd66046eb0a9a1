package forwarder

import (
	"slices"
	"time"
)

// placeableShards returns the number of shards that have a target. The first sub-requests
// of a scatter-gather query are sent together, as those of some shards would be useless
// without the others, so each of its shards needs room at a target at once.
func (q *Query) placeableShards(now time.Time) int {
	by := now
	if !q.route.Gathers() {
		by = q.latestLimitedSend(now)
	}
	n := 0
	for i := range q.shards {
		if !q.exhausted(&q.shards[i], by) {
			n++
		}
	}
	return n
}

// countLimited records the shards of a query that was not started because the limits of
// their targets leave no room.
func (q *Query) countLimited(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if q.exhausted(s, now) && !q.exhausted(s, now.Add(maxLimitedTime)) {
			q.placementFailures.Limited++
		}
	}
}

// RetryAt returns when enough shards will have a target that takes requests, by the limits
// and pauses that the targets have named. It is the zero time if too few can be reached.
func (q *Query) RetryAt() time.Time {
	var times []time.Time
	for i := range q.shards {
		if at, ok := q.targetPlacer.AvailableAt(q.directory.Targets(q.shards[i].service)); ok {
			times = append(times, at)
		}
	}
	if len(times) < q.minShards() {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[q.minShards()-1]
}

// limitWaitShare is the part of the latency objective for which a request waits until the
// limit of a target leaves room. Later, it is better for the caller to know.
const limitWaitShare = 0.25

// maxLimitedTime is longer than the word of a target keeps requests away from it.
const maxLimitedTime = time.Hour

// latestLimitedSend returns the time until which the request waits for the limit of a
// target.
func (q *Query) latestLimitedSend(now time.Time) time.Time {
	latest := q.arrived.Add(time.Duration(limitWaitShare * float64(q.route.LatencyObjective)))
	if latest.Before(now) {
		return now
	}
	return latest
}
