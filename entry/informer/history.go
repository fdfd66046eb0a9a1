package informer

import (
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/platform/storer"
)

// history holds the latest changes that were read from the store.
type history struct {
	max int
	// The items are all changes after the position oldest up to newest. Both are in the
	// same era.
	oldest, newest sequencer.Position
	items          []storer.Item
}

// reset clears the history after a full read at a position.
func (h *history) reset(position sequencer.Position) {
	h.oldest, h.newest = position, position
	h.items = nil
}

// add appends the changes up to the listing's position, which is in the era of the
// history, and drops the oldest ones beyond the maximum.
func (h *history) add(listing storer.Listing) {
	h.newest.Revision = max(h.newest.Revision, listing.Position.Revision)
	h.items = append(h.items, listing.Items...)
	if excess := len(h.items) - h.max; excess > 0 {
		h.oldest.Revision = h.items[excess-1].Revision
		// Copying lets the garbage collector free the dropped values.
		h.items = append([]storer.Item(nil), h.items[excess:]...)
	}
}

// since returns the changes after a position, and false if some of them were dropped or
// the position is in another era.
func (h *history) since(position sequencer.Position) ([]storer.Item, bool) {
	if position.Era != h.newest.Era || h.oldest.After(position) {
		return nil, false
	}
	for i, item := range h.items {
		if item.Revision > position.Revision {
			return h.items[i:], true
		}
	}
	return nil, true
}
