// Package dispatcher runs sub-requests at a relay's targets, each within its own
// concurrency limit.
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
	// Do runs a job and returns its result. The job is cancelled when ctx ends.
	Do(ctx context.Context, job *Job) Result
	// Close releases the connections after the running jobs have ended.
	Close()
}

// Job is one request to one target.
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
	// Execute is set only for a non-idempotent request.
	Execute *peerpb.Execute
	// Reply is called exactly once with the job's result.
	Reply func(Result)
}

// Result is the result of a job.
type Result struct {
	Outcome  peerpb.Outcome
	Failure  peerpb.FailureKind
	Hits     []*peerpb.Hit
	Snapshot string
	Shard    string
	// Output is the response to a non-idempotent request.
	Output []byte
	Load   *peerpb.TargetLoad
}

// TargetConfig configures one target.
type TargetConfig struct {
	Name    string
	Limiter limiter.Config
	Client  Client
}

// Observer receives the start and end of jobs at targets.
type Observer interface {
	JobStarted(target string, job *Job)
	JobEnded(target string, job *Job, result Result)
}

// Dispatcher manages the targets of one relay.
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

// Put adds or replaces a target; a replaced one finishes its running jobs and
// refuses queued ones. After Close, Put only closes the client.
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

// Remove removes a target. Its running jobs finish; queued ones are refused.
func (d *Dispatcher) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.targets[name]; ok {
		t.stop()
		delete(d.targets, name)
	}
}

// Submit starts or queues a job, or replies immediately with the reason for
// refusing it.
func (d *Dispatcher) Submit(job *Job) {
	if failure := d.enqueue(job); failure != peerpb.FailureKind_FAILURE_NONE {
		job.Reply(refusedResult(failure))
	}
}

// enqueue holds the lock while it fills the inbox, so that no job reaches a
// target that has been stopped and has drained its inbox.
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

// Cancel cancels a job, whether running or queued.
func (d *Dispatcher) Cancel(cancel *peerpb.Cancel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.cancel(jobKey{cancel.QueryId, cancel.Sub, cancel.Attempt}) {
			return
		}
	}
}

// Load returns the current load of a target.
func (d *Dispatcher) Load(name string) (*peerpb.TargetLoad, bool) {
	d.mu.Lock()
	t, ok := d.targets[name]
	d.mu.Unlock()
	if !ok {
		return nil, false
	}
	return t.load.Load(), true
}

// Close refuses queued jobs and waits for running ones to end.
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

func refusedResult(kind peerpb.FailureKind) Result {
	return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: kind}
}
