// Package assigner assigns the connections to each target to members by
// rendezvous hashing and coordinates the handover when an owner changes.
package assigner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a member with a hash: that of its name in a View, its score in Rank.
type ranked struct {
	name string
	hash uint64
}

// score returns the rendezvous weight of a member for a key, both given by their
// hashes.
func score(key, member uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], member)
	return xxhash.Sum64(pair[:])
}

// Rank returns the first n members in the rendezvous order of key.
func Rank(key string, members []string, n int) []string {
	hash := xxhash.Sum64String(key)
	all := make([]ranked, len(members))
	for i, name := range members {
		all[i] = ranked{name: name, hash: score(hash, xxhash.Sum64String(name))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	first := make([]string, 0, min(n, len(all)))
	for _, m := range all[:min(n, len(all))] {
		first = append(first, m.name)
	}
	return first
}
