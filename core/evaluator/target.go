package evaluator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
)

// fakeTarget runs requests in its slots and queues the others in FIFO order. It
// grants a slot to a queued request by closing the channel of the request.
type fakeTarget struct {
	spec *targetSpec
	run  *run

	mu        sync.Mutex
	freeSlots int
	queue     []chan struct{}
}

func newFakeTarget(spec *targetSpec, r *run) *fakeTarget {
	return &fakeTarget{spec: spec, run: r, freeSlots: spec.service.Slots}
}

// acquire requests a slot. The channel that it returns is closed once the slot is
// granted, and is nil when the target sheds the request.
func (t *fakeTarget) acquire() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted := make(chan struct{})
	if t.freeSlots > 0 {
		t.freeSlots--
		close(granted)
		return granted
	}
	if limit := t.run.variant.queueLimit(t.spec.service.Slots); len(t.queue) >= limit {
		return nil
	}
	t.queue = append(t.queue, granted)
	return granted
}

// release frees a granted slot, or removes a waiting request from the queue.
func (t *fakeTarget) release(granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, queued := range t.queue {
		if queued == granted {
			t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
			return
		}
	}
	if len(t.queue) == 0 {
		t.freeSlots++
		return
	}
	close(t.queue[0])
	t.queue = t.queue[1:]
}

// client is the connection pool of one relay for one target.
type client struct {
	target      *fakeTarget
	connections chan struct{}
}

func newClient(t *fakeTarget) *client {
	// A relay may use one portion, a quarter of the target's connections.
	n := max(t.spec.service.Connections/4, 1)
	c := &client{target: t, connections: make(chan struct{}, max(n, t.run.variant.connections()))}
	for range cap(c.connections) {
		c.connections <- struct{}{}
	}
	return c
}

// Close does nothing: simulated connections need no cleanup.
func (c *client) Close() {}

// Do runs a job at the target, once a connection is free.
func (c *client) Do(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	select {
	case <-c.connections:
	case <-ctx.Done():
		return notRun(peerpb.FailureKind_FAILURE_CANCELLED)
	}
	time.Sleep(sameDomainDelay)
	result, cancelled := c.target.serve(ctx, job)
	if cancelled {
		c.restoreConnection()
		return result
	}
	time.Sleep(sameDomainDelay)
	c.connections <- struct{}{}
	return result
}

// restoreConnection returns a connection to the pool after a request on it was
// cancelled: when the answer to the cancel request has arrived, or when a new
// connection is set up in place of the closed one.
func (c *client) restoreConnection() {
	wait := 2 * sameDomainDelay
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
	if job.Snapshot == oldSnapshot && now >= t.spec.oldDroppedAt {
		return notRun(peerpb.FailureKind_FAILURE_SNAPSHOT_GONE), false
	}
	granted := t.acquire()
	if granted == nil {
		return notRun(peerpb.FailureKind_FAILURE_OVERLOADED), false
	}
	select {
	case <-granted:
	case <-ctx.Done():
		time.AfterFunc(sameDomainDelay, func() { t.release(granted) })
		return notRun(peerpb.FailureKind_FAILURE_CANCELLED), true
	}
	if !time.Now().Before(job.Deadline) {
		t.release(granted)
		return notRun(peerpb.FailureKind_FAILURE_DEADLINE), false
	}
	return t.execute(ctx, job, granted)
}

func (t *fakeTarget) execute(ctx context.Context, job *dispatcher.Job, granted chan struct{}) (dispatcher.Result, bool) {
	query, _ := strconv.Atoi(job.Text)
	now := t.run.elapsed()
	t.run.countExecution(query, job.Service, job.Shard)
	duration := time.Duration(float64(serviceTime(t.run.scenario.Seed, query, job.Service+job.Shard, t.spec.name)) * t.spec.factor(now))
	done := time.NewTimer(duration)
	defer done.Stop()
	select {
	case <-done.C:
	case <-ctx.Done():
		time.AfterFunc(sameDomainDelay, func() { t.release(granted) })
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_CANCELLED}, true
	}
	t.release(granted)
	if t.spec.lost(t.run.elapsed()) {
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_LOST}, false
	}
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_RAN, Snapshot: job.Snapshot, Shard: job.Shard}, false
}

func notRun(kind peerpb.FailureKind) dispatcher.Result {
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: kind}
}
