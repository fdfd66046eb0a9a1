package registrar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Member is a process that announces itself in the store.
type Member struct {
	Name string
	// Domain is the failure domain of the member's VM, empty if not announced.
	Domain string
	// Address is where the member serves other members, the zero value if it
	// does not.
	Address netip.AddrPort
	// RequestAddress is where the member takes requests of callers that other members
	// cannot serve, the zero value if it does not.
	RequestAddress netip.AddrPort
	// QuotaAddress is where the member takes messages about quotas, the zero value if it
	// does not.
	QuotaAddress netip.AddrPort
}

// MemberSet tracks the processes that announce themselves under leases. A missing
// member still counts for a grace period, because leases also expire while the
// store is down, and a count that is too low makes every member use more than its
// share of a common limit.
type MemberSet struct {
	gracePeriod time.Duration
	members     map[string]memberState
}

type memberState struct {
	member Member
	// missingSince is zero while the member is announced.
	missingSince time.Time
}

// NewMemberSet returns an empty set that keeps missing members for the grace period.
func NewMemberSet(gracePeriod time.Duration) *MemberSet {
	return &MemberSet{gracePeriod: gracePeriod, members: make(map[string]memberState)}
}

// MarkPresent records that a member is announced.
func (s *MemberSet) MarkPresent(m Member) { s.members[m.Name] = memberState{member: m} }

// MarkMissing records that a member is no longer announced.
func (s *MemberSet) MarkMissing(now time.Time, name string) {
	if state, ok := s.members[name]; ok && state.missingSince.IsZero() {
		state.missingSince = now
		s.members[name] = state
	}
}

// Replace applies a full listing of the announced members. Those listed with a value that
// cannot be read, unreadable, stay as they are.
func (s *MemberSet) Replace(now time.Time, members []Member, unreadable ...string) {
	present := make(map[string]bool, len(members))
	for _, name := range unreadable {
		present[name] = true
	}
	for _, m := range members {
		present[m.Name] = true
		s.MarkPresent(m)
	}
	for name := range s.members {
		if !present[name] {
			s.MarkMissing(now, name)
		}
	}
}

// Members returns the members that are announced or within the grace period,
// ordered by name. It drops those whose grace period has ended.
func (s *MemberSet) Members(now time.Time) []Member {
	members := make([]Member, 0, len(s.members))
	for name, state := range s.members {
		if !state.missingSince.IsZero() && now.Sub(state.missingSince) >= s.gracePeriod {
			delete(s.members, name)
			continue
		}
		members = append(members, state.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
