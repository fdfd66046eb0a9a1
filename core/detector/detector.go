// Package detector keeps the membership of one failure domain by probes and
// rumours in the manner of SWIM.
package detector

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	probePeriod    = time.Second
	ackTimeout     = 300 * time.Millisecond
	indirectProbes = 3
	// A rumour reaches all members in a time that grows with the logarithm of
	// their number, and so does the time to refute a suspicion.
	suspicionPeriod = 3 * time.Second
	// Dead members are probed now and then, so that the two sides of a healed
	// partition find each other.
	sweepPeriod = 5 * time.Second
	forgetAfter = 10 * time.Minute
	// A full exchange costs up to 30 KB at 289 members, so it waits until the
	// rumours have had time to travel.
	disagreement = 5 * time.Second
	syncPeriod   = 5 * time.Second
	// A longer time between two ticks means that this process was paused.
	pauseAfter = 3 * time.Second
)

// Bounds on what is kept and on what is accepted from the network. At 11,000
// restarts a day over 18 failure domains, 4096 forgotten names last for days.
const (
	maxMembers     = 2048
	maxForgotten   = 4096
	maxRelayed     = 256
	maxNameBytes   = 255
	maxIncarnation = math.MaxUint64 / 2
)

// Settings describes the own node.
type Settings struct {
	Node          string
	FailureDomain string
	RelayAddress  netip.AddrPort
	// Incarnation should exceed that of earlier processes of this node, such
	// as the start time in milliseconds.
	Incarnation uint64
	Version     string
}

// Outgoing is a frame to be sent to a node. The address is the zero value when
// the node is no member; the frame then goes back on the session of the frame
// that it answers.
type Outgoing struct {
	To      string
	Address netip.AddrPort
	Frame   *peerpb.Frame
}

// Detector is the view of one node. It is not safe for concurrent use.
type Detector struct {
	self      Member
	members   map[string]*Member
	suspects  map[string]time.Time
	forgotten map[string]uint64
	// forgottenOrder lists the forgotten names, oldest first.
	forgottenOrder []string
	rumours        []rumour
	relayed        map[uint64]relayedProbe

	// order is the current round of probes; joined waits for a place in it.
	order    []string
	position int
	joined   []string
	probe    probe
	sequence uint64

	hash     uint64
	revision uint64

	nextProbe time.Time
	nextSweep time.Time
	nextSync  time.Time
	// agreed is when a peer last showed the same view.
	agreed   time.Time
	lastTick time.Time
}

// New returns a detector that knows only its own node.
func New(now time.Time, s Settings) *Detector {
	d := &Detector{
		self: Member{
			Node:          s.Node,
			FailureDomain: s.FailureDomain,
			RelayAddress:  s.RelayAddress,
			Incarnation:   min(max(s.Incarnation, 1), maxIncarnation-1),
			State:         Alive,
			Version:       s.Version,
			Since:         now,
		},
		members:   make(map[string]*Member),
		suspects:  make(map[string]time.Time),
		forgotten: make(map[string]uint64),
		relayed:   make(map[uint64]relayedProbe),
	}
	d.hash = d.self.hash()
	d.spread(s.Node)
	return d
}

// Self returns the own record.
func (d *Detector) Self() Member { return d.self }

// Revision changes with every change of the view.
func (d *Detector) Revision() uint64 { return d.revision }

// Member returns the record of a node.
func (d *Detector) Member(node string) (Member, bool) {
	m := d.lookup(node)
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Members returns all records, the own one included, in the order of names.
func (d *Detector) Members() []Member {
	members := make([]Member, 0, len(d.members)+1)
	members = append(members, d.self)
	for _, m := range d.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

// SetGateway records the gateway of the own VM; the zero address means none.
func (d *Detector) SetGateway(address netip.AddrPort, incarnation uint64) {
	if d.self.GatewayAddress == address && d.self.GatewayIncarnation == incarnation {
		return
	}
	d.self.GatewayAddress = address
	d.self.GatewayIncarnation = incarnation
	d.raise(d.self.Incarnation)
}

// SetReadsStore records whether the own node reaches the store.
func (d *Detector) SetReadsStore(reads bool) {
	if d.self.ReadsStore == reads {
		return
	}
	d.self.ReadsStore = reads
	d.raise(d.self.Incarnation)
}

// Join asks a node for all members. The process calls it with the nodes that
// it meets at the seed addresses and at those of the VM list.
func (d *Detector) Join(node string) []Outgoing {
	m := &peerpb.MembersUpdate{From: d.self.Node, Request: true, Members: []*peerpb.Member{d.self.Proto()}}
	return []Outgoing{d.outgoing(node, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: m}})}
}

// Leave announces the planned stop of the own node to every live member,
// because a rumour alone may take longer than the 2 s that a stop allows.
func (d *Detector) Leave(now time.Time) []Outgoing {
	d.hash ^= d.self.hash()
	d.self.State = Left
	d.self.Since = now
	d.spread(d.self.Node)
	d.revision++
	var out []Outgoing
	for _, node := range slices.Sorted(maps.Keys(d.members)) {
		if d.members[node].State.Live() {
			leaving := &peerpb.Leaving{Node: d.self.Node, Incarnation: d.self.Incarnation}
			out = append(out, d.outgoing(node, &peerpb.Frame{Kind: &peerpb.Frame_Leaving{Leaving: leaving}}))
		}
	}
	return out
}

func (d *Detector) lookup(node string) *Member {
	if node == d.self.Node {
		return &d.self
	}
	return d.members[node]
}

// raise gives the own record an incarnation above one that was heard of.
func (d *Detector) raise(heard uint64) {
	if d.self.State == Left {
		return
	}
	d.hash ^= d.self.hash()
	d.self.Incarnation = max(d.self.Incarnation, heard) + 1
	d.hash ^= d.self.hash()
	d.spread(d.self.Node)
	d.revision++
}

func (d *Detector) outgoing(to string, frame *peerpb.Frame) Outgoing {
	var address netip.AddrPort
	if m := d.members[to]; m != nil {
		address = m.RelayAddress
	}
	return Outgoing{To: to, Address: address, Frame: frame}
}

// suspicionTime grows with the logarithm of the number of members.
func (d *Detector) suspicionTime() time.Duration {
	factor := max(1, math.Log10(float64(len(d.members)+1)))
	return time.Duration(float64(suspicionPeriod) * factor)
}

// Tick sends the probes that are due and lets suspicions expire.
func (d *Detector) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > pauseAfter {
		d.resume(now)
	}
	d.lastTick = now
	d.expire(now)
	out := d.checkProbe(now, rng)
	if !now.Before(d.nextProbe) && d.self.State != Left {
		d.nextProbe = now.Add(probePeriod)
		out = append(out, d.startProbe(now, rng)...)
	}
	if !now.Before(d.nextSweep) {
		d.nextSweep = now.Add(sweepPeriod)
		d.forget(now)
		d.dropRelayed(now)
		out = append(out, d.probeDead(rng)...)
	}
	return out
}

// resume follows a pause of this process. What it was about to say is old, and
// it has heard no refutation of its suspicions; others may hold it dead.
func (d *Detector) resume(now time.Time) {
	d.rumours = nil
	d.probe = probe{}
	for node := range d.suspects {
		d.suspects[node] = now.Add(d.suspicionTime())
	}
	d.raise(d.self.Incarnation)
}

// expire declares the members dead that did not refute their suspicion.
func (d *Detector) expire(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(d.suspects)) {
		if !now.Before(d.suspects[node]) {
			m := *d.members[node]
			m.State = Dead
			d.store(now, m)
			d.spread(node)
		}
	}
}

// forget removes members that are gone for long. Their incarnation is kept, so
// that an old rumour does not bring them back.
func (d *Detector) forget(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[node]
		if !m.State.Live() && now.Sub(m.Since) >= forgetAfter {
			d.bury(node, m.Incarnation)
			delete(d.members, node)
			d.revision++
		}
	}
}

func (d *Detector) bury(node string, incarnation uint64) {
	if _, ok := d.forgotten[node]; !ok {
		d.forgottenOrder = append(d.forgottenOrder, node)
	}
	d.forgotten[node] = max(d.forgotten[node], incarnation)
	if len(d.forgottenOrder) > maxForgotten {
		delete(d.forgotten, d.forgottenOrder[0])
		d.forgottenOrder = slices.Delete(d.forgottenOrder, 0, 1)
	}
}
