package informer

import "jackdawcart.org/platform/storer"

// history holds the last changes that were read from the store.
type history struct {
	max int
	// oldest is the revision after which all changes are known, newest the one
	// up to which they are.
	oldest, newest uint64
	items          []storer.Item
}

// reset begins anew after everything was read at a revision.
func (h *history) reset(revision uint64) {
	h.oldest, h.newest = revision, revision
	h.items = nil
}

// add takes the changes that lead to a listing's revision.
func (h *history) add(listing storer.Listing) {
	h.newest = max(h.newest, listing.Revision)
	h.items = append(h.items, listing.Items...)
	if excess := len(h.items) - h.max; excess > 0 {
		h.oldest = h.items[excess-1].Revision
		// A copy lets go of the values that are not known any more.
		h.items = append([]storer.Item(nil), h.items[excess:]...)
	}
}

// since returns the changes after a revision, and false if some are not known.
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
