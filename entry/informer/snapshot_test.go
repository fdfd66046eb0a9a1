package informer_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawcart.org/entry/informer"
	"jackdawcart.org/platform/storer"
)

// largeItems are more than fits into one piece.
func largeItems(n, bytes int) []storer.Item {
	items := make([]storer.Item, n)
	for i := range items {
		items[i] = storer.Item{Key: fmt.Sprintf("key-%02d", i), Value: make([]byte, bytes), Revision: uint64(i + 1)}
	}
	return items
}

// A VM that has lost the store must get everything from the VM that reads if that one no
// longer has the changes after its position; it went on with a former configuration. The
// changes after it must follow, also those made between two pieces.
func TestSnapshotReplacesLostHistory(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	reader.server.RecordSnapshot(storer.Listing{Items: largeItems(7, 100<<10), Position: at(90)})
	reader.server.RecordChanges(storer.Listing{Items: []storer.Item{{Key: "key-03", Revision: 95, Gone: true}, item("new", 100)}, Position: at(100)})
	reader.server.PublishSnapshot(at(100))
	listing, ok := poller.client.Watch(t.Context(), at(10))
	check(t, "answered", ok, true)
	check(t, "snapshot", listing.Snapshot, true)
	check(t, "position", listing.Position, at(100))
	var keys []string
	for _, i := range listing.Items {
		keys = append(keys, i.Key)
	}
	check(t, "keys", keys, []string{"key-00", "key-01", "key-02", "key-04", "key-05", "key-06", "new"})
	change := storer.Listing{Items: []storer.Item{item("k", 101)}, Position: at(101)}
	reader.server.PublishChanges(at(100), change)
	listing, ok = poller.client.Watch(t.Context(), listing.Position)
	check(t, "answered after the snapshot", ok, true)
	check(t, "change after the snapshot", listing, change)
}

// A store content beyond the bound must not be kept for others, or it would take the memory
// of a small machine.
func TestSnapshotIsBounded(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	half := informer.DefaultConfig().MaxContentBytes / 2
	reader.server.RecordSnapshot(storer.Listing{Items: largeItems(1, half), Position: at(90)})
	reader.server.RecordChanges(storer.Listing{Items: []storer.Item{{Key: "other", Value: make([]byte, half), Revision: 100}}, Position: at(100)})
	reader.server.PublishSnapshot(at(100))
	_, ok := poller.client.Watch(t.Context(), at(10))
	check(t, "answered", ok, false)
}

// The VM that the others poll must poll them while it has lost the store itself, as it has no
// VM before it.
func TestFirstVMAsksOthers(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	first, reader := vms[0], vms[2]
	first.link.Failed()
	reader.server.PublishSnapshot(at(10))
	change := storer.Listing{Items: []storer.Item{item("k", 11)}, Position: at(11)}
	reader.server.PublishChanges(at(10), change)
	if _, ok := first.client.Watch(t.Context(), at(10)); ok {
		t.Error("the first VM polls another one although it may reach the store")
	}
	listing, ok := first.client.WatchAny(t.Context(), at(10))
	check(t, "answered", ok, true)
	check(t, "changes", listing, change)
	check(t, "informed", first.client.Informed(), true)
}

// A VM that does not read must be asked again soon, as VMs that start together would all read
// from the store until then.
func TestVMThatStartsIsAskedSoon(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	_, ok := poller.client.Watch(t.Context(), at(10))
	check(t, "answered before it reads", ok, false)
	reader.server.PublishSnapshot(at(10))
	time.Sleep(informer.DefaultConfig().NotReadingDelay + 50*time.Millisecond)
	_, ok = poller.client.Watch(t.Context(), at(10))
	check(t, "answered", ok, true)
}
