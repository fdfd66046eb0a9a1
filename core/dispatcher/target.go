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
	// inboxSize bounds the events that wait for a target's goroutine.
	inboxSize = 256
	// sweepPeriod is how often a queue is searched for jobs past their deadline.
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

// started is a job that the limit lets run.
type started struct {
	job    *Job
	at     time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

type jobKey struct {
	query        string
	sub, attempt uint32
}

func keyOf(job *Job) jobKey { return jobKey{job.QueryID, job.Sub, job.Attempt} }

// target owns the limit and the queue of one target. Its goroutine is the only
// one that touches them.
type target struct {
	name     string
	client   Client
	timers   *timer.Service
	observer Observer
	inbox    *buffer.Ring[event]
	done     *buffer.Ring[event]
	// jobs hands a job to a worker that waits for one.
	jobs  chan started
	state *limiter.State
	queue []*Job
	// sweep ticks while jobs are queued.
	sweep *timer.Subscription
	load  atomic.Pointer[peerpb.TargetLoad]
	// published are the values of load.
	published loadValues
	ctx       context.Context
	halt      context.CancelFunc

	mu      sync.Mutex
	cancels map[jobKey]context.CancelFunc
}

func newTarget(config TargetConfig, timers *timer.Service, observer Observer) *target {
	ctx, halt := context.WithCancel(context.Background())
	t := &target{
		name:     config.Name,
		client:   config.Client,
		timers:   timers,
		observer: observer,
		inbox:    buffer.NewRing[event](inboxSize),
		done:     buffer.NewRing[event](inboxSize),
		jobs:     make(chan started),
		state:    limiter.New(config.Limiter),
		ctx:      ctx,
		halt:     halt,
		cancels:  make(map[jobKey]context.CancelFunc),
	}
	t.publishLoad()
	return t
}

func (t *target) stop() { t.halt() }

// cancel gives up a job that this target runs or queues.
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
			t.dropLate()
		case <-t.ctx.Done():
			t.shutdown()
			return
		}
		t.publishLoad()
	}
}

// ticks returns the channel of the sweep, which never delivers while nothing
// is queued.
func (t *target) ticks() <-chan time.Time {
	if t.sweep == nil {
		return nil
	}
	return t.sweep.C
}

// startSweep is called when a job is queued. The sweep outlives a short empty
// queue until its next tick, so that a queue that comes and goes does not
// replace it each time.
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
		t.abandon(e.key)
	}
}

func (t *target) submit(job *Job) {
	left := job.Deadline.Sub(t.timers.Now())
	if left <= 0 {
		job.Reply(t.withLoad(refusal(peerpb.FailureKind_FAILURE_DEADLINE)))
		return
	}
	switch t.state.Offer(left) {
	case limiter.Run:
		t.start(job)
	case limiter.Queue:
		t.queue = append(t.queue, job)
		t.startSweep()
		t.mu.Lock()
		t.cancels[keyOf(job)] = func() {}
		t.mu.Unlock()
	default:
		job.Reply(t.withLoad(refusal(peerpb.FailureKind_FAILURE_OVERLOADED)))
	}
}

// start runs a job that the limit has already counted.
func (t *target) start(job *Job) {
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	t.cancels[keyOf(job)] = cancel
	t.mu.Unlock()
	if t.observer != nil {
		t.observer.JobStarted(t.name, job)
	}
	run := started{job: job, at: t.timers.Now(), ctx: ctx, cancel: cancel}
	select {
	case t.jobs <- run:
	default:
		go t.work(run)
	}
}

// work runs one job after another until the target stops. A worker that is
// used again has a stack of the right size, which a new goroutine would have to
// grow; there are never more of them than the limit has let run at once.
func (t *target) work(run started) {
	for {
		t.do(run)
		select {
		case run = <-t.jobs:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *target) do(run started) {
	defer run.cancel()
	result := t.client.Do(run.ctx, run.job)
	if t.observer != nil {
		t.observer.JobEnded(t.name, run.job, result)
	}
	latency := t.timers.Now().Sub(run.at)
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
		if !t.state.Next() {
			return
		}
		t.queue = t.queue[1:]
		t.start(job)
	}
}

func (t *target) dropFirst(kind peerpb.FailureKind) {
	job := t.queue[0]
	t.queue = t.queue[1:]
	t.forget(job)
	job.Reply(t.withLoad(refusal(kind)))
}

func (t *target) forget(job *Job) {
	t.state.Abandon()
	t.mu.Lock()
	delete(t.cancels, keyOf(job))
	t.mu.Unlock()
}

// abandon takes a cancelled job out of the queue.
func (t *target) abandon(key jobKey) {
	for i, job := range t.queue {
		if keyOf(job) != key {
			continue
		}
		t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
		t.forget(job)
		job.Reply(t.withLoad(refusal(peerpb.FailureKind_FAILURE_CANCELLED)))
		return
	}
}

// dropLate refuses queued jobs that can no longer meet their deadline.
func (t *target) dropLate() {
	now := t.timers.Now()
	kept := t.queue[:0]
	for _, job := range t.queue {
		if now.Before(job.Deadline) {
			kept = append(kept, job)
			continue
		}
		t.forget(job)
		job.Reply(t.withLoad(refusal(peerpb.FailureKind_FAILURE_DEADLINE)))
	}
	t.queue = kept
	if len(kept) == 0 {
		t.stopSweep()
	}
}

// shutdown refuses what has not started and waits for what runs.
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
			e.job.Reply(refusal(peerpb.FailureKind_FAILURE_NOT_OWNER))
		}
	}
	t.client.Close()
}

// publishLoad replaces the load if it has changed. A published one is never
// modified, because answers refer to it.
func (t *target) publishLoad() {
	next := loadValues{uint32(t.state.InFlight()), uint32(t.state.Queued()), uint32(t.state.Limit()), t.state.Latency()}
	if t.load.Load() != nil && next == t.published {
		return
	}
	t.published = next
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
