// Package assigner decides which members own the connections to a target and
// how a change of owner is handed over.
package assigner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a member with its precomputed hash.
type ranked struct {
	name string
	hash uint64
}

// score is the rendezvous hash of a key and a member.
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
