package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleState_Offer() {
	s := limiter.New(limiter.DefaultConfig(1, 1))
	for range 3 {
		fmt.Println(s.Offer(time.Second) == limiter.Run)
	}
	// Output:
	// true
	// true
	// false
}

// finish runs a request to its end at the given moment.
func finish(s *limiter.State, now time.Time, latency time.Duration) {
	s.Offer(time.Second)
	s.Done(now, latency, false)
}

// Service times that vary by chance must not shrink the limit: that left slots
// idle while requests queued.
func TestVaryingLatencyKeepsLimit(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(2, 2))
	rng := rand.New(rand.NewPCG(1, 2))
	before := s.Limit()
	for i := range 2000 {
		latency := time.Duration(4+rng.IntN(12)) * time.Millisecond
		finish(s, start.Add(time.Duration(i)*5*time.Millisecond), latency)
	}
	if got := s.Limit(); got < before {
		t.Errorf("limit fell from %d to %d at a healthy target", before, got)
	}
}

// A target that slows down tenfold must get fewer requests at once, but at
// least the relay's share.
func TestSlowTargetShrinksLimit(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(4, 2))
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		finish(s, now, 10*time.Millisecond)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		finish(s, now, 100*time.Millisecond)
	}
	if got := s.Limit(); got != 2 {
		t.Errorf("limit %d at a target slowed tenfold, want the share of 2", got)
	}
}

// The times of cancelled runs are all that is seen of a target that loses
// every hedge; without them it would be reported as fast.
func TestCancelledRunsRaiseLatency(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(2, 2))
	now := start
	finish(s, now, 8*time.Millisecond)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		s.Offer(time.Second)
		s.Cancelled(now, 50*time.Millisecond)
	}
	if got := s.Latency(); got < 40*time.Millisecond {
		t.Errorf("latency %v after runs cancelled at 50ms", got)
	}
	if got := s.InFlight(); got != 0 {
		t.Errorf("%d requests in flight after all ended", got)
	}
}

func BenchmarkDone(b *testing.B) {
	s := limiter.New(limiter.DefaultConfig(4, 2))
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		finish(s, now, 8*time.Millisecond)
	}
}
