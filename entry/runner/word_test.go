package runner_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

// answer is what a caller got, and when.
type answer struct {
	vm     int
	id     string
	sent   time.Time
	took   time.Duration
	status int
	header http.Header
}

// sendSteadily sends requests to all VMs, one every interval, and returns the answers.
func sendSteadily(t *testing.T, fx *fleet, interval, length time.Duration, paths ...string) []answer {
	t.Helper()
	var mu sync.Mutex
	var answers []answer
	var requests sync.WaitGroup
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		requests.Go(func() {
			sent, vm, id := time.Now(), n%len(fx.vms), fmt.Sprint("r", n)
			status, header := fx.send(t, vm, http.MethodGet, paths[n/len(fx.vms)%len(paths)], id)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer{vm, id, sent, time.Since(sent), status, header})
		})
		time.Sleep(interval)
	}
	requests.Wait()
	return answers
}

// drainBound is the time after which a target that leaves must get no more requests.
const drainBound = 3 * time.Second

// arrivalsBetween counts the requests that reached a target in a span after its first one.
func arrivalsBetween(target *standin.Target, since time.Time, from, to time.Duration) int {
	n := 0
	for _, at := range target.Arrivals() {
		if after := at.Sub(since); after >= from && after < to {
			n++
		}
	}
	return n
}

// lateRuns counts the requests that a target ran although they were sent later than the drain
// bound after it had first answered their VM.
func lateRuns(target *standin.Target, answers []answer) int {
	told := make(map[int]time.Time)
	for _, a := range answers {
		heard := a.sent.Add(a.took)
		if first, ok := told[a.vm]; target.Runs(a.id) > 0 && (!ok || heard.Before(first)) {
			told[a.vm] = heard
		}
	}
	n := 0
	for _, a := range answers {
		if first, ok := told[a.vm]; ok && target.Runs(a.id) > 0 && a.sent.After(first.Add(drainBound)) {
			n++
		}
	}
	return n
}

// A target that said in its answers that it leaves got requests until the store knew of it.
// It must get none from a VM later than the drain bound after its first answer to that VM.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	fleet := newFleet(t, 2)
	leaving := []*standin.Target{ofService(fleet.running(), "plain")[0], ofService(fleet.running(), "shard-0")[1]}
	for _, target := range leaving {
		target.Leave()
	}
	answers := sendSteadily(t, fleet, 5*time.Millisecond, drainBound+3*time.Second, "/often/q", "/all/q")
	for _, a := range answers {
		if a.status != http.StatusOK {
			t.Errorf("a request was answered with %d while two targets left", a.status)
		}
	}
	for _, target := range leaving {
		if n := lateRuns(target, answers); n > 0 {
			t.Errorf("%s got %d requests later than %v after it said that it leaves", target.ID, n, drainBound)
		}
	}
}

// Targets that asked for a pause with a refusal got requests all the while. Each must get two
// from a VM at most, callers must hear at once when to come back, and be served after it.
func TestTargetsThatAskForPauseAreLeftAlone(t *testing.T) {
	const (
		pause         = 3 * time.Second
		begin         = 600 * time.Millisecond
		maxRefuseTime = 150 * time.Millisecond
		perVM         = 2
	)
	for _, c := range []struct{ name, service, path string }{{"plain", "plain", "/often/q"}, {"shard", "shard-0", "/all/q"}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(t, 2)
			// The answers of the other shards are needed, as MinShardShare allows one to miss.
			targets := ofService(fleet.running(), c.service)
			if c.service != "plain" {
				targets = append(targets, ofService(fleet.running(), "shard-1")...)
			}
			for _, target := range targets {
				target.Pause(pause)
			}
			began := time.Now()
			time.AfterFunc(pause/2, func() {
				for _, target := range targets {
					target.Pause(0)
				}
			})
			answers := sendSteadily(t, fleet, 5*time.Millisecond, pause+2*time.Second, c.path)
			for _, target := range targets {
				if n := arrivalsBetween(target, began, begin, pause); n > perVM*len(fleet.vms) {
					t.Errorf("%s got %d requests between %v and %v after its refusals, want %d at most", target.ID, n, begin, pause, perVM*len(fleet.vms))
				}
			}
			checkPausedAnswers(t, answers, began, pause, maxRefuseTime)
		})
	}
}

// checkPausedAnswers checks that requests during a pause were refused at once with the time
// that is left, and that those after it were served.
func checkPausedAnswers(t *testing.T, answers []answer, began time.Time, pause, maxRefuseTime time.Duration) {
	t.Helper()
	late, wrong, unserved := 0, 0, 0
	for _, a := range answers {
		at := a.sent.Sub(began)
		switch {
		case at > pause/4 && at < pause-200*time.Millisecond:
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			left := (pause - at).Seconds()
			if a.status != http.StatusServiceUnavailable || err != nil || after < left/2 || after > 2*left+1 {
				wrong++
			}
			if a.took > maxRefuseTime {
				late++
			}
		case at > pause+700*time.Millisecond && a.status != http.StatusOK:
			unserved++
		}
	}
	if late > 0 || wrong > 0 || unserved > 0 {
		t.Errorf("%d requests were refused late, %d without the time that is left of the pause, %d not served after it, of %d", late, wrong, unserved, len(answers))
	}
}
