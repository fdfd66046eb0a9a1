package follower

import (
	"sync"

	"go.uber.org/zap"

	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// configurations holds the versions of the configuration that are not yet decoded. Decoding
// a large one takes tens of milliseconds of a core, and many may be written within seconds,
// so it happens beside the reading, and versions that a newer one has replaced are skipped.
type configurations struct {
	sync.WaitGroup

	mu sync.Mutex
	// running is set while a goroutine decodes.
	running bool
	// waiting holds the last version of each era, by era.
	waiting []eraItem
	// versions is used by the goroutine that decodes.
	versions decoder.Versions
}

type eraItem struct {
	storer.Item
	era uint64
}

// maxWaitingEras bounds the versions that wait. The store comes back from a copy far less often
// than versions are decoded.
const maxWaitingEras = 4

// applyConfigurations puts the last configuration of a listing in force shortly, unless a newer
// one comes first.
func (f *Follower) applyConfigurations(listing storer.Listing) {
	d := &f.decoding
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, item := range listing.Items {
		if item.Key == decoder.ConfigurationKey && !item.Gone {
			d.add(eraItem{item, listing.Position.Era})
		}
	}
	if len(d.waiting) > 0 && !d.running {
		d.running = true
		d.Go(f.decodeWaiting)
	}
}

// add replaces the waiting version of the same era. A store that came back from an older copy
// may hold an older version than that of the era before, so both are decoded. The caller holds
// mu.
func (d *configurations) add(item eraItem) {
	if last := len(d.waiting) - 1; last >= 0 && d.waiting[last].era == item.era {
		d.waiting[last] = item
		return
	}
	d.waiting = append(d.waiting, item)
	if len(d.waiting) > maxWaitingEras {
		d.waiting = d.waiting[1:]
	}
}

// next returns the next version to decode, and false if none waits.
func (d *configurations) next() (eraItem, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) == 0 {
		d.running = false
		return eraItem{}, false
	}
	item := d.waiting[0]
	d.waiting = d.waiting[1:]
	return item, true
}

// decodeWaiting decodes the waiting versions until none is left.
func (f *Follower) decodeWaiting() {
	for {
		item, ok := f.decoding.next()
		if !ok {
			return
		}
		f.applyConfiguration(item)
	}
}

// applyConfiguration puts a configuration in force unless a newer version is.
func (f *Follower) applyConfiguration(item eraItem) {
	table, err := f.decoding.versions.Decode(item.Value)
	if err != nil {
		f.rejections.Add("configuration", item.Key, err)
		return
	}
	if !f.state.setTable(table) {
		return
	}
	f.log.Info("configuration in force", zap.Int64("version", table.Version), zap.Uint64("revision", item.Revision),
		zap.Uint64("era", item.era), zap.Int("routes", table.RouteCount()), zap.Int("workspaces", len(table.Workspaces())))
	for _, c := range table.KeyConflicts() {
		f.log.Warn("two workspaces have the same key, which counts for the first", zap.String("workspace", c.Holder), zap.String("other", c.Other))
	}
	f.listeners.Table(table)
}

// cutOffBytes is half of what an answer of the store holds at most. A listing of that size may
// have been cut off, and the rest would wait for the pause between watches: of 12 versions of
// 1 MB, one came with each watch.
const cutOffBytes = 512 << 10

// mayBeCutOff reports whether the store may hold more changes than those of a listing.
func mayBeCutOff(listing storer.Listing) bool {
	size := 0
	for _, item := range listing.Items {
		size += len(item.Key) + len(item.Value)
	}
	return size >= cutOffBytes
}
