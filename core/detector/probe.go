package detector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// probe is the probe of the current period.
type probe struct {
	node              string
	sequence          uint64
	sentAt            time.Time
	indirectRequested bool
	answered          bool
}

// relayedProbe is a probe sent on behalf of the requester.
type relayedProbe struct {
	requester string
	sequence  uint64
	node      string
	sentAt    time.Time
}

// checkProbe requests indirect probes of a member that did not acknowledge the
// direct probe in time.
func (d *Detector) checkProbe(now time.Time, rng *rand.Rand) []Outgoing {
	p := &d.probe
	if p.node == "" || p.answered || p.indirectRequested || now.Sub(p.sentAt) < ackTimeout {
		return nil
	}
	p.indirectRequested = true
	var out []Outgoing
	for _, proxy := range d.proxies(rng, p.node) {
		m := &peerpb.IndirectProbe{Sequence: p.sequence, From: d.self.Node, To: p.node, Rumours: d.takeRumours(proxy)}
		out = append(out, d.outgoing(proxy, &peerpb.Frame{Kind: &peerpb.Frame_IndirectProbe{IndirectProbe: m}}))
	}
	return out
}

// proxies returns up to indirectProbeCount random alive members other than
// the excluded node.
func (d *Detector) proxies(rng *rand.Rand, except string) []string {
	var proxies []string
	if len(d.probeOrder) == 0 {
		return nil
	}
	for range 4 * indirectProbeCount {
		node := d.probeOrder[rng.IntN(len(d.probeOrder))]
		if node != except && d.alive(node) && !slices.Contains(proxies, node) {
			proxies = append(proxies, node)
		}
		if len(proxies) == indirectProbeCount {
			break
		}
	}
	return proxies
}

func (d *Detector) alive(node string) bool {
	m := d.members[node]
	return m != nil && m.State == Alive
}

// startProbe evaluates the last probe and sends the next one.
func (d *Detector) startProbe(now time.Time, rng *rand.Rand) []Outgoing {
	out := d.suspectUnanswered(now)
	node, ok := d.nextMember(rng)
	if !ok {
		d.probe = probe{}
		return out
	}
	d.sequence++
	d.probe = probe{node: node, sequence: d.sequence, sentAt: now}
	return append(out, d.probeFrame(node, d.sequence))
}

// suspectUnanswered marks the probed member as suspect if no acknowledgement
// arrived in its period. It sends the suspicion to the member directly, so that
// the member can refute it.
func (d *Detector) suspectUnanswered(now time.Time) []Outgoing {
	p := d.probe
	if p.node == "" || p.answered || !d.alive(p.node) {
		return nil
	}
	m := *d.members[p.node]
	m.State = Suspect
	d.setMember(now, m)
	d.enqueueRumour(m.Node)
	return []Outgoing{d.probeFrame(p.node, p.sequence)}
}

// nextMember returns the next live member of the round. Every round visits each
// member once in a new random order, which bounds the detection time.
func (d *Detector) nextMember(rng *rand.Rand) (string, bool) {
	d.insertNewMembers(rng)
	for range 2 {
		for d.probePosition < len(d.probeOrder) {
			node := d.probeOrder[d.probePosition]
			d.probePosition++
			if m := d.members[node]; m != nil && m.State.Live() {
				return node, true
			}
		}
		d.startRound(rng)
	}
	return "", false
}

func (d *Detector) startRound(rng *rand.Rand) {
	d.probeOrder = slices.Sorted(maps.Keys(d.members))
	rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	d.probePosition = 0
}

// insertNewMembers inserts new members at random positions of the current round.
func (d *Detector) insertNewMembers(rng *rand.Rand) {
	for _, node := range d.newMembers {
		at := d.probePosition + rng.IntN(len(d.probeOrder)-d.probePosition+1)
		d.probeOrder = slices.Insert(d.probeOrder, at, node)
	}
	d.newMembers = d.newMembers[:0]
}

func (d *Detector) probeFrame(to string, sequence uint64) Outgoing {
	m := &peerpb.Probe{Sequence: sequence, From: d.self.Node, To: to, Rumours: d.takeRumours(to)}
	return d.outgoing(to, &peerpb.Frame{Kind: &peerpb.Frame_Probe{Probe: m}})
}

// probeDead probes one random dead member, which answers if it is running again.
func (d *Detector) probeDead(rng *rand.Rand) []Outgoing {
	var dead []string
	for node, m := range d.members {
		if m.State == Dead {
			dead = append(dead, node)
		}
	}
	slices.Sort(dead)
	if len(dead) == 0 {
		return nil
	}
	d.sequence++
	return []Outgoing{d.probeFrame(dead[rng.IntN(len(dead))], d.sequence)}
}

func (d *Detector) onProbe(now time.Time, from string, m *peerpb.Probe) []Outgoing {
	// The address may have been reassigned to this node from another one.
	if m.GetTo() != d.self.Node {
		return nil
	}
	d.mergeRecords(now, m.GetRumours().GetMembers())
	ack := &peerpb.ProbeAck{
		Sequence:    m.GetSequence(),
		From:        d.self.Node,
		Rumours:     d.takeRumours(from),
		MembersHash: d.hash,
	}
	return append(d.syncIfUnknown(now, from), d.ackFrame(from, ack))
}

func (d *Detector) onIndirectProbe(now time.Time, from string, m *peerpb.IndirectProbe) []Outgoing {
	d.mergeRecords(now, m.GetRumours().GetMembers())
	if d.members[m.GetTo()] == nil || len(d.relayed) >= maxRelayed {
		return nil
	}
	d.sequence++
	d.relayed[d.sequence] = relayedProbe{requester: from, sequence: m.GetSequence(), node: m.GetTo(), sentAt: now}
	return []Outgoing{d.probeFrame(m.GetTo(), d.sequence)}
}

func (d *Detector) onAck(now time.Time, from string, m *peerpb.ProbeAck) []Outgoing {
	d.mergeRecords(now, m.GetRumours().GetMembers())
	if r, ok := d.relayed[m.GetSequence()]; ok && r.node == from {
		delete(d.relayed, m.GetSequence())
		ack := &peerpb.ProbeAck{Sequence: r.sequence, From: r.node, Rumours: d.takeRumours(r.requester)}
		return []Outgoing{d.ackFrame(r.requester, ack)}
	}
	if m.GetFrom() == d.probe.node && m.GetSequence() == d.probe.sequence {
		d.probe.answered = true
	}
	return d.syncIfDifferent(now, from, m.GetMembersHash())
}

// dropRelayed removes relayed probes that were not acknowledged in time.
func (d *Detector) dropRelayed(now time.Time) {
	maps.DeleteFunc(d.relayed, func(_ uint64, r relayedProbe) bool { return now.Sub(r.sentAt) > probePeriod })
}

func (d *Detector) ackFrame(to string, m *peerpb.ProbeAck) Outgoing {
	return d.outgoing(to, &peerpb.Frame{Kind: &peerpb.Frame_ProbeAck{ProbeAck: m}})
}
