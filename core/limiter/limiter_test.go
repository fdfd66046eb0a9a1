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

// runRequest offers a request and completes it at the given time.
func runRequest(s *limiter.State, now time.Time, latency time.Duration) {
	s.Offer(time.Second)
	s.Done(now, latency, false)
}

// Random variation in service time must not shrink the limit, which would leave
// slots idle while requests queue.
func TestVaryingLatencyKeepsLimit(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(2, 2))
	rng := rand.New(rand.NewPCG(1, 2))
	before := s.Limit()
	for i := range 2000 {
		latency := time.Duration(4+rng.IntN(12)) * time.Millisecond
		runRequest(s, start.Add(time.Duration(i)*5*time.Millisecond), latency)
	}
	if got := s.Limit(); got < before {
		t.Errorf("limit fell from %d to %d at a healthy target, want no decrease", before, got)
	}
}

// A target that becomes ten times slower must get fewer concurrent requests, but
// at least this relay's share.
func TestSlowTargetShrinksLimit(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(4, 2))
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		runRequest(s, now, 10*time.Millisecond)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		runRequest(s, now, 100*time.Millisecond)
	}
	if got := s.Limit(); got != 2 {
		t.Errorf("limit %d at a target ten times slower, want this relay's share of 2", got)
	}
}

// A target that loses to every hedge is only observed through cancelled
// requests. Ignoring their elapsed time would report it as fast.
func TestCancelledRunsRaiseLatency(t *testing.T) {
	s := limiter.New(limiter.DefaultConfig(2, 2))
	now := start
	runRequest(s, now, 8*time.Millisecond)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		s.Offer(time.Second)
		s.Cancelled(now, 50*time.Millisecond)
	}
	if got := s.Latency(); got < 40*time.Millisecond {
		t.Errorf("latency %v after requests cancelled at 50ms, want at least 40ms", got)
	}
	if got := s.InFlight(); got != 0 {
		t.Errorf("%d requests in flight after all ended, want 0", got)
	}
}

func BenchmarkDone(b *testing.B) {
	s := limiter.New(limiter.DefaultConfig(4, 2))
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		runRequest(s, now, 8*time.Millisecond)
	}
}
