package measurer

import (
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/driver"
)

// Size of the timeline: about as many points as a plot can show, with intervals
// long enough to compute a quantile.
const (
	timelinePoints   = 100
	shortestInterval = 250 * time.Millisecond
)

// timelineOf splits the run into intervals of equal length. It assigns requests
// by their intended send time.
func timelineOf(run *driver.Run, requests []*request) []Bucket {
	total := run.Workload.TotalDuration()
	interval := max(total/timelinePoints, shortestInterval)
	groups := make([][]*request, int((total+interval-1)/interval))
	for _, r := range requests {
		if i := int(r.offset / interval); i >= 0 && i < len(groups) {
			groups[i] = append(groups[i], r)
		}
	}
	loads := extraLoadByInterval(run, interval, len(groups))
	timeline := make([]Bucket, len(groups))
	for i, group := range groups {
		timeline[i] = bucketOf(group, interval)
		timeline[i].At = Duration(time.Duration(i) * interval)
		timeline[i].ExtraLoad = loads[i]
	}
	return timeline
}

func bucketOf(group []*request, interval time.Duration) Bucket {
	latency := latencyOf(group, includeAll)
	good := 0.0
	for _, r := range group {
		if r.good {
			good++
		}
	}
	return Bucket{
		Offered: float64(len(group)) / interval.Seconds(), Goodput: good / interval.Seconds(),
		P50: latency.P50, P99: latency.P99, Coverage: coverageOf(group).Mean,
	}
}

func extraLoadByInterval(run *driver.Run, interval time.Duration, count int) []float64 {
	runs := searchRuns(run)
	extra, needed := make([]float64, count), make([]float64, count)
	for i, isExtra := range extraRuns(runs) {
		slot := int(sinceStart(run, runs[i]) / interval)
		if slot < 0 || slot >= count {
			continue
		}
		if isExtra {
			extra[slot]++
		} else {
			needed[slot]++
		}
	}
	for i := range extra {
		extra[i] = ratio(extra[i], needed[i])
	}
	return extra
}

func sinceStart(run *driver.Run, r checker.Run) time.Duration {
	return r.Start.Sub(run.Start)
}
