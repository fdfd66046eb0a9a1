package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

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
