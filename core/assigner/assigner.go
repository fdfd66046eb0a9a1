package assigner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// The connections of a dead member are presumed closed after holdDown.
	holdDown = 3 * time.Second
	// A leaving member answers release requests until its requests in flight have
	// finished. If it exits without an answer, its connections are closed after
	// this time.
	leaveHoldDown = 10 * time.Second
	// A live former owner may be unreachable from the new one. Two owners after
	// this time still stay within the limit, because allotments allow for two.
	handoverTimeout = 15 * time.Second
	requestPeriod   = 500 * time.Millisecond
	// maxReleaseRequests bounds the members that are asked for the release of a
	// portion when the first ones have started too recently to know its holder.
	maxReleaseRequests = 4
	recoveryPeriod     = 10 * time.Second
)

// Target is a target of the local failure domain.
type Target struct {
	Name string
	// Limit is the number of connections that the target accepts.
	Limit int
}

// Member is the state of a relay of the local failure domain in the detector's
// view.
type Member struct {
	Node string
	Live bool
	// Left reports whether a member that is not live announced its stop.
	Left bool
	// Since is when the member entered this state.
	Since time.Time
}

// Outgoing is a frame to be sent to a node.
type Outgoing struct {
	To    string
	Frame *peerpb.Frame
}

// Assigner tracks the portions of all targets for one node. A portion is a share
// of a target's connections with a single owner. An Assigner is not safe for
// concurrent use.
type Assigner struct {
	node      string
	view      View
	members   map[string]Member
	firstView time.Time
	targets   map[string]*target
	// pending holds the portions that await a release.
	pending map[portionID]*portion
	reduced map[string]*target
}

type portionID struct {
	target string
	number uint32
}

type target struct {
	limit           int
	openConnections int
	portions        []*portion
	// reduced limits the pool after refusals; 0 means no reduction.
	reduced      int
	nextRecovery time.Time
}

// New returns an assigner without targets or members.
func New(node string) *Assigner {
	return &Assigner{
		node:    node,
		members: make(map[string]Member),
		targets: make(map[string]*target),
		pending: make(map[portionID]*portion),
		reduced: make(map[string]*target),
	}
}

// Allotment returns the number of connections that this node may currently hold
// to a target. A larger pool must close the excess connections.
func (a *Assigner) Allotment(name string) int {
	t := a.targets[name]
	if t == nil {
		return 0
	}
	allotment := t.ownedConnections()
	if t.reduced > 0 {
		return min(allotment, t.reduced)
	}
	return allotment
}

// Owners returns the members that own a target in the current view.
func (a *Assigner) Owners(name string) []string {
	t := a.targets[name]
	if t == nil {
		return nil
	}
	return a.view.Owners(name, t.limit)
}

func (t *target) ownedConnections() int {
	count := 0
	for _, p := range t.portions {
		if p.phase == phaseOwning {
			count++
		}
	}
	return count * PortionAllotment(t.limit)
}

// SetTargets replaces the targets. The portions of a removed target are dropped
// without a handover.
func (a *Assigner) SetTargets(now time.Time, rng *rand.Rand, targets []Target) []Outgoing {
	var out []Outgoing
	configured := make(map[string]bool, len(targets))
	for _, each := range targets {
		configured[each.Name] = true
		t := a.targets[each.Name]
		if t == nil {
			t = &target{}
			a.targets[each.Name] = t
		}
		if t.limit != each.Limit {
			t.limit = each.Limit
			t.reduced = 0
			delete(a.reduced, each.Name)
			out = append(out, a.resize(now, rng, each.Name, t)...)
		}
	}
	for name, t := range a.targets {
		if !configured[name] {
			a.dropPortions(name, t, 0)
			delete(a.targets, name)
			delete(a.reduced, name)
		}
	}
	return out
}

// resize adds or drops portions after a change of the limit.
func (a *Assigner) resize(now time.Time, rng *rand.Rand, name string, t *target) []Outgoing {
	count := int(Portions(t.limit))
	if count < len(t.portions) {
		a.dropPortions(name, t, count)
		return nil
	}
	var out []Outgoing
	for i := len(t.portions); i < count; i++ {
		p := &portion{id: portionID{target: name, number: uint32(i)}}
		p.hash = portionHash(name, p.id.number)
		t.portions = append(t.portions, p)
		out = append(out, a.setOwner(now, rng, t, p)...)
	}
	return out
}

func (a *Assigner) dropPortions(name string, t *target, from int) {
	for i := from; i < len(t.portions); i++ {
		delete(a.pending, portionID{target: name, number: uint32(i)})
	}
	t.portions = t.portions[:from]
}

// SetView replaces the members, which include the local node unless it is
// leaving.
func (a *Assigner) SetView(now time.Time, rng *rand.Rand, members []Member) []Outgoing {
	if a.firstView.IsZero() {
		a.firstView = now
	}
	clear(a.members)
	var live []string
	for _, m := range members {
		a.members[m.Node] = m
		if m.Live {
			live = append(live, m.Node)
		}
	}
	view := NewView(live)
	changed := !view.equal(a.view)
	a.view = view
	for _, p := range a.pending {
		a.setDeadline(p)
	}
	if !changed {
		return nil
	}
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(a.targets)) {
		t := a.targets[name]
		for _, p := range t.portions {
			out = append(out, a.setOwner(now, rng, t, p)...)
		}
	}
	return out
}

// SetOpenConnections records the number of open connections to a target.
func (a *Assigner) SetOpenConnections(now time.Time, name string, openConnections int) []Outgoing {
	t := a.targets[name]
	if t == nil {
		return nil
	}
	t.openConnections = openConnections
	return a.releaseDrained(now, t)
}

// Refused halves the pool of a target that refused a connection. The pool grows
// back by one connection in each recovery period.
func (a *Assigner) Refused(now time.Time, name string) {
	t := a.targets[name]
	if t == nil {
		return
	}
	t.reduced = max(1, a.Allotment(name)/2)
	t.nextRecovery = now.Add(recoveryPeriod)
	a.reduced[name] = t
}

// Tick repeats release requests, ends waits at their deadline and grows reduced
// pools.
func (a *Assigner) Tick(now time.Time) []Outgoing {
	a.growReducedPools(now)
	var out []Outgoing
	for _, p := range a.sortedPending() {
		switch {
		case !now.Before(p.deadline):
			out = append(out, a.finishWait(now, p)...)
		case !now.Before(p.nextRequest):
			out = append(out, a.requestRelease(now, p)...)
		}
	}
	return out
}

func (a *Assigner) growReducedPools(now time.Time) {
	for name, t := range a.reduced {
		if now.Before(t.nextRecovery) {
			continue
		}
		t.nextRecovery = now.Add(recoveryPeriod)
		t.reduced++
		if t.reduced > t.ownedConnections() {
			t.reduced = 0
			delete(a.reduced, name)
		}
	}
}

func (a *Assigner) sortedPending() []*portion {
	if len(a.pending) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(a.pending), func(p, q *portion) int {
		return cmp.Or(cmp.Compare(p.id.target, q.id.target), cmp.Compare(p.id.number, q.id.number))
	})
}
