package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/throttler"
)

// index is a model of shards with equal targets. A shard runs slots sub-requests at a
// time, queues some more and refuses the others. Service times vary, so the shards
// that refuse one query are not those that refuse the next.
type index struct {
	slots, queue int
	// serviceTime is the mean of the exponentially distributed service times.
	serviceTime time.Duration
	rng         *rand.Rand
	// mayMiss is the number of shards that an answer may lack, objective the time
	// within which it has to arrive.
	mayMiss   int
	objective time.Duration
	// ends holds, for each shard, when the sub-requests that it has accepted end, in
	// ascending order.
	ends [][]time.Duration
}

func newIndex(slots int) *index {
	const shards = 10
	return &index{
		slots: slots, queue: 12, serviceTime: 20 * time.Millisecond, mayMiss: 1, rng: rand.New(rand.NewPCG(1, 2)),
		objective: 150 * time.Millisecond, ends: make([][]time.Duration, shards),
	}
}

// perSecond is the number of queries that the index can serve in a second.
func (x *index) perSecond() float64 { return float64(x.slots) / x.serviceTime.Seconds() }

// query sends a query to all shards. It returns when the query has ended, and whether
// it was served in time.
func (x *index) query(at time.Duration) (end time.Duration, served bool) {
	end = at
	refused := 0
	for i := range x.ends {
		running := x.ends[i]
		for len(running) > 0 && running[0] <= at {
			running = running[1:]
		}
		if len(running) >= x.slots+x.queue {
			refused++
			x.ends[i] = running
			continue
		}
		begin := at
		if len(running) >= x.slots {
			begin = running[len(running)-x.slots]
		}
		partEnd := begin + time.Duration(x.rng.ExpFloat64()*float64(x.serviceTime))
		end = max(end, partEnd)
		at, _ := slices.BinarySearch(running, partEnd)
		x.ends[i] = slices.Insert(running, at, partEnd)
	}
	if refused > x.mayMiss {
		return at, false
	}
	return end, end-at <= x.objective
}

const (
	urgent = 0
	normal = 1
)

// counts holds numbers of queries by priority.
type counts struct{ arrived, admitted, served [2]float64 }

// ended is the end of a query that the throttle has yet to hear of.
type ended struct {
	at       time.Duration
	priority int
	served   bool
}

// overload replays queries at a rate, three in ten of them urgent, from one time to
// another, and counts those that arrived in the last part of it.
type overload struct {
	throttle admitter
	rng      *rand.Rand
	pending  []ended
}

// admitter decides which queries are sent.
type admitter interface {
	Admit(now time.Time, priority int, draw float64) bool
	Ended(now time.Time, priority int, served bool)
}

// fixedShare admits the same share of all queries.
type fixedShare float64

func (f fixedShare) Admit(_ time.Time, _ int, draw float64) bool { return draw < float64(f) }

func (f fixedShare) Ended(time.Time, int, bool) {}

var epoch = time.Unix(1_700_000_000, 0)

func newOverload(seed uint64, throttle admitter) *overload {
	return &overload{throttle: throttle, rng: rand.New(rand.NewPCG(seed, 1))}
}

// sum returns the number of queries of all priorities.
func sum(n [2]float64) float64 { return n[urgent] + n[normal] }

func (o *overload) replay(x *index, from, to, last time.Duration, perSecond float64) (c counts) {
	const urgentShare = 0.3
	at := from
	for {
		at += time.Duration(o.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return c
		}
		o.tellEnded(at)
		priority := normal
		if o.rng.Float64() < urgentShare {
			priority = urgent
		}
		measured := 0.0
		if at >= to-last {
			measured = 1
		}
		c.arrived[priority] += measured
		if !o.throttle.Admit(epoch.Add(at), priority, o.rng.Float64()) {
			continue
		}
		c.admitted[priority] += measured
		end, served := x.query(at)
		if served {
			c.served[priority] += measured
		}
		o.pending = append(o.pending, ended{at: end, priority: priority, served: served})
	}
}

// tellEnded tells the throttle of the queries that have ended by now.
func (o *overload) tellEnded(now time.Duration) {
	o.pending = slices.DeleteFunc(o.pending, func(e ended) bool {
		if e.at > now {
			return false
		}
		o.throttle.Ended(epoch.Add(e.at), e.priority, e.served)
		return true
	})
}

// Twice the load that an index can serve. Each shard refuses half of what arrives, so
// nearly all queries lose more shards than they may, after the others have worked for
// them: while 18 of 32 targets rejected three in five sub-requests, one query in five
// was served. A throttle must keep most of the capacity, serve the urgent queries
// first and leave no priority without any.
func TestOverloadKeepsMostOfTheCapacity(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play := func(throttle admitter) counts {
				x := newIndex(3)
				return newOverload(seed, throttle).replay(x, 0, 8*time.Second, 4*time.Second, 2*x.perSecond())
			}
			best := 0.0
			for share := 0.3; share < 0.6; share += 0.02 {
				best = max(best, sum(play(fixedShare(share)).served))
			}
			c := play(throttler.New(throttler.DefaultConfig()))
			if got := sum(c.served); got < 0.8*best {
				t.Errorf("%v queries served, want four fifths of the %v that the best fixed share serves", got, best)
			}
			if all := sum(play(fixedShare(1)).served); all > 0.5*best {
				t.Errorf("%v of %v queries served without a throttle, so the model shows no overload", all, best)
			}
			if c.admitted[urgent] < 0.9*c.arrived[urgent] {
				t.Errorf("%v of %v urgent queries admitted, want nine tenths", c.admitted[urgent], c.arrived[urgent])
			}
			if c.admitted[normal] == 0 {
				t.Error("no query of the lower priority admitted")
			}
		})
	}
}

// When the capacity returns, the share has to follow within two seconds.
func TestShareReturnsWithCapacity(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const overloaded, recovered = 8 * time.Second, 11 * time.Second
			o, x := newOverload(seed, throttler.New(throttler.DefaultConfig())), newIndex(3)
			rate := 2 * x.perSecond()
			o.replay(x, 0, overloaded, 0, rate)
			c := o.replay(newIndex(12), overloaded, recovered, time.Second, rate)
			if diff := cmp.Diff(c.arrived, c.admitted); diff != "" {
				t.Errorf("queries in the third second after the overload (-arrived +admitted):\n%s", diff)
			}
		})
	}
}

// Failures that overload didn't cause, and single ones that it did, reject nothing.
func TestLoadBelowCapacityIsAdmitted(t *testing.T) {
	now := epoch
	for name, every := range map[string]int{"one": 1000, "one in twenty": 20} {
		t.Run(name, func(t *testing.T) {
			s := throttler.New(throttler.DefaultConfig())
			for i := range 2000 {
				now = now.Add(20 * time.Millisecond)
				if !s.Admit(now, normal, 0.999999) {
					t.Fatalf("query %d rejected, admitted share %v", i, s.Share(now, normal))
				}
				s.Ended(now, normal, i%every != 0)
			}
		})
	}
}

// A state without queries for a while can be dropped.
func TestIdle(t *testing.T) {
	now := epoch
	s := throttler.New(throttler.DefaultConfig())
	s.Ended(now, normal, true)
	check := func(after time.Duration, want bool) {
		t.Helper()
		if diff := cmp.Diff(want, s.Idle(now.Add(after))); diff != "" {
			t.Errorf("idle after %v (-want +got):\n%s", after, diff)
		}
	}
	check(time.Second, false)
	check(20*time.Second, true)
}
