package informer

import "jackdawcart.org/platform/storer"

// history holds the latest changes that were read from the store.
type history struct {
	max int
	// The items are all changes after the revision oldest up to newest.
	oldest, newest uint64
	items          []storer.Item
}

// reset clears the history after a full read at a revision.
func (h *history) reset(revision uint64) {
	h.oldest, h.newest = revision, revision
	h.items = nil
}

// add appends the changes up to the listing's revision and drops the oldest ones
// beyond the maximum.
func (h *history) add(listing storer.Listing) {
	h.newest = max(h.newest, listing.Revision)
	h.items = append(h.items, listing.Items...)
	if excess := len(h.items) - h.max; excess > 0 {
		h.oldest = h.items[excess-1].Revision
		// Copying lets the garbage collector free the dropped values.
		h.items = append([]storer.Item(nil), h.items[excess:]...)
	}
}

// since returns the changes after a revision, and false if some of them were
// dropped.
func (h *history) since(revision uint64) ([]storer.Item, bool) {
	if revision < h.oldest {
		return nil, false
	}
	for i, item := range h.items {
		if item.Revision > revision {
			return h.items[i:], true
		}
	}
	return nil, true
}
