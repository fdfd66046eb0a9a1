package runner_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/platform/soak"
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
			fleet.crashOn(standin.Poison{Path: c.path})
			for i := range c.attempts {
				fleet.do(t, i, c.method, c.path, fmt.Sprintf("first-%d", i))
				time.Sleep(restartDelay)
			}
			if n := len(fleet.crashTimes()); n < 3 {
				t.Fatalf("%d targets crashed, want 3 at least", n)
			}
			time.Sleep(stabilityWindow)
			before := len(fleet.crashTimes())
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
			if late := len(fleet.crashTimes()) - before; late > maxLateRuns {
				t.Errorf("the poison request ran %d times later than %v after the third crash, want at most %d", late, stabilityWindow, maxLateRuns)
			}
		})
	}
}

// poisonInterval is the pause between two copies of a poison request.
const poisonInterval = 500 * time.Millisecond

// repeatPoison sends equal requests to the VMs in turn, each one after the answer to the one
// before, and returns when each one was sent.
func repeatPoison(t *testing.T, fx *fleet, method, path string, length time.Duration) map[string]time.Time {
	t.Helper()
	sent := make(map[string]time.Time)
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		id := fmt.Sprintf("poison-%d", i)
		sent[id] = time.Now()
		fx.do(t, i%len(fx.vms), method, path, id)
		time.Sleep(poisonInterval)
	}
	return sent
}

// checkPoisonStops checks that a poison request was seen to crash targets, and that few
// copies reached any target, or crashed one, later than the stability window after the third
// crash.
func checkPoisonStops(t *testing.T, fx *fleet, sent map[string]time.Time) {
	t.Helper()
	crashes := fx.crashTimes()
	if len(crashes) < 3 {
		t.Fatalf("%d targets crashed, want 3 at least", len(crashes))
	}
	settled := crashes[2].Add(stabilityWindow)
	lateCrashes, lateRuns := 0, 0
	for _, at := range crashes {
		if at.After(settled) {
			lateCrashes++
		}
	}
	for id, at := range sent {
		if at.After(settled) && fx.ran(id) {
			lateRuns++
		}
	}
	t.Logf("%d targets crashed, %d of them late; %d of %d copies ran late", len(crashes), lateCrashes, lateRuns, len(sent))
	if lateCrashes > maxLateRuns || lateRuns > maxLateRuns {
		t.Errorf("later than %v after the third crash, %d copies ran and %d targets crashed, want at most %d", stabilityWindow, lateRuns, lateCrashes, maxLateRuns)
	}
}

// A request that crashed the targets of some shards was cleared by the answers of the others
// each time it came.
func TestRequestThatCrashesSomeShards(t *testing.T) {
	for _, services := range [][]string{{"shard-0"}, {"shard-0", "shard-2"}} {
		t.Run(fmt.Sprintf("%d of %d", len(services), shardCount), func(t *testing.T) {
			fleet := newFleet(t, 3)
			fleet.crashOn(standin.Poison{Path: "/all/poison", Services: services})
			checkPoisonStops(t, fleet, repeatPoison(t, fleet, http.MethodGet, "/all/poison", 3*stabilityWindow))
		})
	}
}

// A request whose target crashed after the request had been given up was never suspected.
func TestTargetCrashesAfterDeadline(t *testing.T) {
	cases := []struct{ name, method, path string }{
		{"gathered", http.MethodGet, "/all/poison"},
		{"plain", http.MethodGet, "/often/poison"},
		{"not idempotent", http.MethodPost, "/once/poison"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(t, 3)
			fleet.crashOn(standin.Poison{Path: c.path, After: callerDeadline + 300*time.Millisecond})
			checkPoisonStops(t, fleet, repeatPoison(t, fleet, c.method, c.path, 4*stabilityWindow))
		})
	}
}

// What one VM learns of a request that crashes targets must reach the others while the store
// is away, after it was restored from an older copy, and when the request was passed on.
func TestKnowledgeOfPoisonTravels(t *testing.T) {
	const path = "/all/poison"
	cases := []struct {
		name string
		// poison makes targets crash under the request, and returns the VMs that must know.
		poison func(t *testing.T, fx *fleet, l *links) []int
	}{
		{"store away", func(t *testing.T, fx *fleet, _ *links) []int {
			fx.store.Refuse(http.StatusServiceUnavailable)
			fx.do(t, 1, http.MethodGet, path, "first")
			return []int{1}
		}},
		{"store away, VMs of one domain", func(t *testing.T, fx *fleet, _ *links) []int {
			fx.store.Refuse(http.StatusServiceUnavailable)
			fx.do(t, 2, http.MethodGet, path, "first")
			return []int{0, 2}
		}},
		{"store restored, VM restarted", func(t *testing.T, fx *fleet, _ *links) []int {
			backup := fx.store.Copy()
			fx.do(t, 1, http.MethodGet, path, "first")
			time.Sleep(2 * time.Second)
			fx.store.Restore(backup)
			fx.store.WriteAgain()
			time.Sleep(stabilityWindow)
			fx.restart(t, 2)
			return []int{0, 1, 2}
		}},
		{"request passed on", func(t *testing.T, fx *fleet, l *links) []int {
			l.set(soak.Impairment{Refuse: true}, true)
			for end := time.Now().Add(stabilityWindow); time.Now().Before(end); {
				fx.do(t, 0, http.MethodGet, "/all/q", fmt.Sprint("sound-", time.Now().UnixNano()))
			}
			fx.do(t, 0, http.MethodGet, path, "first")
			return []int{0, 1, 2}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet, l := newFleetWithLinks(t)
			fleet.crashOn(standin.Poison{Path: path})
			informed := c.poison(t, fleet, l)
			if !fleet.ran("first") {
				t.Fatal("the first copy has not run")
			}
			time.Sleep(stabilityWindow)
			for _, vm := range informed {
				id := fmt.Sprint("late-", vm)
				if status := fleet.do(t, vm, http.MethodGet, path, id); status != http.StatusServiceUnavailable || fleet.ran(id) {
					t.Errorf("VM %d answered with %d, ran: %t", vm, status, fleet.ran(id))
				}
			}
		})
	}
}
