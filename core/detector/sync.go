package detector

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Handle takes one frame from a node, which the session has authenticated.
func (d *Detector) Handle(now time.Time, from string, frame *peerpb.Frame) []Outgoing {
	if from == d.self.Node {
		return nil
	}
	switch kind := frame.GetKind().(type) {
	case *peerpb.Frame_Probe:
		return d.onProbe(now, from, kind.Probe)
	case *peerpb.Frame_ProbeAck:
		return d.onAck(now, from, kind.ProbeAck)
	case *peerpb.Frame_IndirectProbe:
		return d.onIndirectProbe(now, from, kind.IndirectProbe)
	case *peerpb.Frame_Rumours:
		d.hear(now, kind.Rumours.GetMembers())
	case *peerpb.Frame_MembersUpdate:
		return d.onMembers(now, from, kind.MembersUpdate)
	case *peerpb.Frame_Leaving:
		d.onLeaving(now, kind.Leaving)
	}
	return nil
}

func (d *Detector) onLeaving(now time.Time, m *peerpb.Leaving) {
	known := d.members[m.GetNode()]
	if known == nil {
		return
	}
	record := d.compact(known)
	record.Incarnation = m.GetIncarnation()
	record.State = peerpb.MemberState_MEMBER_STATE_LEFT
	d.hear(now, []*peerpb.Member{record})
}

// meet asks a node for its members when it is unknown, as after both sides of
// a long partition have forgotten each other.
func (d *Detector) meet(now time.Time, from string) []Outgoing {
	if d.members[from] != nil || d.doubt(from) != nil {
		return nil
	}
	return d.sync(now, from)
}

// syncIfDifferent exchanges all members when no peer has shown the same view
// for longer than a rumour usually takes.
func (d *Detector) syncIfDifferent(now time.Time, from string, hash uint64) []Outgoing {
	if hash == 0 {
		return nil
	}
	if hash == d.hash || d.agreed.IsZero() {
		d.agreed = now
	}
	if now.Sub(d.agreed) < disagreement {
		return nil
	}
	return d.sync(now, from)
}

func (d *Detector) sync(now time.Time, with string) []Outgoing {
	if now.Before(d.nextSync) {
		return nil
	}
	d.nextSync = now.Add(syncPeriod)
	m := &peerpb.MembersUpdate{From: d.self.Node, Request: true, Complete: true, Members: d.newer(nil)}
	return []Outgoing{d.outgoing(with, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: m}})}
}

func (d *Detector) onMembers(now time.Time, from string, m *peerpb.MembersUpdate) []Outgoing {
	var changed []string
	for _, record := range m.GetMembers() {
		if d.hearOne(now, record) {
			changed = append(changed, record.GetNode())
		}
	}
	if len(changed) <= syncRumours {
		for _, node := range changed {
			d.spread(node)
		}
	}
	if !m.GetRequest() {
		return nil
	}
	answer := &peerpb.MembersUpdate{From: d.self.Node, Complete: true, Members: d.newer(m.GetMembers())}
	return []Outgoing{d.outgoing(from, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: answer}})}
}

// newer returns the records that override those of another node or that it
// lacks.
func (d *Detector) newer(records []*peerpb.Member) []*peerpb.Member {
	theirs := make(map[string]*peerpb.Member, len(records))
	var out []*peerpb.Member
	for _, record := range records {
		theirs[record.GetNode()] = record
		if d.lookup(record.GetNode()) != nil {
			continue
		}
		if gone := d.doubt(record.GetNode()); gone != nil {
			out = append(out, gone)
		}
	}
	for _, m := range d.Members() {
		record, known := theirs[m.Node]
		other := Member{Incarnation: record.GetIncarnation(), State: State(record.GetState())}
		if !known || overrides(m.Incarnation, m.State, &other) {
			out = append(out, d.compact(&m))
		}
	}
	return out
}
