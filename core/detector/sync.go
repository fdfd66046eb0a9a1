package detector

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Handle processes a frame from a node, whose name the session has
// authenticated, and returns the frames to send.
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
		d.mergeRecords(now, kind.Rumours.GetMembers())
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
	record := d.compactRecord(known)
	record.Incarnation = m.GetIncarnation()
	record.State = peerpb.MemberState_MEMBER_STATE_LEFT
	d.mergeRecords(now, []*peerpb.Member{record})
}

// syncIfUnknown exchanges all members with a node of which there is no record, as
// when both sides of a long partition have dropped the records of each other.
func (d *Detector) syncIfUnknown(now time.Time, from string) []Outgoing {
	if d.members[from] != nil || d.refutableRecord(from) != nil {
		return nil
	}
	return d.sync(now, from)
}

// syncIfDifferent exchanges all members when no peer has reported the same hash
// for longer than a rumour usually takes to propagate.
func (d *Detector) syncIfDifferent(now time.Time, from string, hash uint64) []Outgoing {
	if hash == 0 {
		return nil
	}
	if hash == d.hash || d.lastAgreement.IsZero() {
		d.lastAgreement = now
	}
	if now.Sub(d.lastAgreement) < divergenceTimeout {
		return nil
	}
	return d.sync(now, from)
}

func (d *Detector) sync(now time.Time, with string) []Outgoing {
	if now.Before(d.nextSync) {
		return nil
	}
	d.nextSync = now.Add(syncPeriod)
	m := &peerpb.MembersUpdate{From: d.self.Node, Request: true, Complete: true, Members: d.newerRecords(nil)}
	return []Outgoing{d.outgoing(with, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: m}})}
}

func (d *Detector) onMembers(now time.Time, from string, m *peerpb.MembersUpdate) []Outgoing {
	var changed []string
	for _, record := range m.GetMembers() {
		if d.mergeRecord(now, record) {
			changed = append(changed, record.GetNode())
		}
	}
	if len(changed) <= maxSyncRumours {
		for _, node := range changed {
			d.enqueueRumour(node)
		}
	}
	if !m.GetRequest() {
		return nil
	}
	answer := &peerpb.MembersUpdate{From: d.self.Node, Complete: true, Members: d.newerRecords(m.GetMembers())}
	return []Outgoing{d.outgoing(from, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: answer}})}
}

// newerRecords returns the records that override the given ones of a peer or that
// the peer lacks.
func (d *Detector) newerRecords(records []*peerpb.Member) []*peerpb.Member {
	peerRecords := make(map[string]*peerpb.Member, len(records))
	var out []*peerpb.Member
	for _, record := range records {
		peerRecords[record.GetNode()] = record
		if d.lookup(record.GetNode()) != nil {
			continue
		}
		if refutable := d.refutableRecord(record.GetNode()); refutable != nil {
			out = append(out, refutable)
		}
	}
	for _, m := range d.Members() {
		record, known := peerRecords[m.Node]
		peerMember := Member{Incarnation: record.GetIncarnation(), State: State(record.GetState())}
		if !known || overrides(m.Incarnation, m.State, &peerMember) {
			out = append(out, d.compactRecord(&m))
		}
	}
	return out
}
