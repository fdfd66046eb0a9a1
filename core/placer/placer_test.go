package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
)

var start = time.Unix(1_700_000_000, 0)

// load replays sub-requests to the replicas of one service in virtual time.
type load struct {
	placer  *placer.Placer
	rng     *rand.Rand
	targets []registrar.Record
	now     time.Time
	ends    endings
	// work returns how long a sub-request of a route takes at a target that
	// gets it at the given time since the start.
	work func(route string, target string, at time.Duration) time.Duration
	sent map[string]int
	// result returns how a sub-request to a target ends; nil means that all
	// are answered.
	result func(target string) placer.Result
}

type ending struct {
	at     time.Time
	route  string
	placed placer.Placement
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newLoad(replicas int) *load {
	rng := rand.New(rand.NewPCG(1, 2))
	l := &load{
		placer: placer.New(placer.DefaultConfig(), "vm-1", "domain-0", rng), rng: rng, now: start, sent: make(map[string]int),
	}
	l.placer.SetLimits(placer.Limits{RepeatRatio: 0.2, RepeatExtra: 58, EntryVMs: 1})
	for i := range replicas {
		l.targets = append(l.targets, registrar.Record{Target: registrar.Target{
			ID: fmt.Sprintf("i-%d", i), Service: "shard", Domain: fmt.Sprintf("domain-%d", i), Slots: 2,
		}})
	}
	return l
}

const (
	longRoute        = "long"
	shortRoute       = "short"
	latencyObjective = 100 * time.Millisecond
)

// run sends one sub-request per gap: every fourth one on the short route, the
// others on the long one.
func (l *load) run(length, gap time.Duration) {
	end := l.now.Add(length)
	for i := 0; l.now.Before(end); i++ {
		l.settle()
		route := longRoute
		if i%4 == 0 {
			route = shortRoute
		}
		placed, outcome := l.placer.Place(l.now, placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 100})
		if outcome == placer.Placed {
			id := placed.Record.ID
			l.sent[id]++
			heap.Push(&l.ends, ending{at: l.now.Add(l.work(route, id, l.now.Sub(start))), route: route, placed: placed})
		}
		l.now = l.now.Add(gap)
	}
}

// settle ends the sub-requests that are due.
func (l *load) settle() {
	for len(l.ends) > 0 && !l.ends[0].at.After(l.now) {
		e := heap.Pop(&l.ends).(ending)
		result := placer.Answered
		if l.result != nil {
			result = l.result(e.placed.Record.ID)
		}
		l.placer.Ended(e.at, e.route, latencyObjective, e.placed, result)
	}
}

// answer places a sub-request, which is answered within a millisecond, and
// reports whether it was placed.
func (l *load) answer(request placer.Request) bool {
	placed, outcome := l.placer.Place(l.now, request)
	if outcome != placer.Placed {
		return false
	}
	l.placer.Ended(l.now.Add(time.Millisecond), longRoute, latencyObjective, placed, placer.Answered)
	return true
}

// serviceTime draws the service time of a request. The long route takes three
// times as long as the short one, and each request varies by about a third.
func (l *load) serviceTime(route string) time.Duration {
	work := 15 * time.Millisecond
	if route == shortRoute {
		work = 5 * time.Millisecond
	}
	return time.Duration(float64(work) * (0.65 + 0.7*l.rng.Float64()))
}

// Two of three replicas, the local one among them, become eight times slower
// for many times the length of a request. They must get little more than the
// requests that detect their recovery: each request to them needs a repeat, a
// fifth of the requests may be repeated, and pauses of targets use most of
// that.
func TestSlowReplicasAreAvoided(t *testing.T) {
	l := newLoad(3)
	l.work = func(route, target string, at time.Duration) time.Duration {
		work := l.serviceTime(route)
		if target != "i-2" && at > 2*time.Second {
			work *= 8
		}
		return work
	}
	l.run(3*time.Second, 40*time.Millisecond)
	clear(l.sent)
	l.run(5*time.Second, 40*time.Millisecond)
	total := l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	if slow := l.sent["i-0"] + l.sent["i-1"]; slow > total/20 {
		t.Fatalf("%d of %d requests went to slow replicas, want at most a twentieth: %v", slow, total, l.sent)
	}
}

// The local replica must be used again soon after a slow phase, as traffic
// between failure domains costs money.
func TestLocalReplicaIsUsedAfterRecovery(t *testing.T) {
	l := newLoad(3)
	l.work = func(route, target string, at time.Duration) time.Duration {
		work := l.serviceTime(route)
		if target == "i-0" && at > 2*time.Second && at < 8*time.Second {
			work *= 8
		}
		return work
	}
	l.run(12*time.Second, 40*time.Millisecond)
	clear(l.sent)
	l.run(5*time.Second, 40*time.Millisecond)
	total := l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	if l.sent["i-0"] < total*3/4 {
		t.Fatalf("%d of %d requests went to the local replica, want three quarters", l.sent["i-0"], total)
	}
}

// Each replica pauses for 150 ms every 3.6 s, at different times. A pause may
// only affect the requests in flight when it begins and those sent before it
// is detected, and it must not move traffic out of the failure domain.
func TestPausesAreAvoided(t *testing.T) {
	l := newLoad(3)
	const period, pause = 3600 * time.Millisecond, 150 * time.Millisecond
	paused := 0
	l.work = func(route, target string, at time.Duration) time.Duration {
		work := l.serviceTime(route)
		phase := (at + time.Duration(target[2]-'0')*time.Second) % period
		if phase < pause {
			paused++
			work += pause - phase
		}
		return work
	}
	l.run(36*time.Second, 10*time.Millisecond)
	total := l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	if l.sent["i-0"] < total*8/10 {
		t.Fatalf("%d of %d requests went to the local replica, want 8 of 10", l.sent["i-0"], total)
	}
	// Each replica pauses 10 times. About four requests are sent before the
	// silence differs from normal service times.
	if paused > 60 {
		t.Fatalf("%d requests were delayed by a pause", paused)
	}
}

// Repeats stay within the ratio that all entry VMs share, whatever the
// targets do.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	l := newLoad(3)
	l.placer.SetLimits(placer.Limits{RepeatRatio: 0.2, RepeatExtra: 58, EntryVMs: 9})
	repeats, firsts := 0, 1000
	for range firsts {
		r := placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 100}
		placed, outcome := l.placer.Place(l.now, r)
		if outcome != placer.Placed {
			t.Fatal("the request was not placed")
		}
		r.Repeat, r.Avoid = true, []string{placed.Record.ID}
		repeated, outcome := l.placer.Place(l.now, r)
		if outcome == placer.Placed {
			repeats++
			l.placer.Ended(l.now, longRoute, latencyObjective, repeated, placer.Answered)
		}
		l.placer.Ended(l.now, longRoute, latencyObjective, placed, placer.Answered)
		l.now = l.now.Add(10 * time.Millisecond)
	}
	if allowed := firsts/5 + 58/9; repeats > allowed {
		t.Fatalf("%d repeats, allowed %d", repeats, allowed)
	}
	if repeats < firsts/10 {
		t.Fatalf("%d repeats, want at least a tenth", repeats)
	}
}

// A replica loses four answers in ten. It seldom reaches three failures in a
// row, the limit for ejection, yet each loss takes a repeat from the budget.
// While the other replicas are healthy it must get few requests.
func TestFailingReplicaIsAvoided(t *testing.T) {
	l := newLoad(3)
	l.work = func(route, _ string, _ time.Duration) time.Duration { return l.serviceTime(route) }
	l.result = func(target string) placer.Result {
		if target == "i-0" && l.rng.Float64() < 0.4 {
			return placer.Lost
		}
		return placer.Answered
	}
	l.run(3*time.Second, 40*time.Millisecond)
	clear(l.sent)
	l.run(10*time.Second, 40*time.Millisecond)
	total := l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	if l.sent["i-0"] > total/5 {
		t.Fatalf("%d of %d requests went to the failing replica, want at most a fifth", l.sent["i-0"], total)
	}
}

// When many answers are lost, hedges of requests that may still be answered
// must not use up the budget for repeats of those that will not.
func TestHedgesLeaveBudgetForLostAnswers(t *testing.T) {
	l := newLoad(3)
	l.placer.SetLimits(placer.Limits{RepeatRatio: 0.2, RepeatExtra: 58, EntryVMs: 9})
	place := func(repeat, hedge bool) bool {
		_, outcome := l.placer.Place(l.now, placer.Request{
			Service: "shard", Targets: l.targets, MaxConnections: 10000, Repeat: repeat, Hedge: hedge,
		})
		return outcome == placer.Placed
	}
	for range 100 {
		place(false, false)
	}
	for place(true, true) {
	}
	if !place(true, false) {
		t.Fatal("hedges left no budget for the repeat of a lost answer")
	}
}

// A target that refuses connections gets no requests until a connection
// succeeds, even if no other target is left.
func TestUnreachableTarget(t *testing.T) {
	l := newLoad(1)
	request := placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 100}
	l.placer.SetReachable("i-0", false)
	if _, outcome := l.placer.Place(l.now, request); outcome != placer.NoTarget {
		t.Fatalf("outcome %v at an unreachable target", outcome)
	}
	l.placer.SetReachable("i-0", true)
	if _, outcome := l.placer.Place(l.now, request); outcome != placer.Placed {
		t.Fatalf("outcome %v at a target that is reachable again", outcome)
	}
}

// With 64 entry VMs, each sends two sub-requests per second to a shard, and a
// tenth of them needs a hedge. Both the ratio and the extra repeats must be
// available to the VM that needs them. A token bucket with the extra as its
// burst, refilled only by the ratio, denied nearly all.
func TestBudgetOfManyEntryVMs(t *testing.T) {
	l := newLoad(3)
	l.placer.SetLimits(placer.Limits{
		RepeatRatio: 0.2, RepeatExtra: 168, RepeatWindow: 10 * time.Second, EntryVMs: 64,
	})
	granted, wanted := 0, 0
	for range 600 {
		request := placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 10000}
		first, outcome := l.placer.Place(l.now, request)
		if outcome != placer.Placed {
			t.Fatal("the request was not placed")
		}
		if l.rng.IntN(10) == 0 {
			request.Repeat, request.Hedge, request.Avoid = true, true, []string{first.Record.ID}
			wanted++
			if second, outcome := l.placer.Place(l.now, request); outcome == placer.Placed {
				granted++
				l.placer.Ended(l.now.Add(10*time.Millisecond), longRoute, latencyObjective, second, placer.Answered)
			}
		}
		l.placer.Ended(l.now.Add(10*time.Millisecond), longRoute, latencyObjective, first, placer.Answered)
		l.now = l.now.Add(500 * time.Millisecond)
	}
	if granted < wanted*8/10 {
		t.Fatalf("%d of %d hedges granted, want 8 of 10", granted, wanted)
	}
}

// Half of the targets refuse two in five requests for many windows. The
// budget of every window must be usable, not only that of the first. A token
// bucket refilled by the ratio allowed only half of it.
func TestBudgetOfEveryWindowIsUsed(t *testing.T) {
	l := newLoad(3)
	limits := placer.Limits{RepeatRatio: 0.2, RepeatExtra: 186, RepeatWindow: 10 * time.Second, EntryVMs: 8}
	l.placer.SetLimits(limits)
	const perSecond = 12
	repeats := 0
	for i := range 60 * perSecond {
		request := placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 1 << 30}
		l.now = start.Add(time.Duration(i) * time.Second / perSecond)
		l.answer(request)
		request.Repeat = true
		if l.answer(request) && i >= 30*perSecond {
			repeats++
		}
	}
	allowed := 3 * (limits.RepeatRatio*10*perSecond + limits.RepeatExtra/float64(limits.EntryVMs))
	if float64(repeats) < 0.8*allowed {
		t.Fatalf("%d repeats in three windows, allowed %.0f", repeats, allowed)
	}
}

// Under any mix of first attempts and repeats, no window holds more repeats
// than the share of one entry VM allows.
func TestBudgetInEveryWindow(t *testing.T) {
	l := newLoad(3)
	limits := placer.Limits{RepeatRatio: 0.2, RepeatExtra: 168, RepeatWindow: 10 * time.Second, EntryVMs: 8}
	l.placer.SetLimits(limits)
	var firsts, repeats []time.Time
	for range 20000 {
		request := placer.Request{Service: "shard", Targets: l.targets, MaxConnections: 1 << 30}
		// Traffic varies between 10 and 100 requests per second.
		l.now = l.now.Add(time.Duration(10+l.rng.IntN(90)) * time.Millisecond)
		firsts = append(firsts, l.now)
		l.answer(request)
		request.Repeat = true
		if l.answer(request) {
			repeats = append(repeats, l.now)
		}
	}
	if len(repeats) < len(firsts)/10 {
		t.Fatalf("%d repeats of %d requests, want a tenth at least", len(repeats), len(firsts))
	}
	in := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(limits.RepeatWindow)) {
				n++
			}
		}
		return n
	}
	for from := start; from.Before(l.now); from = from.Add(5 * time.Second) {
		allowed := limits.RepeatRatio*float64(in(firsts, from)) + limits.RepeatExtra/float64(limits.EntryVMs)
		if got := in(repeats, from); float64(got) > allowed {
			t.Fatalf("%d repeats in the window at %v, allowed %.1f", got, from.Sub(start), allowed)
		}
	}
}

// Two of three replicas refuse nearly half of their requests while they look
// healthy, and each of many entry VMs sends only two requests per second. The
// healthy replica must get most of them: a sub-request that is refused twice
// is missing from the answer.
func TestSheddingReplicasAreAvoided(t *testing.T) {
	l := newLoad(3)
	l.work = func(route, _ string, _ time.Duration) time.Duration { return l.serviceTime(route) }
	l.result = func(target string) placer.Result {
		if target != "i-2" && l.rng.Float64() < 0.45 {
			return placer.Refused
		}
		return placer.Answered
	}
	l.run(4*time.Second, 500*time.Millisecond)
	clear(l.sent)
	l.run(60*time.Second, 500*time.Millisecond)
	total := l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	if l.sent["i-2"] < total*6/10 {
		t.Fatalf("%d of %d requests went to the healthy replica, want 6 of 10", l.sent["i-2"], total)
	}
}

// An index that is cut into new shards again and again, with new targets and routes each
// time, must not take up more and more memory.
func TestStateOfGoneServicesIsReleased(t *testing.T) {
	const shards, reshards = 10, 100
	l := newLoad(3)
	l.placer.SetLimits(placer.Limits{EntryVMs: 9, RepeatWindow: 10 * time.Second})
	most := 0
	for n := range reshards {
		now := start.Add(time.Duration(n) * 20 * time.Second)
		name := func(shard int) string { return fmt.Sprintf("shard-%d-%d", n, shard) }
		l.placer.Sweep(now, func(s string) bool { return strings.HasPrefix(s, fmt.Sprintf("shard-%d-", n)) }, func(string) bool { return false })
		for shard := range shards {
			target := registrar.Record{Target: registrar.Target{ID: "i-" + name(shard), Service: name(shard), Slots: 2}}
			placed, outcome := l.placer.Place(now, placer.Request{Service: name(shard), Targets: []registrar.Record{target}, MaxConnections: 100})
			if outcome != placer.Placed {
				t.Fatalf("outcome %v", outcome)
			}
			l.placer.Ended(now, fmt.Sprintf("route-%d", n), latencyObjective, placed, placer.Answered)
			l.placer.Forget(name(shard), target.ID)
		}
		services, routes, targets := l.placer.Len()
		most = max(most, services+routes+targets)
	}
	if most > 3*shards {
		t.Errorf("state of %d services, routes and targets is kept, want at most %d", most, 3*shards)
	}
}
