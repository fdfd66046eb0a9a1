package supervisor_test

import (
	"context"
	"testing"
	"time"

	"jackdawcart.org/core/supervisor"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Only after an outage that was long enough for leases of other processes to
// expire may missing entries be held, and only for a limited time.
func TestLongOutage(t *testing.T) {
	l := supervisor.NewLink(start, 2*time.Second)
	if !l.Failed() || l.Failed() {
		t.Fatal("only the first failure must be reported as the start of an outage")
	}
	if outage, recovered := l.Succeeded(at(time.Second)); !recovered || outage != time.Second {
		t.Fatalf("outage %v, recovered %v; want 1s, true", outage, recovered)
	}
	if !l.LongOutageEnd(at(time.Second), time.Second).IsZero() {
		t.Fatal("an outage of one second counts as long, want at least two seconds")
	}
	l.Failed()
	if l.LongOutageEnd(at(2*time.Second), time.Second).IsZero() {
		t.Fatal("an outage in progress must count")
	}
	l.Succeeded(at(5 * time.Second))
	if l.LongOutageEnd(at(5500*time.Millisecond), time.Second).IsZero() || !l.LongOutageEnd(at(7*time.Second), time.Second).IsZero() {
		t.Fatal("a long outage must count for one second after its end")
	}
}

// A watch must stop waiting once another call has found the store unreachable.
func TestOutageEndsWaiting(t *testing.T) {
	l := supervisor.NewLink(start, time.Second)
	waiting, stop := l.WhileUp(t.Context())
	defer stop()
	l.Failed()
	select {
	case <-waiting.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the context was not cancelled after the failure")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if l.WaitUp(ctx) {
		t.Fatal("WaitUp returned true for a cancelled context")
	}
	l.Succeeded(start)
	if !l.WaitUp(t.Context()) {
		t.Fatal("WaitUp returned false while the store was up")
	}
}

// A dependency that has lost data needs as long to be complete again as after a long
// outage, however short its own was.
func TestLossOfDataCountsAsLongOutage(t *testing.T) {
	l := supervisor.NewLink(start, time.Second)
	l.Failed()
	l.Succeeded(at(500 * time.Millisecond))
	if !l.LongOutageEnd(at(600*time.Millisecond), time.Second).IsZero() {
		t.Error("a short outage counts as a long one")
	}
	l.LostData(at(600 * time.Millisecond))
	if l.LongOutageEnd(at(1500*time.Millisecond), time.Second).IsZero() || !l.LongOutageEnd(at(1600*time.Millisecond), time.Second).IsZero() {
		t.Error("the loss of data must count for one second")
	}
}
