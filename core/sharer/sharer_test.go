package sharer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/sharer"
)

// fleet replays requests at several VMs that exchange their loads and share an index.
type fleet struct {
	rng *rand.Rand
	vms []*sharer.State
	now time.Time
	// capacity is the number of requests that the index serves in a second.
	capacity float64
	// throttled is unset to admit all requests.
	throttled bool
}

const (
	vmCount = 23
	// exchangeInterval is how long the loads of a VM take to reach the others.
	exchangeInterval = 500 * time.Millisecond
	// step is the time in which targets queue what arrives.
	step = 200 * time.Millisecond
)

func newFleet(seed uint64, capacity float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), capacity: capacity, throttled: true}
	for range vmCount {
		f.vms = append(f.vms, sharer.New(sharer.DefaultConfig()))
	}
	return f
}

// demand is a stream of requests of one class. Its callers stick to some of the VMs.
type demand struct {
	class     sharer.Class
	perSecond float64
	vms       int
}

// result counts the requests of one stream.
type result struct{ sent, admitted, served float64 }

func (r result) share() float64 { return r.served / max(r.sent, 1) }

// play replays the streams for a time, counts the last two thirds of it, and returns the
// results by stream and of all.
func (f *fleet) play(length time.Duration, demands []demand) (results []result, all result) {
	results = make([]result, len(demands))
	begin, nextExchange := f.now, f.now.Add(exchangeInterval)
	for f.now.Before(begin.Add(length)) {
		f.now = f.now.Add(step)
		counted := f.now.Sub(begin) > length/3
		type admitted struct{ stream, vm int }
		var running []admitted
		for i, d := range demands {
			for range f.arrivals(d.perSecond * step.Seconds()) {
				vm := (i*7 + f.rng.IntN(d.vms)) % vmCount
				if counted {
					results[i].sent++
				}
				if !f.throttled || f.vms[vm].Admit(f.now, d.class, f.rng.Float64()) {
					running = append(running, admitted{i, vm})
				}
			}
		}
		// A request fails if one of its shards refuses its part, so the share that is served
		// falls with a higher power of the overload.
		const exponent = 3
		chance := math.Pow(min(1, f.capacity*step.Seconds()/max(float64(len(running)), 1e-9)), exponent)
		for _, a := range running {
			served := f.rng.Float64() < chance
			f.vms[a.vm].Ended(f.now, demands[a.stream].class, served)
			if !counted {
				continue
			}
			results[a.stream].admitted++
			if served {
				results[a.stream].served++
			}
		}
		if !f.now.Before(nextExchange) {
			nextExchange = f.now.Add(exchangeInterval)
			f.exchange()
		}
	}
	for _, r := range results {
		all.sent += r.sent
		all.admitted += r.admitted
		all.served += r.served
	}
	return results, all
}

func (f *fleet) arrivals(mean float64) int {
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f *fleet) exchange() {
	loads := make([][]sharer.Load, len(f.vms))
	for i, vm := range f.vms {
		loads[i] = vm.Take()
	}
	for i, vm := range f.vms {
		for k := range loads {
			if k != i {
				vm.Merge(f.now, loads[k])
			}
		}
	}
}

const (
	urgent  = 0
	patient = 1
)

// workspaces returns equal streams of as many workspaces, a third of their requests urgent.
func workspaces(n int, perSecond float64) []demand {
	var demands []demand
	for i := range n {
		name := fmt.Sprint("w", i)
		demands = append(demands,
			demand{sharer.Class{Rank: urgent, Workspace: name}, perSecond / 3, 3},
			demand{sharer.Class{Rank: patient, Workspace: name}, perSecond * 2 / 3, 3})
	}
	return demands
}

// scaled multiplies the requests of some streams.
func scaled(demands []demand, factor float64, which func(i int, d demand) bool) []demand {
	for i := range demands {
		if which(i, demands[i]) {
			demands[i].perSecond *= factor
		}
	}
	return demands
}

func sumOf(results []result, demands []demand, which func(i int, d demand) bool) result {
	var sum result
	for i, r := range results {
		if which(i, demands[i]) {
			sum.sent += r.sent
			sum.served += r.served
		}
	}
	return sum
}

func ofWorkspaces(names ...string) func(int, demand) bool {
	return func(_ int, d demand) bool {
		for _, name := range names {
			if d.class.Workspace == name {
				return true
			}
		}
		return false
	}
}

func not(which func(int, demand) bool) func(int, demand) bool {
	return func(i int, d demand) bool { return !which(i, d) }
}

func ofRank(rank int) func(int, demand) bool {
	return func(_ int, d demand) bool { return d.class.Rank == rank }
}

const playTime = 9 * time.Second

// unthrottledShare returns the served share of some streams if all requests are admitted.
func unthrottledShare(seed uint64, capacity float64, demands []demand, which func(int, demand) bool) float64 {
	f := newFleet(seed, capacity)
	f.throttled = false
	results, _ := f.play(playTime, demands)
	return sumOf(results, demands, which).share()
}

// Workspaces that burst took as much from the others as from themselves. The others must be
// served as if the ones that burst sent only their equal part of the room, and those at least
// half as often as all.
func TestWorkspaceThatBurstsPaysItself(t *testing.T) {
	for name, hot := range map[string][]string{"one hot workspace of 77": {"w0"}, "two hot workspaces": {"w0", "w1"}} {
		t.Run(name, func(t *testing.T) {
			const count, usual, capacity, seed = 77, 1.5, 190, 1
			hotRate := 60 + 75/float64(len(hot))
			demandsWith := func(rate float64) []demand { return scaled(workspaces(count, usual), rate/usual, ofWorkspaces(hot...)) }
			demands, quiet := demandsWith(hotRate), not(ofWorkspaces(hot...))
			results, all := newFleet(seed, capacity).play(playTime, demands)
			others, burst := sumOf(results, demands, quiet), sumOf(results, demands, ofWorkspaces(hot...))
			fair := (capacity - usual*float64(count-len(hot))) / float64(len(hot))
			best := unthrottledShare(seed, capacity, demandsWith(fair), quiet)
			if others.share() < 0.9*best {
				t.Errorf("%.2f of the requests of the other workspaces served, want nine tenths of the %.2f with fair loads", others.share(), best)
			}
			if burst.share() < all.share()/2 {
				t.Errorf("%.2f of the requests of the bursting workspaces served, want half of the %.2f of all", burst.share(), all.share())
			}
			if without := unthrottledShare(seed, capacity, demands, quiet); without > 0.7*best {
				t.Errorf("%.2f of the requests of the other workspaces served without shares, so the load shows nothing", without)
			}
		})
	}
}

// A burst of patient requests must not cost urgent ones, and a burst of urgent requests must
// leave patient ones half of the share of all.
func TestUrgentRequestsComeFirst(t *testing.T) {
	for name, c := range map[string]struct {
		rank       int
		minUrgent  float64
		minPatient float64
	}{
		"patient burst": {rank: patient, minUrgent: 0.85}, "urgent burst": {rank: urgent},
	} {
		t.Run(name, func(t *testing.T) {
			const usual, capacity = 2, 110
			demands := scaled(workspaces(40, usual), 2.5, ofRank(c.rank))
			results, all := newFleet(2, capacity).play(playTime, demands)
			urgently, patiently := sumOf(results, demands, ofRank(urgent)), sumOf(results, demands, ofRank(patient))
			if urgently.share() < c.minUrgent || urgently.share() < patiently.share() {
				t.Errorf("%.2f of the urgent requests served, want %.2f and no less than the %.2f of the patient ones",
					urgently.share(), c.minUrgent, patiently.share())
			}
			if patiently.share() < 0.9*all.share()/2 {
				t.Errorf("%.2f of the patient requests served, want about half of the %.2f of all", patiently.share(), all.share())
			}
		})
	}
}

// With room for half of what is asked, most of the room must be used, and when it is back
// everything must be admitted within three seconds.
func TestRoomIsUsed(t *testing.T) {
	const usual, capacity = 3, 60
	demands := workspaces(40, usual)
	f := newFleet(3, capacity)
	_, all := f.play(playTime, demands)
	counted := playTime * 2 / 3
	if all.served < 0.6*capacity*counted.Seconds() {
		t.Errorf("%.0f requests served in %v, want three fifths of the room for %.0f", all.served, counted, capacity*counted.Seconds())
	}
	f.capacity = 10 * capacity
	f.play(3*time.Second, demands)
	if _, after := f.play(3*time.Second, demands); after.admitted < 0.99*after.sent {
		t.Errorf("%.0f of %.0f requests admitted after the room was back", after.admitted, after.sent)
	}
}

// Requests that a quota refuses are no load, so a workspace whose quota falls far below what
// it sends must leave the shares of the others as they are.
func TestLoadWithoutOverloadIsAdmitted(t *testing.T) {
	demands := workspaces(77, 1.5)
	_, all := newFleet(4, 400).play(playTime, demands)
	if all.admitted != all.sent {
		t.Errorf("%.0f of %.0f requests admitted with room for all", all.admitted, all.sent)
	}
}

// Counts that another VM cannot have must change nothing.
func TestMalformedLoadsAreIgnored(t *testing.T) {
	s, now := sharer.New(sharer.DefaultConfig()), time.Unix(1_700_000_000, 0)
	class := sharer.Class{Workspace: "w"}
	s.Merge(now, []sharer.Load{
		{Class: class, Requests: 5, Admitted: 9},
		{Class: class, Requests: -1, Admitted: -1, Served: -1},
		{Class: class, Requests: math.NaN()},
		{Class: class, Requests: math.Inf(1)},
		{Class: class, Requests: 1e9, Admitted: 1e9},
	})
	if !s.Idle(now) {
		t.Errorf("malformed loads count as %v", s.Total())
	}
}
