package scheduler_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/loadtool/scheduler"
)

func ExamplePhase_RateAt() {
	p := scheduler.Phase{For: scheduler.Duration(10 * time.Second), Shape: scheduler.ShapeSine, Rate: 100, Peak: 300}
	fmt.Println(p.RateAt(0), p.RateAt(5*time.Second))
	// Output: 100 300
}

func parseWorkload(t *testing.T, phase string) *scheduler.Workload {
	t.Helper()
	w, err := scheduler.Parse([]byte(`{"seed": 7, "phases": [` + phase + `], "mix": [
		{"weight": 3, "services": ["a"]}, {"weight": 1, "services": ["b"], "text": "poison"}],
		"non-idempotent": {"share": 0.25, "services": ["c"], "operation": "issue"}}`))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Arrivals must follow the phase's shape, the mix and the non-idempotent share,
// and be the same for each run with the same seed and name.
func TestArrivals(t *testing.T) {
	w := parseWorkload(t, `{"name": "s", "for": "20s", "shape": "square", "rate": 100, "peak": 300, "period": "2s"}`)
	low, high, perService := 0, 0, map[string]int{}
	var first []string
	for a := range w.Arrivals("r") {
		if a.Offset%(2*time.Second) < time.Second {
			low++
		} else {
			high++
		}
		perService[a.Request.Services[0]]++
		first = append(first, a.String())
	}
	expectPoissonCount(t, "low half", low, 1000)
	expectPoissonCount(t, "high half", high, 3000)
	expectPoissonCount(t, "service a", perService["a"], 2250)
	expectPoissonCount(t, "poison", perService["b"], 750)
	expectPoissonCount(t, "non-idempotent", perService["c"], 1000)
	var second []string
	for a := range w.Arrivals("r") {
		second = append(second, a.String())
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Error(diff)
	}
}

// expectPoissonCount checks that a Poisson count is within five standard
// deviations of its expected value.
func expectPoissonCount(t *testing.T, what string, got, want int) {
	t.Helper()
	if math.Abs(float64(got-want)) > 5*math.Sqrt(float64(want)) {
		t.Errorf("%s: %d arrivals, want about %d", what, got, want)
	}
}

// An invalid workload must be rejected before any load is sent.
func TestParseRejects(t *testing.T) {
	const mix = `"mix":[{"weight":1,"services":["a"]}]`
	cases := map[string]string{
		"needs phases":  `{}`,
		"unknown shape": `{"phases":[{"name":"p","for":"1s","rate":1,"shape":"saw"}],` + mix + `}`,
		"above 0":       `{"phases":[{"name":"p","rate":1}],` + mix + `}`,
		"unknown field": `{"phases":[{"name":"p","for":"1s","rates":1}],` + mix + `}`,
		"neither":       `{"phases":[{"name":"p","for":"1s","rate":1}],` + mix + `,"events":[{"at":"1s","to":"x","faults":[]}]}`,
	}
	for wantText, text := range cases {
		if _, err := scheduler.Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("want an error with %q, got %v", wantText, err)
		}
	}
}

// The demo workload must be valid and keep its length.
func TestDemoWorkload(t *testing.T) {
	w, err := scheduler.Load("../workloads/demo.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if err := w.ValidateAddresses(); err != nil || w.TotalDuration() != 20*time.Second {
		t.Errorf("addresses: %v; total duration %v, want no error and 20s", err, w.TotalDuration())
	}
}
