package responder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/platform/standin"
)

// delegated sends a request that another VM has passed on, with the oldest version by which
// it may be served.
func (fx *fixture) delegated(path, id string, minVersion int) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "http://x.example"+path, http.NoBody)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	request.Header.Set("Jackdawcart-Vm", "vm-2")
	request.Header.Set("Jackdawcart-Version", fmt.Sprint(minVersion))
	w := httptest.NewRecorder()
	fx.ServeDelegated(w, request)
	return w
}

// cutOff leaves requests unanswered until the VM counts as cut off from all targets.
func (fx *fixture) cutOff(t *testing.T, shards int) {
	t.Helper()
	for i := range shards {
		fx.setBehaviour(fmt.Sprintf("shard-%d", i), standin.Hanging)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		fx.do(http.MethodGet, "/all/q", "silent", "")
	}()
	time.Sleep(300 * time.Millisecond)
	t.Cleanup(func() { <-done })
}

// A VM must serve the request of another one, under the caller's request ID, and say by
// which configuration.
func TestDelegatedRequestIsServed(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	w := fx.delegated("/all/q", "r1", 1)
	check(t, "status", w.Code, http.StatusOK)
	check(t, "request", w.Header().Get("Request-Id"), "r1")
	check(t, "version", w.Header().Get("Jackdawcart-Version"), "1")
}

// A caller that has been served by a newer configuration must not be served by an older
// one, through whichever VM.
func TestDelegatedRequestNeedsVersion(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	w := fx.delegated("/often/q", "r1", 2)
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "unavailable", w.Header().Get("Jackdawcart-Unavailable"), "older configuration")
	check(t, "runs", fx.runs("plain", "r1"), 0)
}

// A VM that is cut off itself must say so at once, so that another one is asked.
func TestCutOffVMTakesNoRequests(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	fx.cutOff(t, 4)
	began := time.Now()
	w := fx.delegated("/all/q", "r1", 1)
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "unavailable", w.Header().Get("Jackdawcart-Unavailable"), "cut off from all targets")
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

// Without another VM, a request at a VM that is cut off must be refused at once instead of
// waiting until its deadline.
func TestCutOffVMAloneRefusesAtOnce(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	fx.cutOff(t, 4)
	began := time.Now()
	w := fx.do(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "retry", w.Header().Get("Retry-After"), "0.300")
	check(t, "runs", fx.runsOfShards(4, "r1"), 0)
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

// countingDelegator counts the requests that are passed on.
type countingDelegator struct{ asked int }

func (d *countingDelegator) Delegate(context.Context, delegator.Request, time.Duration) delegator.Outcome {
	d.asked++
	return delegator.Outcome{}
}

func (d *countingDelegator) Version() int64 { return 0 }

// A request whose targets have left must be refused and not reach them through a VM that
// does not know it yet. One whose targets are only unreachable is passed on.
func TestRequestOfTargetsThatLeftIsNotPassedOn(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	d := &countingDelegator{}
	fx.Delegator = d
	for _, record := range fx.directory.targets["plain"] {
		fx.Placer.SetReachable(record.ID, false)
	}
	check(t, "unreachable", fx.do(http.MethodGet, "/often/q", "r1", "").Code, http.StatusServiceUnavailable)
	check(t, "passed on", d.asked, 1)
	time.Sleep(1100 * time.Millisecond)
	fx.directory.targets["plain"] = nil
	check(t, "left", fx.do(http.MethodGet, "/often/q", "r2", "").Code, http.StatusServiceUnavailable)
	check(t, "passed on after they left", d.asked, 1)
}
