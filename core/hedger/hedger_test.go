package hedger_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawcart.org/core/hedger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleState() {
	s := hedger.New(hedger.DefaultConfig())
	s.Deposit(40)
	fmt.Println(s.Withdraw(), s.Withdraw(), s.Withdraw())
	// Output: true true false
}

// Hedges beyond the budget would add load when targets are already slow.
func TestBudgetHoldsFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := hedger.DefaultConfig()
		s := hedger.New(config)
		var subs, sent int
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 100)).Draw(t, "deposits") {
			s.Deposit(n)
			subs += n
			for s.Withdraw() {
				sent++
			}
			if float64(sent) > config.Budget*float64(subs)+1e-6 {
				t.Fatalf("%d hedges for %d sub-requests", sent, subs)
			}
		}
	})
}

// A service with little traffic must not keep the initial delay forever.
func TestDelayOfRareService(t *testing.T) {
	config := hedger.DefaultConfig()
	s := hedger.New(config)
	for i := range 60 {
		s.Observe(start.Add(time.Duration(i)*500*time.Millisecond), 10*time.Millisecond)
	}
	if got := s.Delay(); got < 9*time.Millisecond || got > 11*time.Millisecond {
		t.Errorf("delay %v after 60 latencies of 10ms", got)
	}
}

func BenchmarkObserve(b *testing.B) {
	s := hedger.New(hedger.DefaultConfig())
	for b.Loop() {
		s.Observe(start, 10*time.Millisecond)
	}
}
