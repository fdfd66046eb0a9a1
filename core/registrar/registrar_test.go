package registrar_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/sequencer"
)

var start = time.Unix(1_700_000_000, 0)

// at returns a position in the first era.
func at(revision uint64) sequencer.Position { return sequencer.Position{Revision: revision} }

func entry(id string, revision uint64) registrar.Entry {
	return registrar.Entry{Position: at(revision), Target: registrar.Target{
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
	fmt.Println(registry.Remove(start, "i-1", at(2), time.Time{}).Change, len(registry.Targets("shard")))
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
	registry.Replace(start, []registrar.Entry{entry("i-1", 1), entry("i-2", 2)}, at(3), time.Time{})
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
	check(t, "older removal", registry.Remove(start, "i-1", at(4), time.Time{}).Change, registrar.Unchanged)
	check(t, "targets", len(targetIDs(registry)), 0)
	check(t, "known", registry.Len(), 1)
}

// Leases that expire during a store outage must neither empty a service at once
// nor keep dead targets for longer than the grace period.
func TestMissingTargetsAreHeld(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	registry.Put(start, entry("i-1", 1))
	registry.Put(start, entry("i-2", 1))
	registry.Replace(start, nil, at(2), start)
	check(t, "held", targetIDs(registry), []string{"i-1", "i-2"})
	registry.Put(start, entry("i-1", 3))
	registry.Advance(start.Add(2 * time.Second))
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

// restored returns a registration with the target's own count, in the second era.
func restored(id string, revision, sequence uint64) registrar.Entry {
	e := entry(id, revision)
	e.Position.Era, e.Target.Sequence = 1, sequence
	return e
}

// After a restore, the target's own count must decide which registration is newer, as the
// store holds old ones and gives their revisions out again.
func TestOrderAfterRestore(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	known := entry("i-1", 60)
	known.Target.Sequence = 7
	registry.Put(start, known)
	check(t, "older registration of the copy", registry.Put(start, restored("i-1", 50, 6)).Change, registrar.Unchanged)
	check(t, "newer registration at a lower revision", registry.Put(start, restored("i-1", 55, 8)).Change, registrar.Updated)
	check(t, "within the era", registry.Put(start, restored("i-1", 54, 9)).Change, registrar.Unchanged)
	check(t, "of the former era", registry.Put(start, entry("i-1", 70)).Change, registrar.Unchanged)
}

// The registration of a target that left before a restore is used again only if it is
// written again or outlives the time in which that of a dead target expires.
func TestProbationAfterRestore(t *testing.T) {
	leave := func() *registrar.Registry {
		registry := registrar.NewRegistry(time.Second)
		known := entry("i-1", 60)
		known.Target.Sequence = 7
		registry.Put(start, known)
		registry.Remove(start, "i-1", at(61), time.Time{})
		registry.Replace(start, []registrar.Entry{restored("i-1", 50, 7)}, restored("", 50, 0).Position, start)
		check(t, "right after the restore", len(targetIDs(registry)), 0)
		return registry
	}
	registry := leave()
	check(t, "written again", registry.Put(start, restored("i-1", 51, 8)).Change, registrar.Added)

	registry = leave()
	registry.Advance(start.Add(5 * time.Second))
	check(t, "during probation", len(targetIDs(registry)), 0)
	registry.Advance(start.Add(7 * time.Second))
	check(t, "after probation", targetIDs(registry), []string{"i-1"})

	registry = leave()
	registry.Remove(start.Add(4*time.Second), "i-1", restored("", 52, 0).Position, start)
	registry.Advance(start.Add(7 * time.Second))
	check(t, "expired during probation", len(targetIDs(registry)), 0)
}

// A delayed registration must not bring back a target that has left.
func TestRegistrationBeforeRemovalIsIgnored(t *testing.T) {
	registry := registrar.NewRegistry(time.Second)
	registry.Put(start, entry("i-1", 1))
	registry.Remove(start, "i-1", at(5), time.Time{})
	check(t, "before the removal", registry.Put(start, entry("i-1", 4)).Change, registrar.Unchanged)
	check(t, "after it", registry.Put(start, entry("i-1", 6)).Change, registrar.Added)
}

// A target whose registration ends shortly after an outage must not be held longer than
// one whose lease ended during the outage: it may have left for good, and its requests must
// end three seconds later.
func TestHoldEndsWithTheOutagesGracePeriod(t *testing.T) {
	registry := registrar.NewRegistry(2 * time.Second)
	registry.Put(start, entry("i-1", 1))
	outageEnd := start.Add(10 * time.Second)
	check(t, "change", registry.Remove(outageEnd.Add(1900*time.Millisecond), "i-1", at(2), outageEnd).Change, registrar.Held)
	registry.Advance(outageEnd.Add(2 * time.Second))
	check(t, "targets after the grace period", len(targetIDs(registry)), 0)
}
