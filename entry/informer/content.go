package informer

import (
	"slices"

	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/platform/storer"
)

// content is what the store holds at a position. It is incomplete if it would be larger
// than its maximum, and then serves nothing until it is replaced.
type content struct {
	maxBytes int
	complete bool
	position sequencer.Position
	items    map[string]storer.Item
	bytes    int
}

// replace sets the content to a full listing.
func (c *content) replace(listing storer.Listing) {
	c.complete, c.position, c.bytes = true, listing.Position, 0
	c.items = make(map[string]storer.Item, len(listing.Items))
	c.put(listing.Items)
}

// apply adds the changes up to the position of a listing, which follow the content.
func (c *content) apply(listing storer.Listing) {
	if !c.complete {
		return
	}
	c.position = listing.Position
	c.put(listing.Items)
}

func (c *content) put(items []storer.Item) {
	for _, item := range items {
		if former, ok := c.items[item.Key]; ok {
			c.bytes -= sizeOf(former)
			delete(c.items, item.Key)
		}
		if item.Gone {
			continue
		}
		c.items[item.Key] = item
		c.bytes += sizeOf(item)
	}
	if c.bytes > c.maxBytes {
		c.complete, c.items, c.bytes = false, nil, 0
	}
}

// piece returns the items after a key, in the order of their keys, until they exceed
// maxBytes, and whether there are more.
func (c *content) piece(after string, maxBytes int) (items []storer.Item, more bool) {
	var keys []string
	for key := range c.items {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, key := range keys {
		size += sizeOf(c.items[key])
		if i > 0 && size > maxBytes {
			return items, true
		}
		items = append(items, c.items[key])
	}
	return items, false
}
