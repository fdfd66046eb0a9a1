package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/admitter"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func ended(share float64) admitter.Outcome {
	return admitter.Outcome{Whole: true, Elapsed: time.Duration(share * float64(time.Second)), Deadline: time.Second}
}

func ExampleState_Admit() {
	s := admitter.New(admitter.DefaultConfig())
	if s.Admit(newRand(), admitter.Normal) {
		s.Finish(ended(0.1))
	}
	fmt.Println(s.Running())
	// Output: 0
}

// overload fills the limit and ends all queries late, n times.
func overload(s *admitter.State, n int) {
	rng := newRand()
	for range n {
		for s.Admit(rng, admitter.Normal) {
			continue
		}
		for s.Running() > 0 {
			s.Finish(ended(0.95))
		}
	}
}

// Queries that end late must lower the number that run at once.
func TestLateAnswersLowerLimit(t *testing.T) {
	s := admitter.New(admitter.DefaultConfig())
	before := s.Limit()
	overload(s, 50)
	if got := s.Limit(); got >= before {
		t.Errorf("limit %v after late answers, %v before", got, before)
	}
}

// High priority must find room when normal queries fill the limit.
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

// A chance meeting of queries that end early is no overload.
func TestEarlyAnswersRefuseNothing(t *testing.T) {
	s := admitter.New(admitter.DefaultConfig())
	rng := newRand()
	for range 100 {
		for i := range 10 {
			if !s.Admit(rng, admitter.Low) {
				t.Fatalf("query %d of 10 refused while queries take a tenth of the deadline", i)
			}
		}
		for range 10 {
			s.Finish(ended(0.1))
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	s := admitter.New(admitter.DefaultConfig())
	rng := newRand()
	outcome := ended(0.1)
	for b.Loop() {
		if s.Admit(rng, admitter.Normal) {
			s.Finish(outcome)
		}
	}
}
