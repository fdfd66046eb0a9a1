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

func targetIDs(registry *registrar.Registry) []string {
	var list []string
	for _, record := range registry.Targets("shard") {
		list = append(list, record.ID)
	}
	return list
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func ExampleRegistry() {
	registry := registrar.NewRegistry(time.Second)
	fmt.Println(registry.Put(start, entry("i-1", 1)).Change)
	fmt.Println(registry.Remove(start, "i-1", 2, false).Change, len(registry.Targets("shard")))
	// Output:
	// added
	// removed 0
}

// When another target answers at an address, requests for the former target must
// stop at once: each of them counts as a retry at the new target's service.
func TestVacatedAddress(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	registry.Put(start, entry("i-1", 1))
	registry.Put(start, entry("i-2", 2))
	check(t, "change", registry.Vacate("i-1").Change, registrar.Vacated)
	check(t, "again", registry.Vacate("i-1").Change, registrar.Unchanged)
	check(t, "targets", targetIDs(registry), []string{"i-2"})
	registry.Replace(start, []registrar.Entry{entry("i-1", 1), entry("i-2", 2)}, 3, false)
	check(t, "same registration", targetIDs(registry), []string{"i-2"})
	registry.Put(start, entry("i-1", 4))
	check(t, "new registration", targetIDs(registry), []string{"i-1", "i-2"})
}

// Updates that arrive out of order must not restore a target's older state or
// undo a newer one.
func TestOlderUpdatesAreIgnored(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	draining := entry("i-1", 5)
	draining.Target.Draining = true
	registry.Put(start, draining)
	check(t, "older registration", registry.Put(start, entry("i-1", 3)).Change, registrar.Unchanged)
	check(t, "older removal", registry.Remove(start, "i-1", 4, false).Change, registrar.Unchanged)
	check(t, "targets", len(targetIDs(registry)), 0)
	check(t, "known", registry.Len(), 1)
}

// Leases that expire during a store outage must neither empty a service at once
// nor keep dead targets for longer than the grace period.
func TestMissingTargetsAreHeld(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	registry.Put(start, entry("i-1", 1))
	registry.Put(start, entry("i-2", 1))
	registry.Replace(start, nil, 2, true)
	check(t, "held", targetIDs(registry), []string{"i-1", "i-2"})
	registry.Put(start, entry("i-1", 3))
	registry.RemoveExpired(start.Add(2 * time.Second))
	check(t, "back", targetIDs(registry), []string{"i-1"})
}

// A target that restarts under the same ID has lost its earlier state, so the
// change must be reported as a restart.
func TestRestartIsDetected(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	registry.Put(start, entry("i-1", 1))
	again := entry("i-1", 2)
	again.Target.Born = start.Add(time.Second)
	check(t, "change", registry.Put(start, again).Change, registrar.Restarted)
}

// All leases expire while the store is down. The members that reappear first must
// not divide a common limit among themselves alone.
func TestMissingMembersAreCountedDuringGracePeriod(t *testing.T) {
	members := registrar.NewMemberSet(10 * time.Second)
	a, b := registrar.Member{Name: "a"}, registrar.Member{Name: "b"}
	members.Replace(start, []registrar.Member{a, b, {Name: "c"}})
	members.Replace(start.Add(time.Second), []registrar.Member{a})
	check(t, "after the leases expired", len(members.Members(start.Add(2*time.Second))), 3)
	members.MarkPresent(b)
	check(t, "after the first grace period", members.Members(start.Add(12*time.Second)), []registrar.Member{a, b})
	members.MarkMissing(start.Add(12*time.Second), "b")
	check(t, "after the second grace period", members.Members(start.Add(23*time.Second)), []registrar.Member{a})
}
