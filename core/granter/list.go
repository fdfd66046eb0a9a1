package granter

import (
	"github.com/cespare/xxhash/v2"
)

// Member is a VM that takes part in quotas.
type Member struct{ Name, Domain string }

// List is a list of VMs. It is not safe for concurrent use, because it remembers rankings.
type List struct {
	members []Member
	domains map[string][]string
	ranks   map[string]ranking
}

// ranking holds the VMs with a role for a workspace; names are empty without one.
type ranking struct {
	keeper, second Member
	deputies       map[string]string
}

// NewList returns a list of the given VMs.
func NewList(members []Member) *List {
	l := &List{members: members, domains: make(map[string][]string), ranks: make(map[string]ranking)}
	for _, m := range members {
		l.domains[m.Domain] = append(l.domains[m.Domain], m.Name)
	}
	return l
}

// Score returns the rank of a VM for a workspace; the highest one is the keeper's.
func Score(vm, workspace string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + workspace)
}

// Keeper returns the keeper of a workspace, the zero value if the list is empty.
func (l *List) Keeper(workspace string) Member { return l.rank(workspace).keeper }

// Deputy returns the deputy of a domain for a workspace, empty if there is none.
func (l *List) Deputy(workspace, domain string) string { return l.rank(workspace).deputies[domain] }

func (l *List) rank(workspace string) ranking {
	if r, ok := l.ranks[workspace]; ok {
		return r
	}
	var r ranking
	var first, second uint64
	scores := make([]uint64, len(l.members))
	for i, m := range l.members {
		score := Score(m.Name, workspace)
		scores[i] = score
		switch {
		case score > first || r.keeper.Name == "":
			r.second, second = r.keeper, first
			r.keeper, first = m, score
		case score > second || r.second.Name == "":
			r.second, second = m, score
		}
	}
	r.deputies = make(map[string]string, len(l.domains))
	best := make(map[string]uint64, len(l.domains))
	for i, m := range l.members {
		if m == r.keeper {
			continue
		}
		if r.deputies[m.Domain] == "" || scores[i] > best[m.Domain] {
			r.deputies[m.Domain], best[m.Domain] = m.Name, scores[i]
		}
	}
	if len(l.ranks) >= maxWorkspaces {
		clear(l.ranks)
	}
	l.ranks[workspace] = r
	return r
}

// share returns the part of all VMs that n of them are.
func (l *List) share(n int) float64 {
	if len(l.members) == 0 {
		return 0
	}
	return float64(n) / float64(len(l.members))
}
