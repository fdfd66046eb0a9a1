package evaluator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
)

// fakeTarget runs requests in its slots and queues the others first in, first
// out. A closed channel grants a slot.
type fakeTarget struct {
	spec *targetSpec
	run  *run

	mu      sync.Mutex
	free    int
	waiting []chan struct{}
}

func newFakeTarget(spec *targetSpec, r *run) *fakeTarget {
	return &fakeTarget{spec: spec, run: r, free: spec.service.Slots}
}

// enter asks for a slot; a nil channel means that the target sheds.
func (t *fakeTarget) enter() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted := make(chan struct{})
	if t.free > 0 {
		t.free--
		close(granted)
		return granted
	}
	if limit := t.run.variant.shedAt(t.spec.service.Slots); len(t.waiting) >= limit {
		return nil
	}
	t.waiting = append(t.waiting, granted)
	return granted
}

// leave gives back a slot, or the place in the queue of one not yet granted.
func (t *fakeTarget) leave(granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range t.waiting {
		if w == granted {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return
		}
	}
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}

// client is the connections of one relay to one target.
type client struct {
	target      *fakeTarget
	connections chan struct{}
}

func newClient(t *fakeTarget) *client {
	// A relay owns one portion, a quarter of the target's connections.
	n := max(t.spec.service.Connections/4, 1)
	c := &client{target: t, connections: make(chan struct{}, max(n, t.run.variant.connections()))}
	for range cap(c.connections) {
		c.connections <- struct{}{}
	}
	return c
}

// Close has nothing to release.
func (c *client) Close() {}

// Do runs a job at the target.
func (c *client) Do(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	select {
	case <-c.connections:
	case <-ctx.Done():
		return notRun(peerpb.FailureKind_FAILURE_CANCELLED)
	}
	time.Sleep(linkDelay)
	result, cancelled := c.target.serve(ctx, job)
	if cancelled {
		c.reconnect()
		return result
	}
	time.Sleep(linkDelay)
	c.connections <- struct{}{}
	return result
}

// reconnect gives the connection of a cancelled request back once it can be
// used again: after the answer to the cancel request, or once a new one is set up.
func (c *client) reconnect() {
	wait := 2 * linkDelay
	if c.target.run.variant.Cancel == CancelByClose {
		wait = c.target.spec.service.ConnectTime
	}
	time.AfterFunc(wait, func() { c.connections <- struct{}{} })
}

// serve runs a job in a slot and reports whether it was cancelled.
func (t *fakeTarget) serve(ctx context.Context, job *dispatcher.Job) (dispatcher.Result, bool) {
	now := t.run.elapsed()
	if t.spec.lost(now) {
		return notRun(peerpb.FailureKind_FAILURE_UNREACHABLE), false
	}
	if job.Snapshot == oldSnapshot && now >= t.spec.droppedOld {
		return notRun(peerpb.FailureKind_FAILURE_SNAPSHOT_GONE), false
	}
	granted := t.enter()
	if granted == nil {
		return notRun(peerpb.FailureKind_FAILURE_OVERLOADED), false
	}
	select {
	case <-granted:
	case <-ctx.Done():
		time.AfterFunc(linkDelay, func() { t.leave(granted) })
		return notRun(peerpb.FailureKind_FAILURE_CANCELLED), true
	}
	if !time.Now().Before(job.Deadline) {
		t.leave(granted)
		return notRun(peerpb.FailureKind_FAILURE_DEADLINE), false
	}
	return t.execute(ctx, job, granted)
}

func (t *fakeTarget) execute(ctx context.Context, job *dispatcher.Job, granted chan struct{}) (dispatcher.Result, bool) {
	query, _ := strconv.Atoi(job.Text)
	now := t.run.elapsed()
	t.run.countRun(query, job.Service, job.Shard)
	needed := time.Duration(float64(work(t.run.scenario.Seed, query, job.Service+job.Shard, t.spec.name)) * t.spec.factor(now))
	done := time.NewTimer(needed)
	defer done.Stop()
	select {
	case <-done.C:
	case <-ctx.Done():
		time.AfterFunc(linkDelay, func() { t.leave(granted) })
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_CANCELLED}, true
	}
	t.leave(granted)
	if t.spec.lost(t.run.elapsed()) {
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_LOST}, false
	}
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_RAN, Snapshot: job.Snapshot, Shard: job.Shard}, false
}

func notRun(kind peerpb.FailureKind) dispatcher.Result {
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: kind}
}
