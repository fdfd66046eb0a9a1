package runner_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/platform/soak"
	"jackdawcart.org/platform/standin"
)

// loadCounts counts the answers to sound requests.
type loadCounts struct {
	mu                         sync.Mutex
	sent, refused, quarantined int
}

// soundInterval is the pause of a caller between two requests.
const soundInterval = 3 * time.Millisecond

// sendSound sends sound requests from several callers until the end, a few equal ones again
// and again, and returns the share that was refused, and of those the ones in quarantine.
func sendSound(t *testing.T, fx *fleet, length time.Duration) *loadCounts {
	t.Helper()
	const callers, distinct = 9, 30
	counts := &loadCounts{}
	var running sync.WaitGroup
	for k := range callers {
		running.Go(func() {
			for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
				path := soundPath((k + callers*n) % distinct)
				time.Sleep(soundInterval)
				status := fx.trySend(t.Context(), (k+n)%len(fx.vms), http.MethodGet, path, fmt.Sprintf("sound-%d-%d", k, n))
				counts.mu.Lock()
				counts.sent++
				if status == http.StatusServiceUnavailable {
					counts.refused++
				}
				counts.mu.Unlock()
			}
		})
	}
	running.Wait()
	for _, line := range strings.Split(fx.logs(t), "\n") {
		if strings.Contains(line, "reason=quarantined") && strings.Contains(line, "/sound-") {
			counts.quarantined++
		}
	}
	return counts
}

// trySend sends a request to a VM that may be down, and returns the status, 0 without an
// answer before the context ends.
func (fx *fleet) trySend(ctx context.Context, vm int, method, path, id string) int {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fx.vms[vm].callers+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	request.Host = "x.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func soundPath(i int) string {
	if i%3 == 0 {
		return fmt.Sprintf("/often/sound-%d", i)
	}
	return fmt.Sprintf("/all/sound-%d", i)
}

// Targets that are killed, one at random after the other, all of a service at once, or all
// of a rack at once, must not put sound requests that were in flight there under quarantine.
func TestSoundRequestsSurviveCrashes(t *testing.T) {
	const serviceTime, length = 30 * time.Millisecond, 4 * time.Second
	cases := []struct {
		name string
		// kills returns the targets to crash in each of several rounds.
		kills func(round int, targets []*standin.Target) []*standin.Target
	}{
		{"one at random after the other", func(round int, targets []*standin.Target) []*standin.Target {
			return targets[round*7%len(targets) : round*7%len(targets)+1]
		}},
		{"a service restarts", func(round int, targets []*standin.Target) []*standin.Target {
			return ofService(targets, fmt.Sprintf("shard-%d", round%shardCount))
		}},
		{"a rack is lost", func(round int, targets []*standin.Target) []*standin.Target {
			var rack []*standin.Target
			for i, target := range targets {
				if i%replicasPerService == round%replicasPerService {
					rack = append(rack, target)
				}
			}
			return rack
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(t, 3)
			fleet.crashOn(standin.Poison{})
			for _, target := range fleet.running() {
				target.Set(standin.Healthy, serviceTime)
			}
			kills := time.AfterFunc(length/8, func() {
				for round := range 4 {
					for _, target := range c.kills(round, fleet.running()) {
						target.Crash()
					}
					time.Sleep(length / 6)
				}
			})
			defer kills.Stop()
			counts := sendSound(t, fleet, length)
			t.Logf("%d sent, %d refused, %d of them in quarantine; %d targets crashed", counts.sent, counts.refused, counts.quarantined, len(fleet.crashTimes()))
			if counts.quarantined > counts.sent/500 {
				t.Errorf("%d of %d sound requests were refused in quarantine", counts.quarantined, counts.sent)
			}
			time.Sleep(time.Second)
			for i := range 30 {
				if status := fleet.do(t, i%3, http.MethodGet, soundPath(i), fmt.Sprint("after-", i)); status != http.StatusOK {
					t.Errorf("%s is answered with %d after the crashes", soundPath(i), status)
				}
			}
		})
	}
}

func ofService(targets []*standin.Target, service string) []*standin.Target {
	var of []*standin.Target
	for _, target := range targets {
		if target.Service == service {
			of = append(of, target)
		}
	}
	return of
}

// A VM that has lost its links to live targets, which then refuse it, must not take sound
// requests for the cause.
func TestSoundRequestsSurviveLostLinks(t *testing.T) {
	const length = 6 * time.Second
	fleet, l := newFleetWithLinks(t)
	for _, target := range fleet.running() {
		target.Set(standin.Healthy, 30*time.Millisecond)
	}
	cuts := time.AfterFunc(length/8, func() {
		for range 3 {
			l.set(soak.Impairment{Refuse: true}, true)
			time.Sleep(length / 8)
			l.set(soak.Impairment{}, true)
			time.Sleep(length / 8)
		}
	})
	defer cuts.Stop()
	counts := sendSound(t, fleet, length)
	t.Logf("%d sent, %d refused, %d of them in quarantine", counts.sent, counts.refused, counts.quarantined)
	if counts.quarantined > 0 {
		t.Errorf("%d of %d sound requests were refused in quarantine", counts.quarantined, counts.sent)
	}
}
