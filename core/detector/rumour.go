package detector

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// rumoursPerMessage keeps a probe well below one packet.
	rumoursPerMessage = 6
	// resends times the logarithm of the number of members is how often a
	// rumour is sent.
	resends = 3
	// syncRumours bounds how many records of a full exchange are spread on, so
	// that a joining node does not repeat the whole domain.
	syncRumours = 16
)

// rumour is a record that is being spread. Its content is read from the table
// when it is sent, so that only the newest record travels.
type rumour struct {
	node string
	sent int
}

// spread starts to send the record of a node, again from the beginning.
func (d *Detector) spread(node string) {
	d.rumours = slices.DeleteFunc(d.rumours, func(r rumour) bool { return r.node == node })
	d.rumours = slices.Insert(d.rumours, 0, rumour{node: node})
}

// takeRumours returns the rumours for one message, the least sent first. A
// receiver that is not held alive first hears so, to be able to refute.
func (d *Detector) takeRumours(to string) *peerpb.Rumours {
	out := &peerpb.Rumours{}
	if record := d.doubt(to); record != nil {
		out.Members = append(out.Members, record)
	}
	slices.SortStableFunc(d.rumours, func(a, b rumour) int { return cmp.Compare(a.sent, b.sent) })
	for i := range d.rumours {
		if len(out.Members) >= rumoursPerMessage {
			break
		}
		r := &d.rumours[i]
		r.sent++
		if m := d.lookup(r.node); m != nil && r.node != to {
			out.Members = append(out.Members, d.compact(m))
		}
	}
	limit := resends * bits.Len(uint(len(d.members)+1))
	d.rumours = slices.DeleteFunc(d.rumours, func(r rumour) bool { return r.sent >= limit })
	return out
}

// compact leaves out the failure domain, which all members share.
func (d *Detector) compact(m *Member) *peerpb.Member {
	p := m.Proto()
	p.FailureDomain = ""
	return p
}

// doubt returns what a node must hear about itself, if anything.
func (d *Detector) doubt(node string) *peerpb.Member {
	if m := d.members[node]; m != nil {
		if m.State == Alive {
			return nil
		}
		return d.compact(m)
	}
	if incarnation, ok := d.forgotten[node]; ok {
		return &peerpb.Member{Node: node, Incarnation: incarnation, State: peerpb.MemberState_MEMBER_STATE_DEAD}
	}
	return nil
}

// hear takes records from a message and spreads those that change the view.
func (d *Detector) hear(now time.Time, records []*peerpb.Member) {
	for _, record := range records {
		if d.hearOne(now, record) {
			d.spread(record.GetNode())
		}
	}
}

// hearOne takes one record and reports whether it changes the view of another
// node.
func (d *Detector) hearOne(now time.Time, record *peerpb.Member) bool {
	m, ok := FromProto(record)
	if !ok || (m.FailureDomain != "" && m.FailureDomain != d.self.FailureDomain) {
		return false
	}
	m.FailureDomain = d.self.FailureDomain
	if m.Node == d.self.Node {
		d.hearSelf(&m)
		return false
	}
	if known := d.members[m.Node]; known != nil {
		if !overrides(m.Incarnation, m.State, known) {
			return false
		}
	} else if !d.admit(&m) {
		return false
	}
	d.store(now, m)
	return true
}

// hearSelf refutes a record of the own node that is not the current one, such
// as a suspicion or a record of an earlier process.
func (d *Detector) hearSelf(m *Member) {
	own := m.Incarnation == d.self.Incarnation && m.State == Alive && m.RelayAddress == d.self.RelayAddress
	if m.Incarnation >= d.self.Incarnation && !own {
		d.raise(m.Incarnation)
	}
}

// admit decides on a node that is not in the table.
func (d *Detector) admit(m *Member) bool {
	if !m.State.Live() {
		d.bury(m.Node, m.Incarnation)
		return false
	}
	last, gone := d.forgotten[m.Node]
	return m.RelayAddress.IsValid() && len(d.members) < maxMembers && (!gone || m.Incarnation > last)
}

// store replaces the record of another node.
func (d *Detector) store(now time.Time, m Member) {
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
		d.joined = append(d.joined, m.Node)
	}
	d.hash ^= m.hash()
	d.members[m.Node] = &m
	delete(d.suspects, m.Node)
	if m.State == Suspect {
		d.suspects[m.Node] = now.Add(d.suspicionTime())
	}
	d.revision++
}
