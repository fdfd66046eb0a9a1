package registrar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Member is a process that announces itself.
type Member struct {
	Name string
	// Domain is the failure domain of its VM, empty if it does not say so.
	Domain string
	// Address is where it answers the others, the zero value if it does not.
	Address netip.AddrPort
}

// Census counts processes that announce themselves under leases. One that is
// missing counts for a while, as leases also lapse while the store is down, and
// a count that is too low makes everybody use more than their share.
type Census struct {
	hold    time.Duration
	members map[string]presence
}

// presence is a member and since when it is missing.
type presence struct {
	member Member
	gone   time.Time
}

// NewCensus returns an empty census that counts missing members for the given
// time.
func NewCensus(hold time.Duration) *Census {
	return &Census{hold: hold, members: make(map[string]presence)}
}

// Present takes the news that a member is announced.
func (c *Census) Present(m Member) { c.members[m.Name] = presence{member: m} }

// Missing takes the news that a member is not announced any more.
func (c *Census) Missing(now time.Time, name string) {
	if p, ok := c.members[name]; ok && p.gone.IsZero() {
		p.gone = now
		c.members[name] = p
	}
}

// Replace takes a full reading of the members.
func (c *Census) Replace(now time.Time, members []Member) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		c.Present(m)
	}
	for name := range c.members {
		if !present[name] {
			c.Missing(now, name)
		}
	}
}

// Members returns those that are announced or were a moment ago, by name.
func (c *Census) Members(now time.Time) []Member {
	members := make([]Member, 0, len(c.members))
	for name, p := range c.members {
		if !p.gone.IsZero() && now.Sub(p.gone) >= c.hold {
			delete(c.members, name)
			continue
		}
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
