package informer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/registrar"
)

// Seniors returns the members of the own failure domain that are to be asked
// before the VM reads from the store itself, in the order in which they are to be
// asked. The order is by a hash of the names, so that all VMs agree on it and a
// VM that joins or leaves changes it for few.
func Seniors(self registrar.Member, members []registrar.Member) []registrar.Member {
	var seniors []registrar.Member
	for _, m := range members {
		if m.Domain == self.Domain && m.Name != self.Name && m.Address.IsValid() && compare(m, self) < 0 {
			seniors = append(seniors, m)
		}
	}
	slices.SortFunc(seniors, compare)
	return seniors
}

func compare(a, b registrar.Member) int {
	if c := cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
