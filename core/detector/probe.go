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
	node     string
	sequence uint64
	sent     time.Time
	indirect bool
	answered bool
}

// relayedProbe is a probe on behalf of another node.
type relayedProbe struct {
	asker    string
	sequence uint64
	node     string
	sent     time.Time
}

// checkProbe asks others to probe a member that did not answer.
func (d *Detector) checkProbe(now time.Time, rng *rand.Rand) []Outgoing {
	p := &d.probe
	if p.node == "" || p.answered || p.indirect || now.Sub(p.sent) < ackTimeout {
		return nil
	}
	p.indirect = true
	var out []Outgoing
	for _, helper := range d.helpers(rng, p.node) {
		m := &peerpb.IndirectProbe{Sequence: p.sequence, From: d.self.Node, To: p.node, Rumours: d.takeRumours(helper)}
		out = append(out, d.outgoing(helper, &peerpb.Frame{Kind: &peerpb.Frame_IndirectProbe{IndirectProbe: m}}))
	}
	return out
}

// helpers returns random members that may probe a node.
func (d *Detector) helpers(rng *rand.Rand, except string) []string {
	var helpers []string
	if len(d.order) == 0 {
		return nil
	}
	for range 4 * indirectProbes {
		node := d.order[rng.IntN(len(d.order))]
		if node != except && d.alive(node) && !slices.Contains(helpers, node) {
			helpers = append(helpers, node)
		}
		if len(helpers) == indirectProbes {
			break
		}
	}
	return helpers
}

func (d *Detector) alive(node string) bool {
	m := d.members[node]
	return m != nil && m.State == Alive
}

// startProbe ends the period of the last probe and starts the next one.
func (d *Detector) startProbe(now time.Time, rng *rand.Rand) []Outgoing {
	out := d.suspectUnanswered(now)
	node, ok := d.nextMember(rng)
	if !ok {
		d.probe = probe{}
		return out
	}
	d.sequence++
	d.probe = probe{node: node, sequence: d.sequence, sent: now}
	return append(out, d.probeFrame(node, d.sequence))
}

// suspectUnanswered suspects the member that gave no answer in its period, and
// tells it so directly.
func (d *Detector) suspectUnanswered(now time.Time) []Outgoing {
	p := d.probe
	if p.node == "" || p.answered || !d.alive(p.node) {
		return nil
	}
	m := *d.members[p.node]
	m.State = Suspect
	d.store(now, m)
	d.spread(m.Node)
	return []Outgoing{d.probeFrame(p.node, p.sequence)}
}

// nextMember returns the next live member of the round. Every round visits
// each member once in a new random order, which bounds the time to detection.
func (d *Detector) nextMember(rng *rand.Rand) (string, bool) {
	d.insertJoined(rng)
	for range 2 {
		for d.position < len(d.order) {
			node := d.order[d.position]
			d.position++
			if m := d.members[node]; m != nil && m.State.Live() {
				return node, true
			}
		}
		d.startRound(rng)
	}
	return "", false
}

func (d *Detector) startRound(rng *rand.Rand) {
	d.order = slices.Sorted(maps.Keys(d.members))
	rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	d.position = 0
}

// insertJoined gives new members a random place in the current round.
func (d *Detector) insertJoined(rng *rand.Rand) {
	for _, node := range d.joined {
		at := d.position + rng.IntN(len(d.order)-d.position+1)
		d.order = slices.Insert(d.order, at, node)
	}
	d.joined = d.joined[:0]
}

func (d *Detector) probeFrame(to string, sequence uint64) Outgoing {
	m := &peerpb.Probe{Sequence: sequence, From: d.self.Node, To: to, Rumours: d.takeRumours(to)}
	return d.outgoing(to, &peerpb.Frame{Kind: &peerpb.Frame_Probe{Probe: m}})
}

// probeDead contacts one dead member, which answers if it is back.
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
	// The address of a former node may belong to this one by now.
	if m.GetTo() != d.self.Node {
		return nil
	}
	d.hear(now, m.GetRumours().GetMembers())
	ack := &peerpb.ProbeAck{
		Sequence:    m.GetSequence(),
		From:        d.self.Node,
		Rumours:     d.takeRumours(from),
		MembersHash: d.hash,
	}
	return append(d.meet(now, from), d.ackFrame(from, ack))
}

func (d *Detector) onIndirectProbe(now time.Time, from string, m *peerpb.IndirectProbe) []Outgoing {
	d.hear(now, m.GetRumours().GetMembers())
	if d.members[m.GetTo()] == nil || len(d.relayed) >= maxRelayed {
		return nil
	}
	d.sequence++
	d.relayed[d.sequence] = relayedProbe{asker: from, sequence: m.GetSequence(), node: m.GetTo(), sent: now}
	return []Outgoing{d.probeFrame(m.GetTo(), d.sequence)}
}

func (d *Detector) onAck(now time.Time, from string, m *peerpb.ProbeAck) []Outgoing {
	d.hear(now, m.GetRumours().GetMembers())
	if r, ok := d.relayed[m.GetSequence()]; ok && r.node == from {
		delete(d.relayed, m.GetSequence())
		ack := &peerpb.ProbeAck{Sequence: r.sequence, From: r.node, Rumours: d.takeRumours(r.asker)}
		return []Outgoing{d.ackFrame(r.asker, ack)}
	}
	if m.GetFrom() == d.probe.node && m.GetSequence() == d.probe.sequence {
		d.probe.answered = true
	}
	return d.syncIfDifferent(now, from, m.GetMembersHash())
}

// dropRelayed removes the probes for others that were not answered in time.
func (d *Detector) dropRelayed(now time.Time) {
	maps.DeleteFunc(d.relayed, func(_ uint64, r relayedProbe) bool { return now.Sub(r.sent) > probePeriod })
}

func (d *Detector) ackFrame(to string, m *peerpb.ProbeAck) Outgoing {
	return d.outgoing(to, &peerpb.Frame{Kind: &peerpb.Frame_ProbeAck{ProbeAck: m}})
}
