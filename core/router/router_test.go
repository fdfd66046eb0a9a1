package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/router"
)

func ExampleTable_Match() {
	table := router.NewTable(1, router.Limits{}, []router.Route{
		{Name: "all", Host: "x.example", Prefix: "/"}, {Name: "deep", Host: "x.example", Prefix: "/a/b/"},
	}, nil)
	for _, path := range []string{"/a/b/c", "/a/b", "/z"} {
		route, _ := table.Match("X.example:80", path)
		fmt.Println(route.Name)
	}
	// Output:
	// deep
	// all
	// all
}

// Each service of a split receives its share of the requests, to within a tenth
// of all requests, and one without weight receives none.
func TestSplit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	split := []router.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "off"}}
	counts := make(map[string]int)
	const picks = 3000
	for range picks {
		service, ok := router.PickService(rng, split)
		if !ok {
			t.Fatal("no service selected from a split with positive weights")
		}
		counts[service]++
	}
	if counts["a"] < picks*65/100 || counts["a"] > picks*85/100 || counts["off"] > 0 {
		t.Fatalf("requests by service: %v, want shares of 0.75 for a and 0.25 for b", counts)
	}
	if _, ok := router.PickService(rng, nil); ok {
		t.Fatal("a service was selected from an empty split")
	}
}

// Requests of workspaces with an urgent priority must come first whatever their route, and
// urgent routes first among equal workspaces.
func TestRankOfWorkspaces(t *testing.T) {
	table := router.NewTable(1, router.Limits{}, nil, nil)
	patient, urgent := &router.Route{Priority: 2}, &router.Route{Priority: 0}
	if got := table.Rank(patient, nil); got != patient.Priority {
		t.Errorf("rank %d without workspaces, want the priority of the route, %d", got, patient.Priority)
	}
	table.SetWorkspaces(nil)
	first := &router.Workspace{Name: "first", Priority: container.Some(0)}
	second := &router.Workspace{Name: "second", Priority: container.Some(1)}
	ranks := []int{table.Rank(urgent, first), table.Rank(patient, first), table.Rank(urgent, second), table.Rank(patient, second)}
	if !slices.IsSorted(ranks) || len(slices.Compact(slices.Clone(ranks))) != len(ranks) {
		t.Errorf("ranks %v are not in order", ranks)
	}
}
