package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/limiter"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
)

const (
	// inboxSize bounds the events waiting for a target's goroutine.
	inboxSize = 256
	// sweepPeriod is how often the queue is scanned for expired jobs.
	sweepPeriod = 10 * time.Millisecond
)

type eventKind int

const (
	eventSubmit eventKind = iota
	eventDone
	eventCancel
)

type event struct {
	kind    eventKind
	job     *Job
	key     jobKey
	result  Result
	latency time.Duration
}

type loadValues struct {
	inFlight, queued, limit uint32
	latency                 time.Duration
}

// runningJob is a job admitted by the concurrency limit.
type runningJob struct {
	job       *Job
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

type jobKey struct {
	query        string
	sub, attempt uint32
}

func keyOf(job *Job) jobKey { return jobKey{job.QueryID, job.Sub, job.Attempt} }

// target holds the concurrency limit and queue of one target. Both are accessed
// only by its own goroutine.
type target struct {
	name     string
	client   Client
	timers   *timer.Service
	observer Observer
	inbox    *buffer.Ring[event]
	done     *buffer.Ring[event]
	// jobs passes a job to an idle worker.
	jobs  chan runningJob
	state *limiter.State
	queue []*Job
	// sweep triggers the removal of expired jobs while jobs are queued.
	sweep *timer.Subscription
	load  atomic.Pointer[peerpb.TargetLoad]
	// publishedLoad holds the values of load, to detect changes.
	publishedLoad loadValues
	ctx           context.Context
	cancelCtx     context.CancelFunc

	mu      sync.Mutex
	cancels map[jobKey]context.CancelFunc
}

func newTarget(config TargetConfig, timers *timer.Service, observer Observer) *target {
	ctx, cancelCtx := context.WithCancel(context.Background())
	t := &target{
		name:      config.Name,
		client:    config.Client,
		timers:    timers,
		observer:  observer,
		inbox:     buffer.NewRing[event](inboxSize),
		done:      buffer.NewRing[event](inboxSize),
		jobs:      make(chan runningJob),
		state:     limiter.New(config.Limiter),
		ctx:       ctx,
		cancelCtx: cancelCtx,
		cancels:   make(map[jobKey]context.CancelFunc),
	}
	t.publishLoad()
	return t
}

func (t *target) stop() { t.cancelCtx() }

// cancel cancels a job that this target runs or queues, and reports whether it
// does either.
func (t *target) cancel(key jobKey) bool {
	t.mu.Lock()
	cancel, ok := t.cancels[key]
	t.mu.Unlock()
	if !ok {
		return false
	}
	cancel()
	t.inbox.Put(event{kind: eventCancel, key: key})
	return true
}

func (t *target) run() {
	defer t.stopSweep()
	for {
		select {
		case e := <-t.done.C():
			t.finish(e)
		case e := <-t.inbox.C():
			t.handle(e)
		case <-t.ticks():
			t.dropExpired()
		case <-t.ctx.Done():
			t.shutdown()
			return
		}
		t.publishLoad()
	}
}

// ticks returns the sweep's channel, or nil if no sweep is running.
func (t *target) ticks() <-chan time.Time {
	if t.sweep == nil {
		return nil
	}
	return t.sweep.C
}

// startSweep starts the sweep when a job is queued. The sweep is stopped only on
// a tick that finds the queue empty, so that a queue that briefly empties does
// not restart it.
func (t *target) startSweep() {
	if t.sweep == nil {
		t.sweep = t.timers.Every(sweepPeriod)
	}
}

func (t *target) stopSweep() {
	if t.sweep != nil {
		t.sweep.Stop()
		t.sweep = nil
	}
}

func (t *target) handle(e event) {
	switch e.kind {
	case eventSubmit:
		t.submit(e.job)
	case eventCancel:
		t.cancelQueued(e.key)
	}
}

func (t *target) submit(job *Job) {
	timeLeft := job.Deadline.Sub(t.timers.Now())
	if timeLeft <= 0 {
		job.Reply(t.withLoad(refusedResult(peerpb.FailureKind_FAILURE_DEADLINE)))
		return
	}
	switch t.state.Offer(timeLeft) {
	case limiter.Run:
		t.start(job)
	case limiter.Queue:
		t.queue = append(t.queue, job)
		t.startSweep()
		t.mu.Lock()
		t.cancels[keyOf(job)] = func() {}
		t.mu.Unlock()
	default:
		job.Reply(t.withLoad(refusedResult(peerpb.FailureKind_FAILURE_OVERLOADED)))
	}
}

// start runs a job that the limit already counts as running.
func (t *target) start(job *Job) {
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	t.cancels[keyOf(job)] = cancel
	t.mu.Unlock()
	if t.observer != nil {
		t.observer.JobStarted(t.name, job)
	}
	run := runningJob{job: job, startedAt: t.timers.Now(), ctx: ctx, cancel: cancel}
	select {
	case t.jobs <- run:
	default:
		go t.runWorker(run)
	}
}

// runWorker runs jobs until the target stops. Reusing a worker avoids growing
// the stack of a new goroutine for each job. The number of workers stays at
// about the highest concurrency that the limit has permitted.
func (t *target) runWorker(run runningJob) {
	for {
		t.runJob(run)
		select {
		case run = <-t.jobs:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *target) runJob(run runningJob) {
	defer run.cancel()
	result := t.client.Do(run.ctx, run.job)
	if t.observer != nil {
		t.observer.JobEnded(t.name, run.job, result)
	}
	latency := t.timers.Now().Sub(run.startedAt)
	t.done.PutWait(context.Background(), event{kind: eventDone, job: run.job, result: result, latency: latency})
}

func (t *target) finish(e event) {
	t.mu.Lock()
	delete(t.cancels, keyOf(e.job))
	t.mu.Unlock()
	switch e.result.Failure {
	case peerpb.FailureKind_FAILURE_NONE:
		t.state.Done(t.timers.Now(), e.latency, false)
	case peerpb.FailureKind_FAILURE_OVERLOADED:
		t.state.Done(t.timers.Now(), e.latency, true)
	case peerpb.FailureKind_FAILURE_CANCELLED:
		t.finishCancelled(e)
	default:
		t.state.Release()
	}
	e.job.Reply(t.withLoad(e.result))
	t.startQueued()
}

func (t *target) finishCancelled(e event) {
	if e.result.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		t.state.Release()
		return
	}
	t.state.Cancelled(t.timers.Now(), e.latency)
}

func (t *target) startQueued() {
	for len(t.queue) > 0 {
		job := t.queue[0]
		if !t.timers.Now().Before(job.Deadline) {
			t.dropFirst(peerpb.FailureKind_FAILURE_DEADLINE)
			continue
		}
		if !t.state.StartQueued() {
			return
		}
		t.queue = t.queue[1:]
		t.start(job)
	}
}

func (t *target) dropFirst(kind peerpb.FailureKind) {
	job := t.queue[0]
	t.queue = t.queue[1:]
	t.untrackQueued(job)
	job.Reply(t.withLoad(refusedResult(kind)))
}

func (t *target) untrackQueued(job *Job) {
	t.state.RemoveQueued()
	t.mu.Lock()
	delete(t.cancels, keyOf(job))
	t.mu.Unlock()
}

// cancelQueued removes a cancelled job from the queue and refuses it.
func (t *target) cancelQueued(key jobKey) {
	for i, job := range t.queue {
		if keyOf(job) != key {
			continue
		}
		t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
		t.untrackQueued(job)
		job.Reply(t.withLoad(refusedResult(peerpb.FailureKind_FAILURE_CANCELLED)))
		return
	}
}

// dropExpired refuses queued jobs whose deadline has passed.
func (t *target) dropExpired() {
	now := t.timers.Now()
	remaining := t.queue[:0]
	for _, job := range t.queue {
		if now.Before(job.Deadline) {
			remaining = append(remaining, job)
			continue
		}
		t.untrackQueued(job)
		job.Reply(t.withLoad(refusedResult(peerpb.FailureKind_FAILURE_DEADLINE)))
	}
	t.queue = remaining
	if len(remaining) == 0 {
		t.stopSweep()
	}
}

// shutdown refuses queued and pending jobs and waits for running ones.
func (t *target) shutdown() {
	for len(t.queue) > 0 {
		t.dropFirst(peerpb.FailureKind_FAILURE_NOT_OWNER)
	}
	for t.state.InFlight() > 0 {
		e, _ := t.done.Take(context.Background())
		t.finish(e)
	}
	for {
		e, ok := t.inbox.TryTake()
		if !ok {
			break
		}
		if e.kind == eventSubmit {
			e.job.Reply(refusedResult(peerpb.FailureKind_FAILURE_NOT_OWNER))
		}
	}
	t.client.Close()
}

// publishLoad replaces the published load if it has changed. Published values
// are never modified, because results refer to them.
func (t *target) publishLoad() {
	next := loadValues{uint32(t.state.InFlight()), uint32(t.state.Queued()), uint32(t.state.Limit()), t.state.Latency()}
	if t.load.Load() != nil && next == t.publishedLoad {
		return
	}
	t.publishedLoad = next
	t.load.Store(&peerpb.TargetLoad{
		InFlight:      next.inFlight,
		Queued:        next.queued,
		Limit:         next.limit,
		RecentLatency: durationpb.New(next.latency),
	})
}

func (t *target) withLoad(result Result) Result {
	t.publishLoad()
	result.Load = t.load.Load()
	return result
}
