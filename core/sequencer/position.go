// Package sequencer orders the states of a store that may come back from an older copy.
package sequencer

import "cmp"

// Position is a state of the store. Its revision rises with each change, but a store that
// comes back from an older copy gives the revisions since then out again. Each copy begins
// a later era.
type Position struct {
	Era, Revision uint64
}

// Compare orders positions by era, and within an era by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is later than another position.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }
