package assigner

import (
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// phase is the state of a portion at this node.
type phase uint8

const (
	// idle: the node neither owns the portion nor holds connections of it.
	idle phase = iota
	// waiting: the node is the owner and awaits the release of another member.
	waiting
	// owning: the node may hold connections.
	owning
	// draining: the node is no longer the owner and closes connections.
	draining
	// passing: the node lost the portion while it was waiting. It passes the
	// release on, because the member that it awaits may still hold connections.
	passing
)

// portion is one portion of a target as this node sees it.
type portion struct {
	key   key
	hash  uint64
	phase phase
	// owner is the owner in the current view, previous the one before it.
	owner    string
	previous string
	// traced says that this node knows the earlier holders to have released.
	traced bool

	// former is the member whose release is awaited, until the deadline.
	former      string
	sequence    uint64
	asked       []string
	began       time.Time
	deadline    time.Time
	nextRequest time.Time

	// successor is the member to which this node released the portion last.
	successor  string
	releasedAt time.Time
	// asker awaits the release of this node.
	asker       string
	askSequence uint64
}

// setOwner moves a portion to the owner in the current view.
func (a *Assigner) setOwner(now time.Time, rng *rand.Rand, t *target, p *portion) []Outgoing {
	before := p.owner
	p.owner = a.view.owner(p.hash)
	if before != p.owner {
		p.previous = before
	}
	if p.owner == a.node {
		return a.gain(now, rng, p, before)
	}
	switch p.phase {
	case owning:
		p.phase = draining
		return a.drain(now, t)
	case waiting:
		p.phase = passing
	}
	return nil
}

func (a *Assigner) gain(now time.Time, rng *rand.Rand, p *portion, before string) []Outgoing {
	switch p.phase {
	case draining:
		p.phase = owning
		p.asker = ""
		p.successor = ""
	case passing:
		p.phase = waiting
		p.asker = ""
	case idle:
		p.asked = nil
		if before == "" || before == a.node {
			before = a.candidate(now, p)
		}
		p.phase = waiting
		return a.await(now, rng, p, before)
	}
	return nil
}

// candidate returns the likely holder of a portion among the members that were
// not asked: the first in its order, also one that is gone for less than its
// hold-down.
func (a *Assigner) candidate(now time.Time, p *portion) string {
	names := make([]string, 0, len(a.members))
	for name, m := range a.members {
		recent := m.Live || now.Before(m.released())
		if recent && name != a.node && !slices.Contains(p.asked, name) {
			names = append(names, name)
		}
	}
	return NewView(names).owner(p.hash)
}

// released is when the connections of a member that is gone count as closed.
func (m Member) released() time.Time {
	if m.Left {
		return m.Since.Add(leaveHoldDown)
	}
	return m.Since.Add(holdDown)
}

// await starts to wait for the release of a member.
func (a *Assigner) await(now time.Time, rng *rand.Rand, p *portion, former string) []Outgoing {
	p.former = former
	p.began = now
	p.sequence = rng.Uint64()
	p.asked = append(p.asked, former)
	a.pending[p.key] = p
	a.setDeadline(p)
	return a.request(now, p)
}

// setDeadline says until when a release is awaited. Without a member to ask,
// as in a node that has not yet met the others, the hold-down applies.
func (a *Assigner) setDeadline(p *portion) {
	m, known := a.members[p.former]
	switch {
	case p.former == "" || !known:
		p.deadline = p.began.Add(holdDown)
	case m.Live:
		p.deadline = p.began.Add(handoverTimeout)
	default:
		p.deadline = m.released()
	}
}

func (a *Assigner) request(now time.Time, p *portion) []Outgoing {
	p.nextRequest = now.Add(requestPeriod)
	if p.former == "" {
		return nil
	}
	m := &peerpb.PortionRequest{Target: p.key.target, Portion: p.key.portion, Sequence: p.sequence}
	return []Outgoing{{To: p.former, Frame: &peerpb.Frame{Kind: &peerpb.Frame_PortionRequest{PortionRequest: m}}}}
}

// Handle takes one frame from a node.
func (a *Assigner) Handle(now time.Time, rng *rand.Rand, from string, frame *peerpb.Frame) []Outgoing {
	switch kind := frame.GetKind().(type) {
	case *peerpb.Frame_PortionRequest:
		return a.onRequest(now, from, kind.PortionRequest)
	case *peerpb.Frame_PortionRelease:
		return a.onRelease(now, rng, from, kind.PortionRelease)
	}
	return nil
}

func (a *Assigner) lookup(name string, number uint32) *portion {
	t := a.targets[name]
	if t == nil || int64(number) >= int64(len(t.portions)) {
		return nil
	}
	return t.portions[number]
}

// onRequest releases a portion that this node does not hold, now or once it is
// drained. An owner does not answer: the asker has a newer view, which this
// node will hear of, or an older one.
func (a *Assigner) onRequest(now time.Time, from string, m *peerpb.PortionRequest) []Outgoing {
	p := a.lookup(m.GetTarget(), m.GetPortion())
	if p == nil {
		release := &peerpb.PortionRelease{Target: m.GetTarget(), Portion: m.GetPortion(), Unsettled: true}
		return []Outgoing{releaseFrame(from, m.GetSequence(), release)}
	}
	switch p.phase {
	case idle:
		p.asker, p.askSequence = from, m.GetSequence()
		return a.answer(now, p, a.settled(now, p))
	case passing:
		p.asker, p.askSequence = from, m.GetSequence()
		// The awaited member asks in turn, so it holds nothing either.
		if from == p.former {
			return a.released(now, p)
		}
	case draining:
		p.asker, p.askSequence = from, m.GetSequence()
	}
	return nil
}

// settled reports whether this node knows that an earlier holder has released
// the portion: it awaited the release itself, or has been there for longer than any
// handover takes.
func (a *Assigner) settled(now time.Time, p *portion) bool {
	return p.traced || (!a.started.IsZero() && now.Sub(a.started) >= handoverTimeout)
}

func (a *Assigner) onRelease(now time.Time, rng *rand.Rand, from string, m *peerpb.PortionRelease) []Outgoing {
	p := a.lookup(m.GetTarget(), m.GetPortion())
	if p == nil || a.pending[p.key] == nil || p.former != from || p.sequence != m.GetSequence() {
		return nil
	}
	if !m.GetUnsettled() || len(p.asked) >= maxChain {
		return a.released(now, p)
	}
	next := m.GetNext()
	if _, known := a.members[next]; next != "" && !known {
		// The sender has a newer view. This node asks again once it has it too.
		return nil
	}
	if next == "" || next == a.node {
		next = a.candidate(now, p)
	}
	if next == "" {
		return a.released(now, p)
	}
	return a.await(now, rng, p, next)
}

// released ends the wait for the former owner.
func (a *Assigner) released(now time.Time, p *portion) []Outgoing {
	delete(a.pending, p.key)
	p.traced = true
	p.successor = ""
	if p.phase == waiting {
		p.phase = owning
		return nil
	}
	p.phase = idle
	return a.answer(now, p, true)
}

// drain releases the portions that are lost once the pool is small enough.
func (a *Assigner) drain(now time.Time, t *target) []Outgoing {
	if t.open > t.owned() {
		return nil
	}
	var out []Outgoing
	for _, p := range t.portions {
		if p.phase == draining {
			p.phase = idle
			out = append(out, a.answer(now, p, true)...)
		}
	}
	return out
}

// answer sends the release to the member that asked for it. A node that knows
// of another possible holder sends the asker on to that one.
func (a *Assigner) answer(now time.Time, p *portion, settled bool) []Outgoing {
	if p.asker == "" {
		return nil
	}
	m := &peerpb.PortionRelease{Target: p.key.target, Portion: p.key.portion, Next: a.holder(now, p)}
	m.Unsettled = !settled || m.Next != ""
	if p.traced && m.Next == "" {
		p.successor = p.asker
		p.releasedAt = now
	}
	out := releaseFrame(p.asker, p.askSequence, m)
	p.asker = ""
	return []Outgoing{out}
}

// holder returns a member other than the asker that may hold the portion: the
// one to which this node released it or, if this node never awaited it, the
// owner in its own view and the owner before. A successor may be a member that
// this node has yet to hear of.
func (a *Assigner) holder(now time.Time, p *portion) string {
	recent := now.Sub(p.releasedAt) < handoverTimeout
	candidates := []string{p.owner, p.previous}
	if p.traced {
		candidates = []string{p.successor}
	}
	for _, each := range candidates {
		_, known := a.members[each]
		other := each != "" && each != p.asker && each != a.node
		if other && (known || recent) {
			return each
		}
	}
	return ""
}

func releaseFrame(to string, sequence uint64, m *peerpb.PortionRelease) Outgoing {
	m.To = to
	m.Sequence = sequence
	return Outgoing{To: to, Frame: &peerpb.Frame{Kind: &peerpb.Frame_PortionRelease{PortionRelease: m}}}
}
