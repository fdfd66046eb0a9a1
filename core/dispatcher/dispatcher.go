// Package dispatcher runs sub-requests at the targets of a relay, each target
// within its own concurrency limit.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"jackdawcart.org/core/limiter"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
)

// Client sends requests to one target.
type Client interface {
	// Do runs a job and returns its result. When ctx ends the job is cancelled.
	Do(ctx context.Context, job *Job) Result
	// Close releases the connections once the running jobs have ended.
	Close()
}

// Job is one request for one target.
type Job struct {
	QueryID     string
	Sub         uint32
	Attempt     uint32
	Service     string
	Target      string
	Shard       string
	Snapshot    string
	Text        string
	Limit       int
	Deadline    time.Time
	Traceparent string
	Fingerprint uint64
	// Execute is set for a non-idempotent request.
	Execute *peerpb.Execute
	// Reply receives the job's result exactly once.
	Reply func(Result)
}

// Result is the end of a job.
type Result struct {
	Outcome  peerpb.Outcome
	Failure  peerpb.FailureKind
	Hits     []*peerpb.Hit
	Snapshot string
	Shard    string
	// Output is the result of a non-idempotent request.
	Output []byte
	Load   *peerpb.TargetLoad
}

// TargetConfig describes a target to the dispatcher.
type TargetConfig struct {
	Name    string
	Limiter limiter.Config
	Client  Client
}

// Observer is told how jobs end at targets.
type Observer interface {
	JobStarted(target string, job *Job)
	JobEnded(target string, job *Job, result Result)
}

// Dispatcher owns the targets of one relay.
type Dispatcher struct {
	timers   *timer.Service
	observer Observer

	mu      sync.Mutex
	targets map[string]*target
	closed  bool
	running sync.WaitGroup
}

// New returns a dispatcher without targets. The observer may be nil.
func New(timers *timer.Service, observer Observer) *Dispatcher {
	return &Dispatcher{timers: timers, observer: observer, targets: make(map[string]*target)}
}

// Put adds a target, or replaces it; the old one ends its running jobs. After
// Close it only closes the client.
func (d *Dispatcher) Put(config TargetConfig) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		config.Client.Close()
		return
	}
	if old, ok := d.targets[config.Name]; ok {
		old.stop()
	}
	t := newTarget(config, d.timers, d.observer)
	d.targets[config.Name] = t
	d.running.Go(t.run)
}

// Remove takes a target out; its running jobs end, queued ones are refused.
func (d *Dispatcher) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.targets[name]; ok {
		t.stop()
		delete(d.targets, name)
	}
}

// Submit runs a job, or replies at once why it was not run.
func (d *Dispatcher) Submit(job *Job) {
	if failure := d.enqueue(job); failure != peerpb.FailureKind_FAILURE_NONE {
		job.Reply(refusal(failure))
	}
}

// enqueue holds the lock while it fills the inbox, so that no job can reach a
// target that has been stopped and has emptied its inbox.
func (d *Dispatcher) enqueue(job *Job) peerpb.FailureKind {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.targets[job.Target]
	if !ok {
		return peerpb.FailureKind_FAILURE_NOT_OWNER
	}
	if !t.inbox.Put(event{kind: eventSubmit, job: job}) {
		return peerpb.FailureKind_FAILURE_OVERLOADED
	}
	return peerpb.FailureKind_FAILURE_NONE
}

// Cancel gives up a job of a query.
func (d *Dispatcher) Cancel(cancel *peerpb.Cancel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.cancel(jobKey{cancel.QueryId, cancel.Sub, cancel.Attempt}) {
			return
		}
	}
}

// Load returns the present load of a target.
func (d *Dispatcher) Load(name string) (*peerpb.TargetLoad, bool) {
	d.mu.Lock()
	t, ok := d.targets[name]
	d.mu.Unlock()
	if !ok {
		return nil, false
	}
	return t.load.Load(), true
}

// Close refuses queued jobs and waits until running ones have ended.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	for name, t := range d.targets {
		t.stop()
		delete(d.targets, name)
	}
	d.mu.Unlock()
	d.running.Wait()
}

func refusal(kind peerpb.FailureKind) Result {
	return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: kind}
}
