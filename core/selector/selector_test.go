package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/selector"
)

var (
	start      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	candidates = []selector.Candidate{
		{Target: "a", Local: true, Slots: 2},
		{Target: "b", Local: true, Slots: 2},
		{Target: "c", Local: true, Slots: 2},
	}
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// picks returns how often each target is chosen in n picks.
func picks(s *selector.State, now time.Time, n int) map[string]int {
	rng := newRand()
	counts := make(map[string]int)
	for range n {
		i, _ := s.Pick(now, rng, candidates, nil)
		counts[candidates[i].Target]++
	}
	return counts
}

func answer(s *selector.State, now time.Time, c selector.Candidate, latency time.Duration) {
	factor := s.Started(now, c, "relay")
	s.Succeeded(now, c.Target, latency, factor)
}

func ExampleState_Pick() {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	s.Report(now, "a", "relay", selector.Load{InFlight: 2, Queued: 6, Limit: 2})
	s.Report(now, "b", "relay", selector.Load{InFlight: 1, Limit: 2})
	s.Report(now, "c", "relay", selector.Load{InFlight: 2, Queued: 1, Limit: 2})
	chosen, _ := s.Pick(now, newRand(), candidates, nil)
	fmt.Println(candidates[chosen].Target)
	// Output: b
}

// A target whose requests are all cancelled after their hedges won must be
// ejected, although none of its latencies is measured in full.
func TestLostHedgesEject(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	for range 20 {
		answer(s, now, candidates[1], 9*time.Millisecond)
	}
	for range 3 {
		factor := s.Started(now, candidates[0], "relay")
		s.Cancelled(now, "a", 60*time.Millisecond, factor)
	}
	if !s.Ejected(now, "a") {
		t.Error("a target with three lost hedges in a row is not ejected")
	}
	if got := picks(s, now, 100)["a"]; got != 0 {
		t.Errorf("the ejected target was chosen %d times", got)
	}
}

// A slow answer does not show that a target is healthy: it must not end an
// ejection.
func TestSlowAnswerKeepsEjection(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	for range 20 {
		answer(s, now, candidates[1], 9*time.Millisecond)
	}
	for range 3 {
		answer(s, now, candidates[0], 200*time.Millisecond)
	}
	answer(s, now, candidates[0], 200*time.Millisecond)
	if !s.Ejected(now, "a") {
		t.Error("a slow answer ended the ejection")
	}
}

// A misleading signal must not exclude all replicas of a shard: at most half
// are ejected.
func TestEjectionIsCapped(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	for _, c := range candidates {
		for range 3 {
			s.Started(now, c, "relay")
			s.Failed(now, c.Target)
		}
	}
	if got := len(picks(s, now, 300)); got != 2 {
		t.Errorf("%d targets in use with all three failing, want 2", got)
	}
}

// A target that was slow must be tried again once its latency has decayed.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	for range 10 {
		answer(s, now, candidates[0], 90*time.Millisecond)
		answer(s, now, candidates[1], 10*time.Millisecond)
		answer(s, now, candidates[2], 10*time.Millisecond)
	}
	if got := picks(s, now, 300)["a"]; got != 0 {
		t.Errorf("the slow target was chosen %d times", got)
	}
	if got := picks(s, now.Add(2*time.Minute), 300)["a"]; got == 0 {
		t.Error("the slow target is never tried again")
	}
}

// A new target must not get its full share of requests at once.
func TestNewTargetRampsUp(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	warm := []selector.Candidate{{Target: "warm", Local: true, Slots: 2}, {Target: "cold", Local: true, Slots: 2, Since: now}}
	if i, _ := s.Pick(now, newRand(), warm, nil); warm[i].Target != "warm" {
		t.Error("a target that has just started was preferred")
	}
}

// Requests to a target go through the relay with the fewest requests there.
func TestOwnerWithShorterQueue(t *testing.T) {
	s := selector.New(selector.DefaultConfig())
	now := start.Add(time.Hour)
	s.Report(now, "a", "r1", selector.Load{InFlight: 4, Queued: 3, Limit: 4})
	s.Report(now, "a", "r2", selector.Load{InFlight: 1, Limit: 4})
	if got := s.Owner(now, newRand(), "a", []string{"r1", "r2"}); got != "r2" {
		t.Errorf("owner %s, want r2", got)
	}
}

func BenchmarkPick(b *testing.B) {
	s := selector.New(selector.DefaultConfig())
	rng := newRand()
	now := start.Add(time.Hour)
	for _, c := range candidates {
		s.Report(now, c.Target, "r1", selector.Load{InFlight: 1, Limit: 4})
		s.Report(now, c.Target, "r2", selector.Load{InFlight: 1, Limit: 4})
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(now, rng, candidates, nil)
	}
}
