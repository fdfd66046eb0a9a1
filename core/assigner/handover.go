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
	// In phaseIdle the node neither owns the portion nor holds its connections.
	phaseIdle phase = iota
	// In phaseWaiting the node is the owner and awaits the release by another
	// member.
	phaseWaiting
	// In phaseOwning the node may hold connections.
	phaseOwning
	// In phaseDraining the node is no longer the owner and closes connections.
	phaseDraining
	// In phaseForwarding the node lost ownership while it was waiting. It forwards
	// the awaited release, because the other member may still hold connections.
	phaseForwarding
)

// portion is this node's view of one portion of a target.
type portion struct {
	id    portionID
	hash  uint64
	phase phase
	// owner is the owner in the current view.
	owner         string
	previousOwner string
	// priorReleaseKnown reports whether this node has awaited the release by the
	// earlier holders.
	priorReleaseKnown bool

	// awaited is the member whose release is awaited until the deadline.
	awaited         string
	requestSequence uint64
	requestedFrom   []string
	waitStarted     time.Time
	deadline        time.Time
	nextRequest     time.Time

	// successor is the member to which this node last released the portion.
	successor  string
	releasedAt time.Time
	// requester is the member that awaits the release by this node.
	requester         string
	requesterSequence uint64
}

// setOwner updates the owner of a portion from the current view and starts the
// handover if this node gains or loses it.
func (a *Assigner) setOwner(now time.Time, rng *rand.Rand, t *target, p *portion) []Outgoing {
	oldOwner := p.owner
	p.owner = a.view.owner(p.hash)
	if oldOwner != p.owner {
		p.previousOwner = oldOwner
	}
	if p.owner == a.node {
		return a.acquire(now, rng, p, oldOwner)
	}
	switch p.phase {
	case phaseOwning:
		p.phase = phaseDraining
		return a.releaseDrained(now, t)
	case phaseWaiting:
		p.phase = phaseForwarding
	}
	return nil
}

func (a *Assigner) acquire(now time.Time, rng *rand.Rand, p *portion, oldOwner string) []Outgoing {
	switch p.phase {
	case phaseDraining:
		p.phase = phaseOwning
		p.requester = ""
		p.successor = ""
	case phaseForwarding:
		p.phase = phaseWaiting
		p.requester = ""
	case phaseIdle:
		p.requestedFrom = nil
		if oldOwner == "" || oldOwner == a.node {
			oldOwner = a.likelyHolder(now, p)
		}
		p.phase = phaseWaiting
		return a.awaitRelease(now, rng, p, oldOwner)
	}
	return nil
}

// likelyHolder returns the first member in the rendezvous order of a portion that
// has not been asked for its release. Members that are not live are included
// until their hold-down ends.
func (a *Assigner) likelyHolder(now time.Time, p *portion) string {
	names := make([]string, 0, len(a.members))
	for name, m := range a.members {
		recent := m.Live || now.Before(m.presumedReleaseTime())
		if recent && name != a.node && !slices.Contains(p.requestedFrom, name) {
			names = append(names, name)
		}
	}
	return NewView(names).owner(p.hash)
}

// presumedReleaseTime returns when the connections of a member that is not live
// are considered closed.
func (m Member) presumedReleaseTime() time.Time {
	if m.Left {
		return m.Since.Add(leaveHoldDown)
	}
	return m.Since.Add(holdDown)
}

// awaitRelease starts the wait for the release by a member and requests it.
func (a *Assigner) awaitRelease(now time.Time, rng *rand.Rand, p *portion, awaited string) []Outgoing {
	p.awaited = awaited
	p.waitStarted = now
	p.requestSequence = rng.Uint64()
	p.requestedFrom = append(p.requestedFrom, awaited)
	a.pending[p.id] = p
	a.setDeadline(p)
	return a.requestRelease(now, p)
}

// setDeadline sets the time until which a release is awaited. Without a known
// member to ask, as on a node that has not joined the others yet, this is the
// end of the hold-down.
func (a *Assigner) setDeadline(p *portion) {
	m, known := a.members[p.awaited]
	switch {
	case p.awaited == "" || !known:
		p.deadline = p.waitStarted.Add(holdDown)
	case m.Live:
		p.deadline = p.waitStarted.Add(handoverTimeout)
	default:
		p.deadline = m.presumedReleaseTime()
	}
}

func (a *Assigner) requestRelease(now time.Time, p *portion) []Outgoing {
	p.nextRequest = now.Add(requestPeriod)
	if p.awaited == "" {
		return nil
	}
	m := &peerpb.PortionRequest{Target: p.id.target, Portion: p.id.number, Sequence: p.requestSequence}
	return []Outgoing{{To: p.awaited, Frame: &peerpb.Frame{Kind: &peerpb.Frame_PortionRequest{PortionRequest: m}}}}
}

// Handle processes a frame from a node and returns the frames to send.
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

// onRequest releases a portion at once if this node does not hold it, or else
// when it is drained. An owner does not answer: either the requester has a newer
// view, which this node will receive, or an older one.
func (a *Assigner) onRequest(now time.Time, from string, m *peerpb.PortionRequest) []Outgoing {
	p := a.lookup(m.GetTarget(), m.GetPortion())
	if p == nil {
		release := &peerpb.PortionRelease{Target: m.GetTarget(), Portion: m.GetPortion(), Unsettled: true}
		return []Outgoing{releaseFrame(from, m.GetSequence(), release)}
	}
	switch p.phase {
	case phaseIdle:
		p.requester, p.requesterSequence = from, m.GetSequence()
		return a.sendRelease(now, p, a.releaseSettled(now, p))
	case phaseForwarding:
		p.requester, p.requesterSequence = from, m.GetSequence()
		// The awaited member requests the release itself, so it holds no
		// connections.
		if from == p.awaited {
			return a.finishWait(now, p)
		}
	case phaseDraining:
		p.requester, p.requesterSequence = from, m.GetSequence()
	}
	return nil
}

// releaseSettled reports whether the earlier holders have released the portion:
// either this node awaited the release, or it has had a view for longer than any
// handover takes.
func (a *Assigner) releaseSettled(now time.Time, p *portion) bool {
	return p.priorReleaseKnown || (!a.firstView.IsZero() && now.Sub(a.firstView) >= handoverTimeout)
}

func (a *Assigner) onRelease(now time.Time, rng *rand.Rand, from string, m *peerpb.PortionRelease) []Outgoing {
	p := a.lookup(m.GetTarget(), m.GetPortion())
	if p == nil || a.pending[p.id] == nil || p.awaited != from || p.requestSequence != m.GetSequence() {
		return nil
	}
	if !m.GetUnsettled() || len(p.requestedFrom) >= maxReleaseRequests {
		return a.finishWait(now, p)
	}
	next := m.GetNext()
	if _, known := a.members[next]; next != "" && !known {
		// The sender has a newer view. The request is repeated until this node has
		// received that view.
		return nil
	}
	if next == "" || next == a.node {
		next = a.likelyHolder(now, p)
	}
	if next == "" {
		return a.finishWait(now, p)
	}
	return a.awaitRelease(now, rng, p, next)
}

// finishWait ends the wait for a release. The node then owns the portion or
// forwards the release.
func (a *Assigner) finishWait(now time.Time, p *portion) []Outgoing {
	delete(a.pending, p.id)
	p.priorReleaseKnown = true
	p.successor = ""
	if p.phase == phaseWaiting {
		p.phase = phaseOwning
		return nil
	}
	p.phase = phaseIdle
	return a.sendRelease(now, p, true)
}

// releaseDrained releases the draining portions of a target once its open
// connections fit into the remaining ones.
func (a *Assigner) releaseDrained(now time.Time, t *target) []Outgoing {
	if t.openConnections > t.ownedConnections() {
		return nil
	}
	var out []Outgoing
	for _, p := range t.portions {
		if p.phase == phaseDraining {
			p.phase = phaseIdle
			out = append(out, a.sendRelease(now, p, true)...)
		}
	}
	return out
}

// sendRelease answers the pending release request, if any. If another member may
// hold the portion, the answer refers the requester to that member.
func (a *Assigner) sendRelease(now time.Time, p *portion, settled bool) []Outgoing {
	if p.requester == "" {
		return nil
	}
	m := &peerpb.PortionRelease{Target: p.id.target, Portion: p.id.number, Next: a.otherHolder(now, p)}
	m.Unsettled = !settled || m.Next != ""
	if p.priorReleaseKnown && m.Next == "" {
		p.successor = p.requester
		p.releasedAt = now
	}
	out := releaseFrame(p.requester, p.requesterSequence, m)
	p.requester = ""
	return []Outgoing{out}
}

// otherHolder returns a member other than the requester that may hold the
// portion: the one to which this node released it or, if this node never awaited
// a release, the current or previous owner in its own view. For a recent release
// the member need not be in this node's view yet.
func (a *Assigner) otherHolder(now time.Time, p *portion) string {
	recentRelease := now.Sub(p.releasedAt) < handoverTimeout
	candidates := []string{p.owner, p.previousOwner}
	if p.priorReleaseKnown {
		candidates = []string{p.successor}
	}
	for _, each := range candidates {
		_, known := a.members[each]
		otherMember := each != "" && each != p.requester && each != a.node
		if otherMember && (known || recentRelease) {
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
