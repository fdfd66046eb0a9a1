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

// fakePlacing takes the first target that was not tried, and hedges after a
// fixed delay.
type fakePlacing struct {
	delay  time.Duration
	refuse bool
	placed int
	down   map[string]bool
}

func (f *fakePlacing) Reachable(target string) bool { return !f.down[target] }

func (f *fakePlacing) Place(now time.Time, r placer.Request) (placer.Placement, placer.Outcome) {
	if f.refuse && r.Again {
		return placer.Placement{}, placer.NoTarget
	}
	for _, record := range r.Targets {
		tried := f.down[record.ID]
		for _, id := range r.Avoid {
			tried = tried || id == record.ID
		}
		if !tried {
			f.placed++
			return placer.Placement{Record: record, Started: now}, placer.Placed
		}
	}
	return placer.Placement{}, placer.NoTarget
}

func (f *fakePlacing) HedgeAt(_ string, _ time.Duration, placed placer.Placement) time.Time {
	return placed.Started.Add(f.delay)
}

type directory map[string][]registrar.Record

func (d directory) Targets(service string) []registrar.Record { return d[service] }

type world struct {
	placing   *fakePlacing
	directory directory
	route     router.Route
	services  []string
}

// newWorld returns a gathering route over shards of three replicas each.
func newWorld(shards int) *world {
	w := &world{
		placing:   &fakePlacing{delay: 10 * time.Millisecond},
		directory: make(directory),
		route: router.Route{
			Name: "sweep", Repeatable: true, Aim: 100 * time.Millisecond, MaxAttempts: 2, LeastShare: 0.75,
		},
	}
	for i := range shards {
		service := fmt.Sprintf("shard-%d", i)
		w.services = append(w.services, service)
		for k := range 3 {
			id := fmt.Sprintf("%s-%d", service, k)
			w.directory[service] = append(w.directory[service], registrar.Record{Target: registrar.Target{ID: id, Service: service, Slots: 2}})
		}
	}
	w.route.Shards = w.services
	return w
}

// single turns the world into one with a plain route.
func (w *world) single(repeatable bool) *world {
	w.route.Shards = nil
	w.route.Repeatable = repeatable
	return w
}

func (w *world) query() *forwarder.Query {
	table := router.NewTable(1, router.Limits{}, []router.Route{w.route}, nil)
	return forwarder.New(forwarder.DefaultConfig(), w.placing, w.directory, table, &w.route, w.services, at(0), at(1000))
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A query whose partial answer is not good enough yet when its aim has passed
// must wait for answers. It woke at once, again and again, and took the whole
// processor while targets were slow.
func TestWaitsPastItsAim(t *testing.T) {
	w := newWorld(4)
	w.placing.refuse = true
	q := w.query()
	q.Start(at(0))
	q.Answered(0, 0)
	q.Wake(at(10))
	again := at(10).Add(forwarder.DefaultConfig().PlaceAgain)
	check(t, "wake", q.NextWake(), again)
	check(t, "verdict", q.Judge(at(200)), forwarder.Waiting)
}

// While few shards are slow, a partial answer within the aim is worth more than
// a whole one after it.
func TestPartialAnswerBeforeTheAim(t *testing.T) {
	q := newWorld(4).query()
	q.Start(at(0))
	for shard := range 3 {
		q.Answered(shard, 0)
	}
	check(t, "early", q.Judge(at(20)), forwarder.Waiting)
	cut := at(100).Add(-forwarder.DefaultConfig().CallerTime)
	check(t, "late", q.Judge(cut), forwarder.Partial)
	check(t, "missing", q.Missing(), 1)
}

// A slow shard is asked at a second replica after the delay, and at no more
// than the route allows.
func TestHedgesOnce(t *testing.T) {
	q := newWorld(1).query()
	check(t, "first", len(q.Start(at(0))), 1)
	check(t, "early", len(q.Wake(at(9))), 0)
	sends := q.Wake(at(10))
	check(t, "hedges", len(sends), 1)
	check(t, "target", sends[0].Placement.Record.ID, "shard-0-1")
	check(t, "again", len(q.Wake(at(30))), 0)
}

// A request that must not run twice is neither hedged nor sent again once a
// target may have run it, and is then not said to have not run.
func TestRunsAtMostOnce(t *testing.T) {
	q := newWorld(1).single(false).query()
	q.Start(at(0))
	check(t, "hedges", len(q.Wake(at(500))), 0)
	check(t, "retries", len(q.Failed(at(500), 0, 0, placer.Lost)), 0)
	check(t, "verdict", q.Judge(at(500)), forwarder.Unserved)
}

// A target that states it has not run the request leaves it free for another.
func TestRefusedRequestMoves(t *testing.T) {
	q := newWorld(1).single(false).query()
	q.Start(at(0))
	check(t, "retries", len(q.Failed(at(1), 0, 0, placer.Refused)), 1)
	check(t, "last", len(q.Failed(at(2), 0, 1, placer.Refused)), 0)
	check(t, "verdict", q.Judge(at(2)), forwarder.NotRun)
}

// When too few shards have a target, the caller hears at once instead of at its
// deadline, and no target works for nothing.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	w := newWorld(4)
	w.directory["shard-1"], w.directory["shard-2"] = nil, nil
	q := w.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "verdict", q.Judge(at(0)), forwarder.NotRun)
}

// When every target of too many shards is known to be down, the caller is
// refused before any work begins. Such requests were sent, ran at the other
// shards and were held until their deadline.
func TestUnreachableShardsAreRefusedAtOnce(t *testing.T) {
	w := newWorld(4)
	w.placing.down = map[string]bool{}
	for _, shard := range []string{"shard-1", "shard-2"} {
		for _, record := range w.directory[shard] {
			w.placing.down[record.ID] = true
		}
	}
	q := w.query()
	check(t, "sends", len(q.Start(at(0))), 0)
	check(t, "verdict", q.Judge(at(0)), forwarder.NotRun)
}

// A shard whose last target goes down while the request runs is not waited for.
func TestShardThatGoesDownIsNotWaitedFor(t *testing.T) {
	w := newWorld(2)
	w.placing.down = map[string]bool{"shard-0-1": true, "shard-0-2": true}
	q := w.query()
	q.Start(at(0))
	w.placing.down["shard-0-0"] = true
	check(t, "retries", len(q.Failed(at(5), 0, 0, placer.Unsent)), 0)
	check(t, "verdict", q.Judge(at(5)), forwarder.Unserved)
}

// A lost answer that the budget does not allow to ask for again must not hold
// the caller until its deadline.
func TestNoBudgetEndsAtTheAim(t *testing.T) {
	w := newWorld(2)
	w.placing.refuse = true
	q := w.query()
	q.Start(at(0))
	q.Answered(1, 0)
	check(t, "retries", len(q.Failed(at(5), 0, 0, placer.Lost)), 0)
	check(t, "early", q.Judge(at(5)), forwarder.Waiting)
	late := at(100)
	q.Wake(late)
	check(t, "late", q.Judge(late), forwarder.Unserved)
}
