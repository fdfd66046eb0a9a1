package supervisor_test

import (
	"context"
	"testing"
	"time"

	"jackdawcart.org/core/supervisor"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Only an outage that was long enough for others to lapse makes the process
// doubt what is missing after it, and only for a while.
func TestLongOutage(t *testing.T) {
	l := supervisor.NewLink(start, 2*time.Second)
	if !l.Failed() || l.Failed() {
		t.Fatal("the first failure must be told once")
	}
	if outage, regained := l.Succeeded(at(time.Second)); !regained || outage != time.Second {
		t.Fatalf("outage %v, regained %v", outage, regained)
	}
	if l.AfterLongOutage(at(time.Second), time.Second) {
		t.Fatal("an outage of one second counts as long")
	}
	l.Failed()
	if !l.AfterLongOutage(at(2*time.Second), time.Second) {
		t.Fatal("an outage that lasts must count")
	}
	l.Succeeded(at(5 * time.Second))
	if !l.AfterLongOutage(at(5500*time.Millisecond), time.Second) || l.AfterLongOutage(at(7*time.Second), time.Second) {
		t.Fatal("a long outage must count for one second after its end")
	}
}

// A watch must not wait on when another call has shown that the store is away.
func TestOutageEndsWaiting(t *testing.T) {
	l := supervisor.NewLink(start, time.Second)
	waiting, stop := l.WhileUp(t.Context())
	defer stop()
	l.Failed()
	select {
	case <-waiting.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the wait went on after the failure")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if l.WaitUp(ctx) {
		t.Fatal("an ended context counts as up")
	}
	l.Succeeded(start)
	if !l.WaitUp(t.Context()) {
		t.Fatal("the store is up")
	}
}
