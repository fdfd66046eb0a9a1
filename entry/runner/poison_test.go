package runner_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

// stabilityWindow is the time after a third crash from which a poison request must
// reach no target.
const stabilityWindow = standin.StabilityWindow

// maxLateRuns is how many runs of a poison request are allowed after that time.
const maxLateRuns = 3

// A request that crashed its targets was sent again each time it came, by each VM:
// 126 targets ended under one request. It must be refused as not run by all VMs, also
// by one that has never seen it and by one that has restarted.
func TestPoisonRequestIsRefusedByAllVMs(t *testing.T) {
	cases := []struct {
		name, method, path string
		// attempts is the number of attempts until three targets have crashed.
		attempts int
	}{
		{"gathered", http.MethodGet, "/all/poison", 1},
		{"not idempotent", http.MethodPost, "/once/poison", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(t, 3)
			fleet.crashOn(c.path)
			for i := range c.attempts {
				fleet.do(t, i, c.method, c.path, fmt.Sprintf("first-%d", i))
				time.Sleep(restartDelay)
			}
			if n := fleet.crashes(); n < 3 {
				t.Fatalf("%d targets crashed, want 3 at least", n)
			}
			time.Sleep(stabilityWindow)
			before := fleet.crashes()
			fleet.restart(t, 2)
			for i := range fleet.vms {
				if status := fleet.do(t, i, c.method, c.path, fmt.Sprintf("late-%d", i)); status != http.StatusServiceUnavailable {
					t.Errorf("VM %d answered the poison request with %d, want 503", i, status)
				}
				time.Sleep(2 * restartDelay)
				if status := fleet.do(t, i, c.method, c.path+"-not", fmt.Sprintf("other-%d", i)); status != http.StatusOK {
					t.Errorf("VM %d answered another request with %d, want 200", i, status)
				}
			}
			if late := fleet.crashes() - before; late > maxLateRuns {
				t.Errorf("the poison request ran %d times later than %v after the third crash, want at most %d", late, stabilityWindow, maxLateRuns)
			}
		})
	}
}
