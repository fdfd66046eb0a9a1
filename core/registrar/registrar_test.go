package registrar_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jackdawcart.org/core/registrar"
)

var start = time.Unix(1_700_000_000, 0)

func entry(id string, revision uint64) registrar.Entry {
	return registrar.Entry{Revision: revision, Target: registrar.Target{
		ID: id, Service: "shard", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Born: start,
	}}
}

func ids(b *registrar.Book) []string {
	var list []string
	for _, r := range b.Targets("shard") {
		list = append(list, r.ID)
	}
	return list
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func ExampleBook() {
	b := registrar.NewBook(time.Second)
	fmt.Println(b.Put(start, entry("i-1", 1)).Change)
	fmt.Println(b.Remove(start, "i-1", 2, false).Change, len(b.Targets("shard")))
	// Output:
	// added
	// removed 0
}

// When another target answers at an address, requests for the one that left
// must stop at once: each of them counts as a repeat at the other's service.
func TestVacatedAddress(t *testing.T) {
	b := registrar.NewBook(time.Second)
	b.Put(start, entry("i-1", 1))
	b.Put(start, entry("i-2", 2))
	check(t, "change", b.Vacate("i-1").Change, registrar.Vacated)
	check(t, "again", b.Vacate("i-1").Change, registrar.Unchanged)
	check(t, "targets", ids(b), []string{"i-2"})
	b.Replace(start, []registrar.Entry{entry("i-1", 1), entry("i-2", 2)}, 3, false)
	check(t, "same registration", ids(b), []string{"i-2"})
	b.Put(start, entry("i-1", 4))
	check(t, "new registration", ids(b), []string{"i-1", "i-2"})
}

// News that arrive out of order must not bring back a removed target's older
// state or undo a newer one.
func TestOlderNewsAreIgnored(t *testing.T) {
	b := registrar.NewBook(time.Second)
	draining := entry("i-1", 5)
	draining.Target.Draining = true
	b.Put(start, draining)
	check(t, "older registration", b.Put(start, entry("i-1", 3)).Change, registrar.Unchanged)
	check(t, "older removal", b.Remove(start, "i-1", 4, false).Change, registrar.Unchanged)
	check(t, "targets", len(ids(b)), 0)
	check(t, "known", b.Len(), 1)
}

// A lapse during an outage must neither empty a service at once nor keep dead
// targets for long.
func TestHeldTargets(t *testing.T) {
	b := registrar.NewBook(time.Second)
	b.Put(start, entry("i-1", 1))
	b.Put(start, entry("i-2", 1))
	b.Replace(start, nil, 2, true)
	check(t, "held", ids(b), []string{"i-1", "i-2"})
	b.Put(start, entry("i-1", 3))
	b.Advance(start.Add(2 * time.Second))
	check(t, "back", ids(b), []string{"i-1"})
}

// A target that restarts under its identity holds and knows nothing of before.
func TestRestartIsSeen(t *testing.T) {
	b := registrar.NewBook(time.Second)
	b.Put(start, entry("i-1", 1))
	again := entry("i-1", 2)
	again.Target.Born = start.Add(time.Second)
	check(t, "change", b.Put(start, again).Change, registrar.Restarted)
}

// While the store was down all leases lapsed. The survivors must not share what
// is meant for all among those that came back first.
func TestCensusHoldsTheMissing(t *testing.T) {
	c := registrar.NewCensus(10 * time.Second)
	a, b := registrar.Member{Name: "a"}, registrar.Member{Name: "b"}
	c.Replace(start, []registrar.Member{a, b, {Name: "c"}})
	c.Replace(start.Add(time.Second), []registrar.Member{a})
	check(t, "after the lapse", len(c.Members(start.Add(2*time.Second))), 3)
	c.Present(b)
	check(t, "after the hold", c.Members(start.Add(12*time.Second)), []registrar.Member{a, b})
	c.Missing(start.Add(12*time.Second), "b")
	check(t, "after a loss", c.Members(start.Add(23*time.Second)), []registrar.Member{a})
}
