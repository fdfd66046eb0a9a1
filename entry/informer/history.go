package informer

import (
	"slices"

	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/platform/storer"
)

// itemOverhead is what an item takes beside its key and its value, in bytes.
const itemOverhead = 96

// history holds the latest changes that were read from the store.
type history struct {
	// maxItems and maxBytes bound the changes that are kept.
	maxItems, maxBytes int
	// The items are the last changes of all keys that changed after the position oldest, up
	// to newest, by revision. Both positions are in the same era.
	oldest, newest sequencer.Position
	items          []storer.Item
	bytes          int
}

// reset clears the history after a full read at a position.
func (h *history) reset(position sequencer.Position) {
	h.oldest, h.newest = position, position
	h.items, h.bytes = nil, 0
}

// add appends the changes up to the listing's position, which is in the era of the
// history. Of a key that changes again only the newest change is kept.
func (h *history) add(listing storer.Listing) {
	h.newest.Revision = max(h.newest.Revision, listing.Position.Revision)
	if len(listing.Items) == 0 {
		return
	}
	last := make(map[string]int, len(listing.Items))
	for i, item := range listing.Items {
		last[item.Key] = i
	}
	// A new slice lets the garbage collector free the dropped values, and leaves answers
	// that are being sent as they are.
	items := make([]storer.Item, 0, len(h.items)+len(last))
	for _, item := range h.items {
		if _, changed := last[item.Key]; !changed {
			items = append(items, item)
		}
	}
	for i, item := range listing.Items {
		if last[item.Key] == i {
			items = append(items, item)
		}
	}
	h.items = items
	h.evict()
}

// evict drops changes until the rest is within the bounds, the largest first. A VM that
// needs a dropped change reads the store itself, so the changes before it are of no use.
func (h *history) evict() {
	h.bytes = 0
	for _, item := range h.items {
		h.bytes += sizeOf(item)
	}
	if excess := len(h.items) - h.maxItems; excess > 0 {
		h.dropThrough(excess - 1)
	}
	for h.bytes > h.maxBytes {
		h.dropThrough(h.oldestLarge())
	}
}

// oldestLarge returns the index of the oldest change that is at least half as large as the
// largest one. Of changes of about the same size the newest ones serve more VMs.
func (h *history) oldestLarge() int {
	largest := 0
	for _, item := range h.items {
		largest = max(largest, sizeOf(item))
	}
	return slices.IndexFunc(h.items, func(item storer.Item) bool { return 2*sizeOf(item) >= largest })
}

// dropThrough drops the changes up to an index.
func (h *history) dropThrough(index int) {
	h.oldest.Revision = max(h.oldest.Revision, h.items[index].Revision)
	for _, item := range h.items[:index+1] {
		h.bytes -= sizeOf(item)
	}
	h.items = slices.Clone(h.items[index+1:])
}

func sizeOf(item storer.Item) int { return len(item.Key) + len(item.Value) + itemOverhead }

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
