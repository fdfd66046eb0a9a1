package informer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/registrar"
)

// Upstreams returns the members of the same failure domain that self polls before
// it reads from the store itself, in order of preference. All VMs are ranked by a
// hash of their names, so that they agree on the order and a VM that joins or
// leaves changes it for few others.
func Upstreams(self registrar.Member, members []registrar.Member) []registrar.Member {
	var upstreams []registrar.Member
	for _, m := range members {
		if m.Domain == self.Domain && m.Name != self.Name && m.Address.IsValid() && compareRank(m, self) < 0 {
			upstreams = append(upstreams, m)
		}
	}
	slices.SortFunc(upstreams, compareRank)
	return upstreams
}

// downstreams returns the members of the same failure domain that poll self, in order of
// preference.
func downstreams(self registrar.Member, members []registrar.Member) []registrar.Member {
	var list []registrar.Member
	for _, m := range members {
		if m.Domain == self.Domain && m.Address.IsValid() && compareRank(m, self) > 0 {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareRank)
	return list
}

func compareRank(a, b registrar.Member) int {
	if c := cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
