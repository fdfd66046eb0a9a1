package runner_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

// A target that named a limit got more than one and a half times that from the entry VMs
// together. It must not, while the targets of a shard have room for only a part of the
// requests; and what fits must be served, the rest refused at once.
func TestNamedLimitIsKept(t *testing.T) {
	const (
		limit    = 10.0
		perVM    = 30 * time.Millisecond
		duration = 12 * time.Second
		// window and slack are those of the platform's rule.
		window        = 4 * time.Second
		slack         = 5
		allowed       = 1.5*limit*float64(window/time.Second) + slack
		maxRefuseTime = 150 * time.Millisecond
	)
	fleet := newFleet(t, 3)
	for _, target := range fleet.running() {
		target.NameLimit(limit)
	}
	began := time.Now()
	var running sync.WaitGroup
	var mu sync.Mutex
	served, late := 0, 0
	for i := range int(duration / perVM) {
		for vm := range fleet.vms {
			running.Go(func() {
				sent := time.Now()
				status := fleet.do(t, vm, http.MethodGet, "/all/q", fmt.Sprintf("%d-%d", vm, i))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case sent.Sub(began) < stabilityWindow:
				case status == http.StatusOK:
					served++
				case time.Since(sent) > maxRefuseTime:
					late++
				}
			})
		}
		time.Sleep(perVM)
	}
	running.Wait()
	most := 0
	for _, target := range fleet.running() {
		n := mostWithin(target.Arrivals(), began.Add(stabilityWindow), window)
		most = max(most, n)
		if float64(n) > allowed {
			t.Errorf("%s got %d requests in %v, want at most %.0f", target.ID, n, window, allowed)
		}
	}
	t.Logf("%d queries served, at most %d requests in %v at one target", served, most, window)
	capacity := limit * replicasPerService * (duration - stabilityWindow).Seconds()
	if float64(served) < capacity/2 {
		t.Errorf("%d queries served, want half of the %.0f that the limits allow", served, capacity)
	}
	if late > 0 {
		t.Errorf("%d queries were refused after more than %v", late, maxRefuseTime)
	}
}

// running returns the targets that have been started.
func (fx *fleet) running() []*standin.Target {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return slices.Clone(fx.targets)
}

// mostWithin returns the largest number of times within a window that begins at the given
// time or later.
func mostWithin(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
