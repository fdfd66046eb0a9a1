package timer_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/timer"
)

// Answers that were cut on time left a slow VM milliseconds late, and were
// worth a tenth. The estimate must follow a core that becomes busy and free.
func TestLagFollowsTheCore(t *testing.T) {
	var lag timer.Lag
	if got := lag.Estimate(); got != 0 {
		t.Fatalf("estimate %v without samples", got)
	}
	for range 50 {
		lag.Observe(5 * time.Millisecond)
	}
	if got := lag.Estimate(); got < 5*time.Millisecond || got > 6*time.Millisecond {
		t.Fatalf("estimate %v, want about 5ms", got)
	}
	for range 100 {
		lag.Observe(-time.Microsecond)
	}
	if got := lag.Estimate(); got > time.Millisecond {
		t.Fatalf("estimate %v after a calm spell", got)
	}
}
