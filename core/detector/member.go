package detector

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"jackdawcart.org/core/messenger/peerpb"
)

// State is the state of a member in one node's view.
type State uint8

// States of a member, in the order in which they override each other at the
// same incarnation.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// Live reports whether a member in this state counts as running.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is one relay of the failure domain.
type Member struct {
	Node          string
	FailureDomain string
	RelayAddress  netip.AddrPort
	// Incarnation orders the records of a member. Only the member itself
	// increments it.
	Incarnation uint64
	State       State
	// GatewayAddress is the zero value when no gateway is registered.
	GatewayAddress     netip.AddrPort
	GatewayIncarnation uint64
	ReachesStore       bool
	Version            string
	// Since is when the local node recorded the state.
	Since time.Time
}

// overrides reports whether a record supersedes a known one. Records are totally
// ordered by incarnation and state, so that all nodes converge to the same one.
func overrides(incarnation uint64, state State, known *Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return state > known.State
}

// hash returns the contribution of a member to the hash of the live members,
// which is 0 unless the member is live.
func (m *Member) hash() uint64 {
	if !m.State.Live() {
		return 0
	}
	var digest xxhash.Digest
	digest.ResetWithSeed(m.Incarnation)
	_, _ = digest.WriteString(m.Node)
	return digest.Sum64()
}

// Proto returns the wire form of the record.
func (m *Member) Proto() *peerpb.Member {
	return &peerpb.Member{
		Node:               m.Node,
		FailureDomain:      m.FailureDomain,
		RelayAddress:       formatAddress(m.RelayAddress),
		Incarnation:        m.Incarnation,
		State:              peerpb.MemberState(m.State),
		GatewayAddress:     formatAddress(m.GatewayAddress),
		GatewayIncarnation: m.GatewayIncarnation,
		ReadsStore:         m.ReachesStore,
		Version:            m.Version,
	}
}

// FromProto decodes the wire form of a record and reports whether it is valid.
func FromProto(p *peerpb.Member) (Member, bool) {
	relay, relayOK := parseAddress(p.GetRelayAddress())
	gateway, gatewayOK := parseAddress(p.GetGatewayAddress())
	m := Member{
		Node:               p.GetNode(),
		FailureDomain:      p.GetFailureDomain(),
		RelayAddress:       relay,
		Incarnation:        p.GetIncarnation(),
		State:              State(p.GetState()),
		GatewayAddress:     gateway,
		GatewayIncarnation: p.GetGatewayIncarnation(),
		ReachesStore:       p.GetReadsStore(),
		Version:            p.GetVersion(),
	}
	knownState := p.GetState() >= peerpb.MemberState_MEMBER_STATE_ALIVE && p.GetState() <= peerpb.MemberState_MEMBER_STATE_LEFT
	return m, relayOK && gatewayOK && knownState && m.withinLimits()
}

func (m *Member) withinLimits() bool {
	return m.Node != "" && len(m.Node) <= maxNameBytes &&
		len(m.Version) <= maxNameBytes && m.Incarnation < maxIncarnation
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddress(text string) (netip.AddrPort, bool) {
	if text == "" {
		return netip.AddrPort{}, true
	}
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
