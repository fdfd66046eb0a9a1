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
	holdDown = 3 * time.Second
	// A member that leaves answers requests for release until it has finished
	// the requests in flight; if it ends without an answer, its connections
	// are closed after this time.
	leaveHoldDown = 10 * time.Second
	// A live former owner may be out of reach of the new one. The limit per
	// portion still holds for two owners after this time.
	handoverTimeout = 15 * time.Second
	requestPeriod   = 500 * time.Millisecond
	// maxChain bounds the members that are asked when the first ones have
	// started too recently to know the holder.
	maxChain       = 4
	recoveryPeriod = 10 * time.Second
)

// Target is a back end of the own failure domain.
type Target struct {
	Name string
	// Limit is the number of connections that the target accepts.
	Limit int
}

// Member is a relay of the own failure domain as the detector sees it.
type Member struct {
	Node string
	Live bool
	// Left says that a member that is not live announced its stop.
	Left bool
	// Since is when the member came into this state.
	Since time.Time
}

// Outgoing is a frame to be sent to a node.
type Outgoing struct {
	To    string
	Frame *peerpb.Frame
}

// Assigner holds the portions of one node. It is not safe for concurrent use.
type Assigner struct {
	node    string
	view    View
	members map[string]Member
	started time.Time
	targets map[string]*target
	// pending holds the portions that wait for a release.
	pending map[key]*portion
	reduced map[string]*target
}

type key struct {
	target  string
	portion uint32
}

type target struct {
	limit    int
	open     int
	portions []*portion
	// reduced is the size of the pool after refusals; 0 means no reduction.
	reduced  int
	recovery time.Time
}

// New returns an assigner without targets or members.
func New(node string) *Assigner {
	return &Assigner{
		node:    node,
		members: make(map[string]Member),
		targets: make(map[string]*target),
		pending: make(map[key]*portion),
		reduced: make(map[string]*target),
	}
}

// Allotment returns the number of connections that this node may hold to a
// target now. A pool that is larger must close the difference.
func (a *Assigner) Allotment(name string) int {
	t := a.targets[name]
	if t == nil {
		return 0
	}
	allotment := t.owned()
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

func (t *target) owned() int {
	count := 0
	for _, p := range t.portions {
		if p.phase == owning {
			count++
		}
	}
	return count * PortionAllotment(t.limit)
}

// SetTargets replaces the targets. The portions of a target that is gone end
// without a handover.
func (a *Assigner) SetTargets(now time.Time, rng *rand.Rand, targets []Target) []Outgoing {
	var out []Outgoing
	kept := make(map[string]bool, len(targets))
	for _, each := range targets {
		kept[each.Name] = true
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
		if !kept[name] {
			a.drop(name, t, 0)
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
		a.drop(name, t, count)
		return nil
	}
	var out []Outgoing
	for i := len(t.portions); i < count; i++ {
		p := &portion{key: key{target: name, portion: uint32(i)}}
		p.hash = portionKey(name, p.key.portion)
		t.portions = append(t.portions, p)
		out = append(out, a.setOwner(now, rng, t, p)...)
	}
	return out
}

func (a *Assigner) drop(name string, t *target, from int) {
	for i := from; i < len(t.portions); i++ {
		delete(a.pending, key{target: name, portion: uint32(i)})
	}
	t.portions = t.portions[:from]
}

// SetView replaces the members, the own node included unless it leaves.
func (a *Assigner) SetView(now time.Time, rng *rand.Rand, members []Member) []Outgoing {
	if a.started.IsZero() {
		a.started = now
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

// SetOpen records the number of open connections of the pool of a target.
func (a *Assigner) SetOpen(now time.Time, name string, open int) []Outgoing {
	t := a.targets[name]
	if t == nil {
		return nil
	}
	t.open = open
	return a.drain(now, t)
}

// Refused halves the pool of a target that refused a connection. The pool
// grows again by one connection in each recovery period.
func (a *Assigner) Refused(now time.Time, name string) {
	t := a.targets[name]
	if t == nil {
		return
	}
	t.reduced = max(1, a.Allotment(name)/2)
	t.recovery = now.Add(recoveryPeriod)
	a.reduced[name] = t
}

// Tick repeats requests for release, lets hold-downs expire and lets reduced
// pools grow.
func (a *Assigner) Tick(now time.Time) []Outgoing {
	a.recover(now)
	var out []Outgoing
	for _, p := range a.sortedPending() {
		switch {
		case !now.Before(p.deadline):
			out = append(out, a.released(now, p)...)
		case !now.Before(p.nextRequest):
			out = append(out, a.request(now, p)...)
		}
	}
	return out
}

func (a *Assigner) recover(now time.Time) {
	for name, t := range a.reduced {
		if now.Before(t.recovery) {
			continue
		}
		t.recovery = now.Add(recoveryPeriod)
		t.reduced++
		if t.reduced > t.owned() {
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
		return cmp.Or(cmp.Compare(p.key.target, q.key.target), cmp.Compare(p.key.portion, q.key.portion))
	})
}
