package timer_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/timer"
)

// The estimate must follow a core that becomes busy and idle again. Without an
// estimate, partial answers that were due in time left a slow VM milliseconds late
// and kept only a tenth of their value.
func TestLagFollowsProcessorLoad(t *testing.T) {
	var lag timer.Lag
	if got := lag.Estimate(); got != 0 {
		t.Fatalf("estimate %v without samples", got)
	}
	for range 50 {
		lag.Observe(5 * time.Millisecond)
	}
	if got := lag.Estimate(); got < 5*time.Millisecond || got > 6*time.Millisecond {
		t.Fatalf("estimate %v, want 5ms to 6ms", got)
	}
	for range 100 {
		lag.Observe(-time.Microsecond)
	}
	if got := lag.Estimate(); got > time.Millisecond {
		t.Fatalf("estimate %v after idle samples, want at most 1ms", got)
	}
}
