package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fakePlacer selects the first reachable target that was not tried, and hedges
// after a fixed delay.
type fakePlacer struct {
	delay         time.Duration
	refuseRetries bool
	placed        int
	unreachable   map[string]bool
	// roomAt is when the limit of a target leaves room; the zero time without a limit.
	roomAt map[string]time.Time
}

func (f *fakePlacer) Available(target registrar.Record, by time.Time) bool {
	return !f.unreachable[target.ID] && !by.Before(f.roomAt[target.ID])
}

func (f *fakePlacer) AvailableAt(targets []registrar.Record) (first time.Time, ok bool) {
	for _, target := range targets {
		if at := f.roomAt[target.ID]; !f.unreachable[target.ID] && (!ok || at.Before(first)) {
			first, ok = at, true
		}
	}
	return first, ok
}

func (f *fakePlacer) Place(now time.Time, r placer.Request) (placer.Placement, placer.Outcome) {
	if f.refuseRetries && r.Repeat {
		return placer.Placement{}, placer.NoTarget
	}
	for _, record := range r.Targets {
		tried := !f.Available(record, now)
		for _, id := range r.Avoid {
			tried = tried || id == record.ID
		}
		if !tried {
			f.placed++
			return placer.Placement{Record: record, Started: now}, placer.Placed
		}
	}
	if len(f.roomAt) > 0 {
		return placer.Placement{}, placer.Limited
	}
	return placer.Placement{}, placer.NoTarget
}

func (f *fakePlacer) HedgeAt(_ string, _ time.Duration, placed placer.Placement) time.Time {
	return placed.Started.Add(f.delay)
}

type directory map[string][]registrar.Record

func (d directory) Targets(service string) []registrar.Record { return d[service] }

type fixture struct {
	targetPlacer *fakePlacer
	directory    directory
	route        router.Route
	services     []string
}

// newFixture returns a scatter-gather route over shards of three replicas each.
func newFixture(shards int) *fixture {
	f := &fixture{
		targetPlacer: &fakePlacer{delay: 10 * time.Millisecond},
		directory:    make(directory),
		route: router.Route{
			Name: "sweep", Idempotent: true, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, MinShardShare: 0.75,
		},
	}
	for i := range shards {
		service := fmt.Sprintf("shard-%d", i)
		f.services = append(f.services, service)
		for k := range 3 {
			id := fmt.Sprintf("%s-%d", service, k)
			f.directory[service] = append(f.directory[service], registrar.Record{Target: registrar.Target{ID: id, Service: service, Slots: 2}})
		}
	}
	f.route.Shards = f.services
	return f
}

// plainRoute replaces the scatter-gather route by a plain one.
func (f *fixture) plainRoute(idempotent bool) *fixture {
	f.route.Shards = nil
	f.route.Idempotent = idempotent
	return f
}

func (f *fixture) query() *forwarder.Query {
	table := router.NewTable(1, router.Limits{}, []router.Route{f.route}, nil)
	return forwarder.New(forwarder.DefaultConfig(), f.targetPlacer, f.directory, table, &f.route, f.services, at(0), at(1000))
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A query with too few answers at its latency objective must wait for answers.
// Guards against a busy loop: NextWake returned a time that had already passed,
// and the query used the whole processor while targets were slow.
func TestWaitsPastLatencyObjective(t *testing.T) {
	f := newFixture(4)
	f.targetPlacer.refuseRetries = true
	q := f.query()
	q.Start(at(0))
	q.Answered(at(0), 0, 0)
	q.Wake(at(10))
	retryAt := at(10).Add(forwarder.DefaultConfig().PlaceRetryDelay)
	check(t, "wake", q.NextWake(), retryAt)
	check(t, "decision", q.Decide(at(200)), forwarder.Waiting)
}

// While few shards are slow, a partial answer within the latency objective is
// worth more than a complete one after it.
func TestPartialAnswerBeforeLatencyObjective(t *testing.T) {
	q := newFixture(4).query()
	q.Start(at(0))
	for shard := range 3 {
		q.Answered(at(0), shard, 0)
	}
	check(t, "early", q.Decide(at(20)), forwarder.Waiting)
	cutoff := at(100).Add(-forwarder.DefaultConfig().CallerTime)
	check(t, "late", q.Decide(cutoff), forwarder.Partial)
	check(t, "missing", q.Missing(), 1)
}

// A slow shard is hedged to a second replica after the hedge delay, and to no
// more replicas than the route's attempt limit allows.
func TestHedgesOnce(t *testing.T) {
	q := newFixture(1).query()
	check(t, "first", len(q.Start(at(0))), 1)
	check(t, "early", len(q.Wake(at(9))), 0)
	sends := q.Wake(at(10))
	check(t, "hedges", len(sends), 1)
	check(t, "target", sends[0].Placement.Record.ID, "shard-0-1")
	check(t, "again", len(q.Wake(at(30))), 0)
}

// A request that is not idempotent is neither hedged nor retried once a target
// may have run it, and its failure is then not reported as not run.
func TestRunsAtMostOnce(t *testing.T) {
	q := newFixture(1).plainRoute(false).query()
	q.Start(at(0))
	check(t, "hedges", len(q.Wake(at(500))), 0)
	check(t, "retries", len(q.Failed(at(500), 0, 0, placer.Lost)), 0)
	check(t, "decision", q.Decide(at(500)), forwarder.FailedMaybeRun)
}

// A request that a target refused without running it is retried on another
// target, also when it is not idempotent.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	q := newFixture(1).plainRoute(false).query()
	q.Start(at(0))
	check(t, "retries", len(q.Failed(at(1), 0, 0, placer.Refused)), 1)
	check(t, "last", len(q.Failed(at(2), 0, 1, placer.Refused)), 0)
	check(t, "decision", q.Decide(at(2)), forwarder.NotRun)
}

// When too few shards have a target, the request fails at once instead of at its
// deadline, and no target works on it.
func TestTooFewShardsWithTargetsFailsAtOnce(t *testing.T) {
	f := newFixture(4)
	f.directory["shard-1"], f.directory["shard-2"] = nil, nil
	q := f.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "decision", q.Decide(at(0)), forwarder.NotRun)
}

// A request is refused before any work begins when too many shards have only
// unreachable targets. Such requests were sent, ran at the other shards and were
// held until their deadline.
func TestUnreachableShardsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(4)
	f.targetPlacer.unreachable = map[string]bool{}
	for _, shard := range []string{"shard-1", "shard-2"} {
		for _, record := range f.directory[shard] {
			f.targetPlacer.unreachable[record.ID] = true
		}
	}
	q := f.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "decision", q.Decide(at(0)), forwarder.NotRun)
}

// A shard whose last target becomes unreachable while the request runs is not
// waited for.
func TestShardThatGoesDownIsNotWaitedFor(t *testing.T) {
	f := newFixture(2)
	f.targetPlacer.unreachable = map[string]bool{"shard-0-1": true, "shard-0-2": true}
	q := f.query()
	q.Start(at(0))
	f.targetPlacer.unreachable["shard-0-0"] = true
	check(t, "retries", len(q.Failed(at(5), 0, 0, placer.Unsent)), 0)
	check(t, "decision", q.Decide(at(5)), forwarder.FailedMaybeRun)
}

// A request whose lost answer cannot be retried for lack of retry budget must fail
// at its latency objective, not at its deadline.
func TestNoBudgetEndsAtLatencyObjective(t *testing.T) {
	f := newFixture(2)
	f.targetPlacer.refuseRetries = true
	q := f.query()
	q.Start(at(0))
	q.Answered(at(0), 1, 0)
	check(t, "retries", len(q.Failed(at(5), 0, 0, placer.Lost)), 0)
	check(t, "early", q.Decide(at(5)), forwarder.Waiting)
	late := at(100)
	q.Wake(late)
	check(t, "late", q.Decide(late), forwarder.FailedMaybeRun)
}

// limitUntil sets when the limits of all targets of a shard leave room.
func (f *fixture) limitUntil(shard int, roomAt time.Time) {
	if f.targetPlacer.roomAt == nil {
		f.targetPlacer.roomAt = make(map[string]time.Time)
	}
	for k := range 3 {
		f.targetPlacer.roomAt[fmt.Sprintf("shard-%d-%d", shard, k)] = roomAt
	}
}

// Under limits that leave no room for a query, the parts that the other shards have room
// for must not be used up.
func TestQueryBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	f := newFixture(4)
	f.limitUntil(0, at(20))
	f.limitUntil(1, at(20))
	q := f.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "decision", q.Decide(at(0)), forwarder.NotRun)
	check(t, "limited", q.PlacementFailures().Limited, 2)
}

// A shard without room soon is left out at once, so that the partial answer does not wait
// for it.
func TestShardBeyondItsLimitIsLeftOut(t *testing.T) {
	f := newFixture(4)
	f.limitUntil(0, at(60))
	q := f.query()
	check(t, "sends", len(q.Start(at(0))), 3)
	for shard := 1; shard < 4; shard++ {
		q.Answered(at(0), shard, 0)
	}
	check(t, "decision", q.Decide(at(5)), forwarder.Partial)
}

// A plain request waits a moment for room, and no longer than leaves its caller time for
// another attempt.
func TestPlainRequestWaitsForRoom(t *testing.T) {
	f := newFixture(1).plainRoute(true)
	f.limitUntil(0, at(20))
	q := f.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "decision", q.Decide(at(0)), forwarder.Waiting)
	check(t, "sends with room", len(q.Wake(at(20))), 1)
	f.limitUntil(0, at(60))
	q = f.query()
	q.Start(at(0))
	check(t, "decision without room", q.Decide(at(0)), forwarder.NotRun)
}
