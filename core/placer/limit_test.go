package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
)

// limitedFleet is the entry VMs of several failure domains and three replicas of a shard,
// in three of the domains, that have named a limit.
type limitedFleet struct {
	placers  []*placer.Placer
	targets  []registrar.Record
	limit    pacer.Limit
	rng      *rand.Rand
	arrivals map[string][]time.Time
}

func newLimitedFleet(vms, domains int, limit pacer.Limit) *limitedFleet {
	f := &limitedFleet{limit: limit, rng: rand.New(rand.NewPCG(1, 2)), arrivals: make(map[string][]time.Time)}
	byDomain := make(map[string]int)
	domain := func(i int) string { return fmt.Sprint("domain-", i%domains) }
	for i := range vms {
		byDomain[domain(i)]++
	}
	for i := range vms {
		p := placer.New(placer.DefaultConfig(), fmt.Sprint("vm-", i), domain(i), rand.New(rand.NewPCG(3, uint64(i))))
		p.SetLimits(placer.Limits{EntryVMs: vms, VMsByDomain: byDomain, Domains: domains})
		f.placers = append(f.placers, p)
	}
	for k := range 3 {
		f.targets = append(f.targets, registrar.Record{Target: registrar.Target{ID: fmt.Sprint("i-", k), Service: "shard", Domain: domain(k), Slots: 2}})
	}
	return f
}

// run sends requests at a rate for a time. Every third VM gets twice the requests of the
// others, as callers are spread by a hash.
func (f *limitedFleet) run(perSecond float64, length time.Duration) (sent int) {
	const latency = 10 * time.Millisecond
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))) {
		i := f.rng.IntN(len(f.placers))
		if i%3 != 0 && f.rng.IntN(2) == 0 {
			i -= i % 3
		}
		placed, outcome := f.placers[i].Place(at, placer.Request{Service: "shard", Targets: f.targets, MaxConnections: 1 << 20})
		if outcome != placer.Placed {
			continue
		}
		sent++
		f.arrivals[placed.Record.ID] = append(f.arrivals[placed.Record.ID], at)
		f.placers[i].ObserveLimit(at.Add(latency), placed, f.limit)
		f.placers[i].Ended(at.Add(latency), longRoute, latencyObjective, placed, placer.Answered)
	}
	return sent
}

// The entry VMs together must keep to the limit that a target has named, and use most of
// it, whatever their number and the spread of callers.
func TestLimitOfManyEntryVMs(t *testing.T) {
	const (
		window = 4 * time.Second
		slack  = 5
		length = 60 * time.Second
	)
	for _, c := range []struct {
		vms, domains int
		perSecond    float64
		// load is a multiple of the limits.
		load float64
		// minUsed is the share of the limits that must be used.
		minUsed float64
	}{
		{9, 3, 30, 2, 0.8},
		{9, 3, 30, 10, 0.8},
		{9, 3, 3, 2, 0.7},
		{9, 3, 3, 10, 0.7},
		{9, 3, 1, 10, 0.7},
		{64, 5, 30, 2, 0.8},
		{64, 5, 30, 10, 0.8},
		{195, 5, 15, 2, 0.6},
		{195, 5, 15, 10, 0.6},
	} {
		t.Run(fmt.Sprintf("%d VMs, %v a second, load %v", c.vms, c.perSecond, c.load), func(t *testing.T) {
			f := newLimitedFleet(c.vms, c.domains, pacer.Limit{Named: true, PerSecond: c.perSecond})
			capacity := c.perSecond * float64(len(f.targets))
			sent := f.run(c.load*capacity, length)
			allowed := 1.5*c.perSecond*window.Seconds() + slack
			// A VM keeps to the limit once an answer has told it.
			settled := start.Add(length / 3)
			for id, times := range f.arrivals {
				for i, first := range times {
					n := 0
					for _, at := range times[i:] {
						if at.Sub(first) < window {
							n++
						}
					}
					if first.After(settled) && float64(n) > allowed {
						t.Fatalf("%s got %d requests in %v, want at most %.0f", id, n, window, allowed)
					}
				}
			}
			if used := float64(sent) / (capacity * length.Seconds()); used < c.minUsed {
				t.Errorf("%.2f of the limits used, want %.2f", used, c.minUsed)
			} else {
				t.Logf("%.2f of the limits used", used)
			}
		})
	}
}

// When the target names no limit any more, nothing is held back.
func TestLimitEnds(t *testing.T) {
	f := newLimitedFleet(9, 3, pacer.Limit{Named: true, PerSecond: 0})
	f.run(50, 10*time.Second)
	f.limit = pacer.Limit{}
	before := f.run(50, 20*time.Second)
	if after := f.run(50, 10*time.Second); after < before/3 {
		t.Errorf("%d requests sent in 10 s after the limit ended", after)
	}
}
