package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/pacer"
)

var start = time.Unix(0, 0)

func ExampleShare() {
	vms := map[string]int{"a": 2, "b": 2, "c": 1}
	replicas := map[string]bool{"a": true, "b": true}
	hasReplica := func(domain string) bool { return replicas[domain] }
	for _, own := range []string{"a", "b", "c"} {
		fmt.Printf("%s: %.3f\n", own, pacer.Share(pacer.DefaultConfig(), own, "a", vms, hasReplica))
	}
	// Output:
	// a: 0.312
	// b: 0.031
	// c: 0.312
}

// Under a limit the requests of a process must be spaced out, also after a pause in which
// it sent none.
func TestRequestsAreSpacedOut(t *testing.T) {
	config := pacer.Config{Headroom: 1, MaxBurst: 200 * time.Millisecond}
	var s pacer.State
	s.SetShare(0.5)
	s.Observe(config, start, pacer.Limit{Named: true, PerSecond: 20}, 0)
	now, sent := start.Add(time.Minute), 0
	for range 100 {
		if !now.Before(s.NextAt(config)) {
			s.Take(config, now)
			sent++
		}
		now = now.Add(20 * time.Millisecond)
	}
	// Two seconds at ten a second, and one that was kept.
	if diff := cmp.Diff(21, sent); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// What another process was told before must not replace what this one was told since.
func TestOwnAnswersTakePrecedence(t *testing.T) {
	config := pacer.DefaultConfig()
	named := pacer.Limit{Named: true, PerSecond: 5}
	var s pacer.State
	s.SetShare(1)
	s.Observe(config, start, named, 0)
	s.ObserveRemote(config, start.Add(config.OwnPrecedence/2), pacer.Limit{}, 0)
	if diff := cmp.Diff(named, s.Limit()); diff != "" {
		t.Errorf("limit after an older answer elsewhere (-want +got):\n%s", diff)
	}
	s.ObserveRemote(config, start.Add(config.OwnPrecedence), pacer.Limit{}, 0)
	if diff := cmp.Diff(pacer.Limit{}, s.Limit()); diff != "" {
		t.Errorf("limit after a later answer elsewhere (-want +got):\n%s", diff)
	}
}
