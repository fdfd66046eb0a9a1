package pooler_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/pooler"
)

// target is an HTTP server that counts its open connections.
type target struct {
	*httptest.Server
	open atomic.Int64
	peak atomic.Int64
}

func newTarget(t *testing.T, handler http.HandlerFunc) *target {
	t.Helper()
	s := &target{Server: httptest.NewUnstartedServer(handler)}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open := s.open.Add(1)
			for peak := s.peak.Load(); open > peak && !s.peak.CompareAndSwap(peak, open); peak = s.peak.Load() {
			}
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *target) pool(allotment int) *pooler.Pool {
	return pooler.New(pooler.Config{Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Allotment: allotment})
}

func echoSearch(w http.ResponseWriter, r *http.Request) {
	var search pooler.Search
	if err := json.NewDecoder(r.Body).Decode(&search); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(pooler.SearchAnswer{
		QueryID: search.QueryID, SubID: search.SubID, Shard: search.Shard, Snapshot: search.Snapshot,
	})
}

func search(p *pooler.Pool, id string) (*pooler.SearchAnswer, error) {
	return p.Search(context.Background(), time.Now().Add(2*time.Second), &pooler.Search{
		QueryID: id, SubID: "0.0", Shard: "a", Snapshot: "one",
	})
}

// A relay must never open more connections than its allotment, even while the
// allotment shrinks under load.
func TestPoolStaysWithinAllotment(t *testing.T) {
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		echoSearch(w, r)
	})
	p := s.pool(6)
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() {
			if _, err := search(p, "q"); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	p.SetAllotment(2)
	calls.Wait()
	if peak := s.peak.Load(); peak > 6 {
		t.Errorf("%d connections were open at once, allotment 6", peak)
	}
	if open := p.Open(); open > 2 {
		t.Errorf("%d connections are still open, allotment 2", open)
	}
}

// An answer to another request must be rejected.
func TestCrossedAnswerIsRefused(t *testing.T) {
	s := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(pooler.SearchAnswer{QueryID: "other", SubID: "0.0"})
	})
	_, err := search(s.pool(4), "mine")
	var failure *pooler.Error
	if !errors.As(err, &failure) || failure.Kind != pooler.KindCrossed {
		t.Fatalf("got error %v, want kind crossed", err)
	}
}

// Only refusals made before the target starts work may be reported as not run.
func TestRefusalOutcomes(t *testing.T) {
	tests := []struct {
		status  int
		code    string
		kind    pooler.Kind
		outcome peerpb.Outcome
	}{
		{http.StatusServiceUnavailable, "shed", pooler.KindShed, peerpb.Outcome_OUTCOME_NOT_RUN},
		{http.StatusServiceUnavailable, "draining", pooler.KindDraining, peerpb.Outcome_OUTCOME_NOT_RUN},
		{http.StatusConflict, "snapshot-gone", pooler.KindSnapshotGone, peerpb.Outcome_OUTCOME_NOT_RUN},
		{http.StatusGatewayTimeout, "deadline", pooler.KindDeadline, peerpb.Outcome_OUTCOME_NOT_RUN},
		{http.StatusServiceUnavailable, "", pooler.KindTarget, peerpb.Outcome_OUTCOME_UNKNOWN},
		{http.StatusInternalServerError, "shed", pooler.KindTarget, peerpb.Outcome_OUTCOME_UNKNOWN},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			s := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_ = json.NewEncoder(w).Encode(map[string]string{"code": test.code})
			})
			_, err := search(s.pool(4), "q")
			var failure *pooler.Error
			if !errors.As(err, &failure) {
				t.Fatalf("got %v, want a pooler error", err)
			}
			got := []any{failure.Kind, failure.Outcome}
			if diff := cmp.Diff([]any{test.kind, test.outcome}, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// A request whose connection breaks may have run; one that never got a
// connection did not.
func TestExecuteOutcomes(t *testing.T) {
	execute := func(p *pooler.Pool) peerpb.Outcome {
		_, err := p.Execute(context.Background(), time.Now().Add(time.Second), &pooler.Execute{RequestID: "r"})
		var failure *pooler.Error
		if !errors.As(err, &failure) {
			t.Fatalf("got %v, want a pooler error", err)
		}
		return failure.Outcome
	}
	aborting := newTarget(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if got := execute(aborting.pool(4)); got != peerpb.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("outcome after a broken connection: %v, want unknown", got)
	}
	closed := newTarget(t, echoSearch)
	pool := closed.pool(4)
	closed.Close()
	if got := execute(pool); got != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("outcome after a refused connection: %v, want not run", got)
	}
}

// A non-idempotent request must get a connection even when idle connections of
// queries use up the allotment.
func TestExecuteWithIdleConnections(t *testing.T) {
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/execute" {
			_ = json.NewEncoder(w).Encode(pooler.ExecuteAnswer{RequestID: "r", Result: "done"})
			return
		}
		echoSearch(w, r)
	})
	p := s.pool(1)
	if _, err := search(p, "q"); err != nil {
		t.Fatal(err)
	}
	answer, err := p.Execute(context.Background(), time.Now().Add(time.Second), &pooler.Execute{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Result != "done" {
		t.Errorf("result %q, want \"done\"", answer.Result)
	}
}
