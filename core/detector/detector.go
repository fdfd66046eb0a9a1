// Package detector maintains the membership of one failure domain with the SWIM
// protocol: probes detect failures and rumours disseminate membership updates.
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
	probePeriod        = time.Second
	ackTimeout         = 300 * time.Millisecond
	indirectProbeCount = 3
	// The suspicion timeout grows with the logarithm of the number of members, as
	// does the time in which a rumour reaches all of them.
	minSuspicionTimeout = 3 * time.Second
	// Each sweep probes one dead member, so that the two sides of a healed
	// partition rejoin.
	sweepPeriod   = 5 * time.Second
	deadRetention = 10 * time.Minute
	// A full exchange costs up to 30 KB at 289 members, so it is delayed until
	// rumours have had time to propagate.
	divergenceTimeout = 5 * time.Second
	syncPeriod        = 5 * time.Second
	// A longer interval between two ticks means that the process was paused.
	pauseThreshold = 3 * time.Second
)

// Bounds on the stored records and on those accepted from the network. At
// 11,000 restarts a day over 18 failure domains, 4096 removed members cover
// several days.
const (
	maxMembers     = 2048
	maxRemoved     = 4096
	maxRelayed     = 256
	maxNameBytes   = 255
	maxIncarnation = math.MaxUint64 / 2
)

// Settings describes the local node.
type Settings struct {
	Node          string
	FailureDomain string
	RelayAddress  netip.AddrPort
	// Incarnation should exceed that of earlier processes of this node. The start
	// time in milliseconds is a suitable value.
	Incarnation uint64
	Version     string
}

// Outgoing is a frame to be sent to a node. The address is the zero value when
// the node is not a member; the frame is then sent on the session that delivered
// the frame being answered.
type Outgoing struct {
	To      string
	Address netip.AddrPort
	Frame   *peerpb.Frame
}

// Detector holds the membership as one node sees it. It is not safe for
// concurrent use.
type Detector struct {
	self               Member
	members            map[string]*Member
	suspicionDeadlines map[string]time.Time
	// removed holds the last incarnation of each removed member.
	removed map[string]uint64
	// removedOrder lists the names in removed, oldest first.
	removedOrder []string
	rumours      []rumour
	// relayed holds the pending probes on behalf of other nodes by sequence.
	relayed map[uint64]relayedProbe

	// probeOrder is the current round of probes. newMembers are inserted into it
	// before the next probe.
	probeOrder    []string
	probePosition int
	newMembers    []string
	probe         probe
	sequence      uint64

	// hash identifies the set of live members and their incarnations.
	hash     uint64
	revision uint64

	nextProbe time.Time
	nextSweep time.Time
	nextSync  time.Time
	// lastAgreement is when a peer last reported the same hash.
	lastAgreement time.Time
	lastTick      time.Time
}

// New returns a detector whose only member is the local node.
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
		members:            make(map[string]*Member),
		suspicionDeadlines: make(map[string]time.Time),
		removed:            make(map[string]uint64),
		relayed:            make(map[uint64]relayedProbe),
	}
	d.hash = d.self.hash()
	d.enqueueRumour(s.Node)
	return d
}

// Self returns the record of the local node.
func (d *Detector) Self() Member { return d.self }

// Revision returns a number that increases with every change of the membership.
func (d *Detector) Revision() uint64 { return d.revision }

// Member returns the record of a node.
func (d *Detector) Member(node string) (Member, bool) {
	m := d.lookup(node)
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Members returns all records, including that of the local node, sorted by name.
func (d *Detector) Members() []Member {
	members := make([]Member, 0, len(d.members)+1)
	members = append(members, d.self)
	for _, m := range d.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

// SetGateway records the gateway of the local VM; the zero address means none.
func (d *Detector) SetGateway(address netip.AddrPort, incarnation uint64) {
	if d.self.GatewayAddress == address && d.self.GatewayIncarnation == incarnation {
		return
	}
	d.self.GatewayAddress = address
	d.self.GatewayIncarnation = incarnation
	d.raiseIncarnation(d.self.Incarnation)
}

// SetReachesStore records whether the local node reaches the store.
func (d *Detector) SetReachesStore(reaches bool) {
	if d.self.ReachesStore == reaches {
		return
	}
	d.self.ReachesStore = reaches
	d.raiseIncarnation(d.self.Incarnation)
}

// Join requests the full membership from a node. The process calls it for the
// nodes found at the seed addresses and at the addresses of the VM list.
func (d *Detector) Join(node string) []Outgoing {
	m := &peerpb.MembersUpdate{From: d.self.Node, Request: true, Members: []*peerpb.Member{d.self.Proto()}}
	return []Outgoing{d.outgoing(node, &peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: m}})}
}

// Leave announces the planned stop of the local node to every live member
// directly, because a rumour may take longer than the 2 s allowed for a stop.
func (d *Detector) Leave(now time.Time) []Outgoing {
	d.hash ^= d.self.hash()
	d.self.State = Left
	d.self.Since = now
	d.enqueueRumour(d.self.Node)
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

// raiseIncarnation gives the local node an incarnation above both its own and
// the observed one.
func (d *Detector) raiseIncarnation(observed uint64) {
	if d.self.State == Left {
		return
	}
	d.hash ^= d.self.hash()
	d.self.Incarnation = max(d.self.Incarnation, observed) + 1
	d.hash ^= d.self.hash()
	d.enqueueRumour(d.self.Node)
	d.revision++
}

func (d *Detector) outgoing(to string, frame *peerpb.Frame) Outgoing {
	var address netip.AddrPort
	if m := d.members[to]; m != nil {
		address = m.RelayAddress
	}
	return Outgoing{To: to, Address: address, Frame: frame}
}

// suspicionTimeout grows with the logarithm of the number of members.
func (d *Detector) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(d.members)+1)))
	return time.Duration(float64(minSuspicionTimeout) * factor)
}

// Tick sends the probes that are due and expires suspicions.
func (d *Detector) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > pauseThreshold {
		d.resumeAfterPause(now)
	}
	d.lastTick = now
	d.expireSuspicions(now)
	out := d.checkProbe(now, rng)
	if !now.Before(d.nextProbe) && d.self.State != Left {
		d.nextProbe = now.Add(probePeriod)
		out = append(out, d.startProbe(now, rng)...)
	}
	if !now.Before(d.nextSweep) {
		d.nextSweep = now.Add(sweepPeriod)
		d.removeExpired(now)
		d.dropRelayed(now)
		out = append(out, d.probeDead(rng)...)
	}
	return out
}

// resumeAfterPause discards the queued rumours and the last probe, which are
// stale after a pause of the process, and restarts the suspicion timeouts,
// because no refutations were received. It raises the incarnation, as other nodes
// may have declared this one dead.
func (d *Detector) resumeAfterPause(now time.Time) {
	d.rumours = nil
	d.probe = probe{}
	for node := range d.suspicionDeadlines {
		d.suspicionDeadlines[node] = now.Add(d.suspicionTimeout())
	}
	d.raiseIncarnation(d.self.Incarnation)
}

// expireSuspicions declares suspects dead that did not refute the suspicion in
// time.
func (d *Detector) expireSuspicions(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(d.suspicionDeadlines)) {
		if !now.Before(d.suspicionDeadlines[node]) {
			m := *d.members[node]
			m.State = Dead
			d.setMember(now, m)
			d.enqueueRumour(node)
		}
	}
}

// removeExpired removes members that have been dead or left for the retention
// period. Their incarnation is kept, so that an old rumour does not re-add them.
func (d *Detector) removeExpired(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[node]
		if !m.State.Live() && now.Sub(m.Since) >= deadRetention {
			d.recordRemoval(node, m.Incarnation)
			delete(d.members, node)
			d.revision++
		}
	}
}

// recordRemoval stores the last incarnation of a removed node and drops the
// oldest entry above the limit.
func (d *Detector) recordRemoval(node string, incarnation uint64) {
	if _, ok := d.removed[node]; !ok {
		d.removedOrder = append(d.removedOrder, node)
	}
	d.removed[node] = max(d.removed[node], incarnation)
	if len(d.removedOrder) > maxRemoved {
		delete(d.removed, d.removedOrder[0])
		d.removedOrder = slices.Delete(d.removedOrder, 0, 1)
	}
}
