package merger_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/merger"
)

func ExampleMerge() {
	rosario := []merger.Hit{{Service: "registro", ID: "r1", Score: 9}, {Service: "registro", ID: "r2", Score: 4}}
	parana := []merger.Hit{{Service: "registro", ID: "p1", Score: 7}}
	for _, hit := range merger.Merge([][]merger.Hit{rosario, parana}, 2) {
		fmt.Println(hit.ID)
	}
	// Output:
	// r1
	// p1
}

func ExampleCoverage() {
	var c merger.Coverage
	c.Add(300, true)
	c.Add(100, false)
	fmt.Println(c.Share(), c.Complete())
	// Output: 0.75 false
}

// In an unsorted list from a shard, better hits must not be hidden behind worse
// ones.
func TestMergeSortsUnsortedLists(t *testing.T) {
	got := merger.Merge([][]merger.Hit{{{ID: "low", Score: 1}, {ID: "high", Score: 5}}, {{ID: "mid", Score: 3}}}, 2)
	want := []merger.Hit{{ID: "high", Score: 5}, {ID: "mid", Score: 3}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("hits (-want +got):\n%s", diff)
	}
}

// A hit that several shards return with different scores must be listed once.
func TestMergeDropsDuplicates(t *testing.T) {
	got := merger.Merge([][]merger.Hit{{{ID: "x", Score: 5}, {ID: "x", Score: 3}}, {{ID: "y", Score: 4}, {ID: "z", Score: 1}}}, 3)
	want := []merger.Hit{{ID: "x", Score: 5}, {ID: "y", Score: 4}, {ID: "z", Score: 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("hits (-want +got):\n%s", diff)
	}
}

// A snapshot without a known shard map must not count as complete.
func TestEmptyCoverageIsNotComplete(t *testing.T) {
	var c merger.Coverage
	if c.Complete() || c.Share() != 0 {
		t.Errorf("empty coverage: share %v, complete %v", c.Share(), c.Complete())
	}
}
