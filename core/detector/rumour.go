package detector

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// rumoursPerMessage keeps a probe well below the size of one packet.
	rumoursPerMessage = 6
	// A rumour is sent retransmitFactor times the binary logarithm of the number
	// of members.
	retransmitFactor = 3
	// An exchange that changes more records than maxSyncRumours is not
	// disseminated, so that a joining node does not gossip the whole membership.
	maxSyncRumours = 16
)

// rumour is a membership update being disseminated. The record is looked up when
// it is sent, so that only the newest one is transmitted.
type rumour struct {
	node          string
	transmissions int
}

// enqueueRumour queues the record of a node for dissemination and resets its
// transmission count.
func (d *Detector) enqueueRumour(node string) {
	d.rumours = slices.DeleteFunc(d.rumours, func(r rumour) bool { return r.node == node })
	d.rumours = slices.Insert(d.rumours, 0, rumour{node: node})
}

// takeRumours returns the rumours for one message, the least transmitted first.
// If the receiver is not alive in this view, its own record precedes them, so
// that it can refute the state.
func (d *Detector) takeRumours(to string) *peerpb.Rumours {
	out := &peerpb.Rumours{}
	if record := d.refutableRecord(to); record != nil {
		out.Members = append(out.Members, record)
	}
	slices.SortStableFunc(d.rumours, func(a, b rumour) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for i := range d.rumours {
		if len(out.Members) >= rumoursPerMessage {
			break
		}
		r := &d.rumours[i]
		r.transmissions++
		if m := d.lookup(r.node); m != nil && r.node != to {
			out.Members = append(out.Members, d.compactRecord(m))
		}
	}
	limit := retransmitFactor * bits.Len(uint(len(d.members)+1))
	d.rumours = slices.DeleteFunc(d.rumours, func(r rumour) bool { return r.transmissions >= limit })
	return out
}

// compactRecord returns the wire form of a record without the failure domain,
// which all members share.
func (d *Detector) compactRecord(m *Member) *peerpb.Member {
	p := m.Proto()
	p.FailureDomain = ""
	return p
}

// refutableRecord returns the record of a node that is known as suspect, dead,
// left or removed, for the node to refute, and nil otherwise.
func (d *Detector) refutableRecord(node string) *peerpb.Member {
	if m := d.members[node]; m != nil {
		if m.State == Alive {
			return nil
		}
		return d.compactRecord(m)
	}
	if incarnation, ok := d.removed[node]; ok {
		return &peerpb.Member{Node: node, Incarnation: incarnation, State: peerpb.MemberState_MEMBER_STATE_DEAD}
	}
	return nil
}

// mergeRecords merges records from a message and disseminates those that change
// the view.
func (d *Detector) mergeRecords(now time.Time, records []*peerpb.Member) {
	for _, record := range records {
		if d.mergeRecord(now, record) {
			d.enqueueRumour(record.GetNode())
		}
	}
}

// mergeRecord merges one record and reports whether it adds or replaces the
// record of another node.
func (d *Detector) mergeRecord(now time.Time, record *peerpb.Member) bool {
	m, ok := FromProto(record)
	if !ok || (m.FailureDomain != "" && m.FailureDomain != d.self.FailureDomain) {
		return false
	}
	m.FailureDomain = d.self.FailureDomain
	if m.Node == d.self.Node {
		d.refuteOwnRecord(&m)
		return false
	}
	if known := d.members[m.Node]; known != nil {
		if !overrides(m.Incarnation, m.State, known) {
			return false
		}
	} else if !d.admit(&m) {
		return false
	}
	d.setMember(now, m)
	return true
}

// refuteOwnRecord refutes a record of the local node that differs from the
// current one, such as a suspicion or a record of an earlier process.
func (d *Detector) refuteOwnRecord(m *Member) {
	current := m.Incarnation == d.self.Incarnation && m.State == Alive && m.RelayAddress == d.self.RelayAddress
	if m.Incarnation >= d.self.Incarnation && !current {
		d.raiseIncarnation(m.Incarnation)
	}
}

// admit reports whether a node that is not a member may be added. A node that is
// not live is recorded as removed.
func (d *Detector) admit(m *Member) bool {
	if !m.State.Live() {
		d.recordRemoval(m.Node, m.Incarnation)
		return false
	}
	lastIncarnation, wasRemoved := d.removed[m.Node]
	return m.RelayAddress.IsValid() && len(d.members) < maxMembers && (!wasRemoved || m.Incarnation > lastIncarnation)
}

// setMember adds or replaces the record of another node.
func (d *Detector) setMember(now time.Time, m Member) {
	m.Since = now
	if known := d.members[m.Node]; known != nil {
		d.hash ^= known.hash()
		if known.State == m.State {
			m.Since = known.Since
		}
		if !m.RelayAddress.IsValid() {
			m.RelayAddress = known.RelayAddress
		}
	}
	if d.members[m.Node] == nil {
		d.newMembers = append(d.newMembers, m.Node)
	}
	d.hash ^= m.hash()
	d.members[m.Node] = &m
	delete(d.suspicionDeadlines, m.Node)
	if m.State == Suspect {
		d.suspicionDeadlines[m.Node] = now.Add(d.suspicionTimeout())
	}
	d.revision++
}
