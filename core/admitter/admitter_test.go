package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/admitter"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// completed returns the outcome of a query that took the given fraction of its
// deadline.
func completed(deadlineShare float64) admitter.Outcome {
	return admitter.Outcome{WithinCapacity: true, Elapsed: time.Duration(deadlineShare * float64(time.Second)), Deadline: time.Second}
}

func ExampleState_Admit() {
	s := admitter.New(admitter.DefaultConfig())
	if s.Admit(newRand(), admitter.Normal) {
		s.Finish(completed(0.1))
	}
	fmt.Println(s.Running())
	// Output: 0
}

// overload fills the limit and completes all queries late, n times in a row.
func overload(s *admitter.State, n int) {
	rng := newRand()
	for range n {
		for s.Admit(rng, admitter.Normal) {
			continue
		}
		for s.Running() > 0 {
			s.Finish(completed(0.95))
		}
	}
}

// Queries that end close to their deadline must lower the limit.
func TestLateAnswersLowerLimit(t *testing.T) {
	s := admitter.New(admitter.DefaultConfig())
	before := s.Limit()
	overload(s, 50)
	if got := s.Limit(); got >= before {
		t.Errorf("limit %v after late answers, want less than %v", got, before)
	}
}

// High-priority queries must be admitted when normal ones fill the limit.
func TestHighPriorityFindsRoom(t *testing.T) {
	s := admitter.New(admitter.DefaultConfig())
	overload(s, 20)
	rng := newRand()
	for s.Admit(rng, admitter.Normal) {
		continue
	}
	if !s.Admit(rng, admitter.High) {
		t.Error("a high-priority query was refused while normal ones fill the limit")
	}
	if s.Admit(rng, admitter.Low) {
		t.Error("a low-priority query was admitted beyond the limit")
	}
}

// A random burst of queries that end early must not be treated as overload.
func TestEarlyAnswersRefuseNothing(t *testing.T) {
	s := admitter.New(admitter.DefaultConfig())
	rng := newRand()
	for range 100 {
		for i := range 10 {
			if !s.Admit(rng, admitter.Low) {
				t.Fatalf("query %d of a burst of 10 refused although queries take a tenth of the deadline", i)
			}
		}
		for range 10 {
			s.Finish(completed(0.1))
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	s := admitter.New(admitter.DefaultConfig())
	rng := newRand()
	outcome := completed(0.1)
	for b.Loop() {
		if s.Admit(rng, admitter.Normal) {
			s.Finish(outcome)
		}
	}
}
