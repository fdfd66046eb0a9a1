package granter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/granter"
)

var bounds = granter.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const fleetDomains = 3

// fleet is a number of VMs in virtual time, with a network between them.
type fleet struct {
	now       time.Time
	events    events
	sequence  int
	random    *rand.Rand
	vms       []*vm
	workspace granter.Workspace
	// configured holds the workspaces of the configuration.
	configured container.Set[string]
	// cut reports whether two VMs cannot reach each other.
	cut              func(a, b *vm) bool
	admitted         []time.Time
	asked, admittedN []int
	sources          map[granter.Source]int
	messages         int
}

type vm struct {
	*granter.Node
	self        granter.Member
	index       int
	dead        bool
	incarnation int
	frozenUntil time.Time
	ticking     bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var epoch = time.Unix(1_000_000, 0)

func newFleet(size int, limit granter.Limit, seed uint64) *fleet {
	f := &fleet{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), workspace: granter.Workspace{Name: "red", Limit: limit},
		cut: func(_, _ *vm) bool { return false }, sources: make(map[granter.Source]int),
		configured: container.NewSet("red"),
	}
	for i := range size {
		v := &vm{index: i, self: granter.Member{Name: fmt.Sprintf("vm-%d", i), Domain: string(rune('a' + i%fleetDomains))}}
		f.vms = append(f.vms, v)
		f.start(v)
	}
	for _, v := range f.vms {
		f.setMembers(v, f.members())
	}
	return f
}

// start gives a VM a new process.
func (f *fleet) start(v *vm) {
	limitOf := func(string) (granter.Limit, bool) { return f.workspace.Limit, true }
	v.Node = granter.New(v.self, bounds, limitOf, rand.New(rand.NewPCG(f.random.Uint64(), 1)))
	v.dead, v.ticking = false, false
	v.incarnation++
}

func (f *fleet) members() []granter.Member {
	members := make([]granter.Member, len(f.vms))
	for i, v := range f.vms {
		members[i] = v.self
	}
	return members
}

// addWorkspaces adds workspaces without load to the configuration. With so many, most VMs are
// keepers of one and keep contact.
func (f *fleet) addWorkspaces() {
	for i := range 76 {
		f.configured.Add(fmt.Sprintf("other-%d", i))
	}
	for _, v := range f.vms {
		v.Configure(f.now, f.configured)
	}
}

func (f *fleet) setMembers(v *vm, members []granter.Member) {
	v.SetMembers(f.now, members)
	v.Configure(f.now, f.configured)
	f.tick(v)
}

func (f *fleet) at(t time.Time, run func()) {
	f.sequence++
	heap.Push(&f.events, event{t, f.sequence, run})
}

func (f *fleet) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

// on runs something on a VM, once it is no longer frozen, unless its process has ended.
func (f *fleet) on(v *vm, d time.Duration, run func()) {
	incarnation := v.incarnation
	f.after(d, func() {
		switch {
		case v.dead || v.incarnation != incarnation:
		case f.now.Before(v.frozenUntil):
			f.at(v.frozenUntil, func() { f.on(v, 0, run) })
		default:
			run()
		}
	})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(f.random.Int64N(int64(1200*time.Microsecond)))
}

// send sends a request and calls done once with its outcome, on the VM that sent it.
func (f *fleet) send(v *vm, s *granter.Send, done func(answer granter.Answer, ok bool)) {
	ended := false
	end := func(d time.Duration, answer granter.Answer, ok bool) {
		f.on(v, d, func() {
			if !ended {
				ended = true
				done(answer, ok)
			}
		})
	}
	f.messages++
	end(s.Timeout, granter.Answer{}, false)
	index := slices.IndexFunc(f.vms, func(o *vm) bool { return o.self.Name == s.To })
	if index < 0 {
		return
	}
	to := f.vms[index]
	if f.cut(v, to) {
		return
	}
	if to.dead {
		end(f.delay(), granter.Answer{}, false)
		return
	}
	reply := func(answer granter.Answer) {
		if !f.cut(v, to) {
			end(f.delay(), answer, true)
		}
	}
	f.on(to, f.delay(), func() {
		answer, forward := to.Handle(f.now, s.Request)
		f.tick(to)
		if forward == nil {
			reply(answer)
			return
		}
		f.send(to, forward, func(answer granter.Answer, ok bool) {
			answer = to.Forwarded(f.now, s.Request, forward, answer, ok)
			f.tick(to)
			reply(answer)
		})
	})
}

// perform sends a request of a VM, and those that follow from its outcome.
func (f *fleet) perform(v *vm, s *granter.Send, decided func(granter.Step)) {
	f.send(v, s, func(answer granter.Answer, ok bool) {
		var step granter.Step
		if ok {
			step = v.Answered(f.now, s, answer)
		} else {
			step = v.Failed(f.now, s, false)
		}
		f.tick(v)
		if step.Send != nil {
			f.perform(v, step.Send, decided)
			return
		}
		decided(step)
	})
}

func ignore(granter.Step) {}

func (f *fleet) tick(v *vm) {
	next, ok := v.NextTick(f.now)
	if !ok || v.ticking {
		return
	}
	v.ticking = true
	f.on(v, next.Sub(f.now), func() {
		v.ticking = false
		for _, s := range v.Tick(f.now) {
			f.perform(v, s, ignore)
		}
		f.tick(v)
	})
}

// request is one request of a caller at a VM.
func (f *fleet) request(v *vm) {
	second := int(f.now.Sub(epoch).Seconds())
	for len(f.asked) <= second {
		f.asked, f.admittedN = append(f.asked, 0), append(f.admittedN, 0)
	}
	f.asked[second]++
	decided := func(step granter.Step) {
		if step.Admitted {
			f.admitted = append(f.admitted, f.now)
			f.admittedN[second]++
			f.sources[step.Source]++
		}
	}
	f.on(v, 0, func() {
		step := v.Take(f.now, f.workspace, false)
		if step.Send != nil {
			f.perform(v, step.Send, decided)
			return
		}
		decided(step)
		if step.Source == granter.SourceCredit {
			if s := v.Renew(f.now, f.workspace); s != nil {
				f.perform(v, s, ignore)
			}
		}
	})
}

// load sends requests at random times, with a mean rate, to some of the VMs.
func (f *fleet) load(rate float64, length time.Duration, choose func() *vm) {
	end := f.now.Add(length)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		f.request(choose())
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

// among returns a choice among the first VMs of the fleet.
func (f *fleet) among(n int) func() *vm {
	return func() *vm { return f.vms[f.random.IntN(n)] }
}

// bound is the largest number of requests in a window that the platform's rule allows.
func bound(limit granter.Limit) float64 {
	return (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overage) + bounds.Slack
}

// checkBound checks every sliding window.
func (f *fleet) checkBound(t *testing.T) {
	t.Helper()
	slices.SortFunc(f.admitted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("at most %d of %.1f in a window; %d admitted, by source %v; %d messages", most, bound(f.workspace.Limit), len(f.admitted), f.sources, f.messages)
	if float64(most) > bound(f.workspace.Limit) {
		t.Errorf("%d requests in a window, want at most %.1f", most, bound(f.workspace.Limit))
	}
}

// between returns the requests of callers from one second of the test to another, and how
// many were admitted.
func (f *fleet) between(from, to int) (asked, admitted int) {
	for i := from; i < min(to, len(f.asked)); i++ {
		asked += f.asked[i]
		admitted += f.admittedN[i]
	}
	return asked, admitted
}

// keeper returns the VM that is the keeper by the list of all VMs.
func (f *fleet) keeper() *vm {
	name := granter.NewList(f.members()).Keeper(f.workspace.Name).Name
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.self.Name == name })]
}
