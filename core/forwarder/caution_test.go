package forwarder_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/placer"
)

// sent returns the shards of sub-requests.
func sent(sends []forwarder.Send) []int {
	shards := []int{}
	for _, s := range sends {
		shards = append(shards, s.Shard)
	}
	return shards
}

// A request that crashes the targets of some shards must crash one of each at most: nothing
// is hedged or sent again while it is not known what became of a target, nor after a crash.
func TestNothingIsRepeatedAfterCrash(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		q := newFixture(3).query()
		if diff := cmp.Diff([]int{0, 1, 2}, sent(q.Start(at(0)))); diff != "" {
			t.Fatalf("first sub-requests (-want +got):\n%s", diff)
		}
		q.Broke()
		if sends := q.Wake(at(60)); len(sends) > 0 {
			t.Errorf("hedges before the target was probed: %v", sent(sends))
		}
		if sends := q.Failed(at(60), 1, 0, placer.Refused); len(sends) > 0 {
			t.Errorf("repeats before the target was probed: %v", sent(sends))
		}
		repeats := sent(q.Explained(at(60), 0, 0, crashed))
		repeats = append(repeats, sent(q.Wake(at(80)))...)
		if crashed != (len(repeats) == 0) {
			t.Errorf("crashed: %t, sent again: %v", crashed, repeats)
		}
	}
}

// A request under which targets were lost before must reach one target until that has
// answered.
func TestSuspectedRequestIsTriedFirst(t *testing.T) {
	q := newFixture(3).query()
	q.TryFirst([]string{"shard-1"})
	if diff := cmp.Diff([]int{1}, sent(q.Start(at(0)))); diff != "" {
		t.Fatalf("first sub-requests (-want +got):\n%s", diff)
	}
	if sends := q.Wake(at(60)); len(sends) > 0 {
		t.Errorf("hedges during the trial: %v", sent(sends))
	}
	_, sends := q.Answered(at(60), 1, 0)
	if diff := cmp.Diff([]int{0, 2}, sent(sends)); diff != "" {
		t.Errorf("sub-requests after the trial (-want +got):\n%s", diff)
	}

	q = newFixture(3).query()
	q.TryFirst([]string{"shard-1"})
	q.Start(at(0))
	q.Broke()
	if sends := q.Explained(at(60), 1, 0, true); len(sends) > 0 || q.Decide(at(60)) != forwarder.FailedMaybeRun {
		t.Errorf("after a trial that crashed: sent %v, decision %v", sent(sends), q.Decide(at(60)))
	}
}
