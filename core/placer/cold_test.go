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

// coldFleet sends requests of many VMs to a shard of which one target is cold, until its
// cold start is over, and returns the times of those that reach the cold target.
func coldFleet(vms int, perSecond float64, length time.Duration, limits placer.Limits, change func(now time.Time, p *placer.Placer, vm int)) []time.Time {
	rng := rand.New(rand.NewPCG(1, 2))
	limits.VMsByDomain = map[string]int{}
	for i := range vms {
		limits.VMsByDomain[fmt.Sprint("domain-", i%3)]++
	}
	limits.EntryVMs, limits.Domains = vms, 3
	var targets []registrar.Record
	for k := range 3 {
		r := registrar.Record{Target: registrar.Target{ID: fmt.Sprint("i-", k), Service: "shard", Domain: fmt.Sprint("domain-", k), Slots: 4}}
		if k == 0 {
			r.ColdUntil = start.Add(length)
		}
		targets = append(targets, r)
	}
	var placers []*placer.Placer
	for i := range vms {
		p := placer.New(placer.DefaultConfig(), fmt.Sprint("vm-", i), fmt.Sprint("domain-", i%3), rand.New(rand.NewPCG(3, uint64(i))))
		p.SetLimits(limits)
		placers = append(placers, p)
	}
	var arrivals []time.Time
	const rate = 3000
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		i := rng.IntN(vms)
		change(at, placers[i], i)
		placed, outcome := placers[i].Place(at, placer.Request{Service: "shard", Targets: targets, MaxConnections: 1 << 20, ColdRate: perSecond})
		if outcome != placer.Placed {
			continue
		}
		if placed.Record.ID == "i-0" {
			arrivals = append(arrivals, at)
		}
		placers[i].Ended(at.Add(3*time.Millisecond), longRoute, latencyObjective, placed, placer.Answered)
	}
	return arrivals
}

// mostInSecond returns the largest number of times within a second.
func mostInSecond(times []time.Time) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// All VMs together must keep to the bound on requests to a cold target in each second, also
// when its replicas fail and all VMs turn to it at the same instant, and must use most of
// the rate that is planned for it.
func TestColdTargetKeepsBelowItsBound(t *testing.T) {
	for _, c := range []struct {
		vms       int
		perSecond float64
	}{{142, 2}, {142, 10}, {142, 50}, {70, 10}, {9, 10}, {9, 200}} {
		t.Run(fmt.Sprintf("%d VMs, %v a second", c.vms, c.perSecond), func(t *testing.T) {
			const length = 30 * time.Second
			failAt := start.Add(10 * time.Second)
			arrivals := coldFleet(c.vms, c.perSecond, length, placer.Limits{ColdOverage: 1.5, ColdSlack: 5}, func(now time.Time, p *placer.Placer, _ int) {
				p.SetReachable("i-1", now.Before(failAt))
				p.SetReachable("i-2", now.Before(failAt))
			})
			allowed := 1.5*c.perSecond + 5
			most := mostInSecond(arrivals)
			late := 0
			for _, at := range arrivals {
				if at.After(failAt) {
					late++
				}
			}
			used, planned := float64(late)/20, pacer.DefaultSlotConfig().PerSecond(allowed)
			t.Logf("at most %d in a second, allowed %.0f; %.1f a second once the others have failed, planned %.1f", most, allowed, used, planned)
			if float64(most) > allowed {
				t.Errorf("%d requests in a second, allowed %.0f", most, allowed)
			}
			if used < 0.8*planned {
				t.Errorf("%.1f requests a second, planned %.1f", used, planned)
			}
		})
	}
}

// While a VM does not know how many others there are, it must send nothing to a cold target:
// 142 VMs that each take themselves for one of 9 would send 16 times the bound.
func TestColdTargetGetsNothingFromUncountedVMs(t *testing.T) {
	arrivals := coldFleet(142, 10, 3*time.Second, placer.Limits{ColdOverage: 1.5, ColdSlack: 5}, func(_ time.Time, p *placer.Placer, _ int) {
		p.SetReachable("i-1", false)
		p.SetReachable("i-2", false)
		p.SetLimits(placer.Limits{EntryVMs: 9, Uncounted: true, ColdOverage: 1.5, ColdSlack: 5})
	})
	if len(arrivals) > 0 {
		t.Errorf("%d requests", len(arrivals))
	}
}

// A target that says itself that it is cold must be treated as such, whatever its
// registration says, and without the bounds nothing may be held back.
func TestColdTargetByItsOwnWord(t *testing.T) {
	count := func(limits placer.Limits, cold time.Duration) int {
		p := placer.New(placer.DefaultConfig(), "vm-0", "domain-0", rand.New(rand.NewPCG(1, 1)))
		limits.EntryVMs = 1
		p.SetLimits(limits)
		p.ObserveCold(start, "i-0", cold)
		targets := []registrar.Record{{Target: registrar.Target{ID: "i-0", Service: "shard", Domain: "domain-0", Slots: 4}}}
		n := 0
		for i := range 1000 {
			at := start.Add(5*time.Second + time.Duration(i)*time.Millisecond)
			placed, outcome := p.Place(at, placer.Request{Service: "shard", Targets: targets, MaxConnections: 1 << 20, ColdRate: 10})
			switch outcome {
			case placer.Placed:
				n++
				p.Ended(at, longRoute, latencyObjective, placed, placer.Answered)
			case placer.Limited:
			default:
				t.Fatalf("outcome %d", outcome)
			}
		}
		return n
	}
	bounds := placer.Limits{ColdOverage: 1.5, ColdSlack: 5}
	if n := count(bounds, time.Minute); n > 20 {
		t.Errorf("%d requests to a cold target, allowed 20", n)
	}
	if n := count(bounds, time.Second); n != 1000 {
		t.Errorf("%d of 1000 requests to a target that is no longer cold", n)
	}
	if n := count(placer.Limits{}, time.Minute); n != 1000 {
		t.Errorf("%d of 1000 requests without bounds", n)
	}
}
