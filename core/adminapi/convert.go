package adminapi

import (
	"net/netip"

	"jackdawcart.org/core/messenger/peerpb"
)

// MemberOf converts a member record to its view.
func MemberOf(m *peerpb.Member) Member {
	view := Member{
		Node:           m.Node,
		FailureDomain:  m.FailureDomain,
		State:          memberState(m.State),
		Incarnation:    m.Incarnation,
		SessionAddress: parseAddress(m.RelayAddress),
		Gateways:       []Gateway{},
	}
	if m.GatewayAddress != "" {
		view.Gateways = append(view.Gateways, Gateway{
			Incarnation: m.GatewayIncarnation, SessionAddress: parseAddress(m.GatewayAddress), Ready: true,
		})
	}
	return view
}

func memberState(state peerpb.MemberState) string {
	switch state {
	case peerpb.MemberState_MEMBER_STATE_SUSPECT:
		return MemberSuspect
	case peerpb.MemberState_MEMBER_STATE_DEAD:
		return MemberDead
	case peerpb.MemberState_MEMBER_STATE_LEFT:
		return MemberLeft
	default:
		return MemberAlive
	}
}

// parseAddress returns the zero value for an address that cannot be parsed, as a
// peer may send one.
func parseAddress(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// TargetStateOf converts the phase of a target to its state. The reason explains
// a state other than serving.
func TargetStateOf(phase peerpb.TargetPhase) (state, reason string) {
	switch phase {
	case peerpb.TargetPhase_TARGET_PHASE_SERVING:
		return TargetServing, ""
	case peerpb.TargetPhase_TARGET_PHASE_STARTING:
		return TargetStarting, "the target says that it starts"
	case peerpb.TargetPhase_TARGET_PHASE_DRAINING:
		return TargetLeaving, "the target or the platform says that it leaves"
	default:
		return TargetLost, "no relay reaches the target"
	}
}
