package assigner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is the set of live members from which owners are chosen.
type View struct {
	members []ranked
}

// NewView returns the view of the given live members.
func NewView(members []string) View {
	names := slices.Clone(members)
	slices.Sort(names)
	names = slices.Compact(names)
	v := View{members: make([]ranked, len(names))}
	for i, name := range names {
		v.members[i] = ranked{name: name, hash: xxhash.Sum64String(name)}
	}
	return v
}

// Owner returns the owner of a portion of a target, or an empty name if there is
// no live member.
func (v View) Owner(target string, portion uint32) string {
	return v.owner(portionHash(target, portion))
}

// Owners returns the distinct owners of a target with the given limit.
func (v View) Owners(target string, limit int) []string {
	var owners []string
	for portion := range Portions(limit) {
		owner := v.Owner(target, portion)
		if owner != "" && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}

func (v View) equal(other View) bool { return slices.Equal(v.members, other.members) }

// owner returns the member with the highest score. Ties go to the first name,
// because members are sorted.
func (v View) owner(key uint64) string {
	name, best := "", uint64(0)
	for _, m := range v.members {
		if hash := score(key, m.hash); name == "" || hash > best {
			name, best = m.name, hash
		}
	}
	return name
}

func portionHash(target string, portion uint32) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(portion))
	_, _ = digest.WriteString(target)
	return digest.Sum64()
}

// Two different views may give each portion two owners, so the allotment of each
// of two portions is at most a quarter of the target's limit. Below a limit of 4
// that is less than one connection, so the target has a single portion of one
// connection. At a limit of 1 two views could exceed the limit, so the target gets
// no connection.
const (
	maxPortions         = 2
	concurrentViews     = 2
	minLimitTwoPortions = maxPortions * concurrentViews
	minLimitOnePortion  = concurrentViews
	allotmentDivisor    = maxPortions * concurrentViews
)

// Portions returns the number of portions into which a limit is divided.
func Portions(limit int) uint32 {
	switch {
	case limit >= minLimitTwoPortions:
		return maxPortions
	case limit >= minLimitOnePortion:
		return 1
	}
	return 0
}

// PortionAllotment returns the number of connections of each portion.
func PortionAllotment(limit int) int {
	switch {
	case limit >= minLimitTwoPortions:
		return limit / allotmentDivisor
	case limit >= minLimitOnePortion:
		return 1
	}
	return 0
}
