package simulator

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"jackdawcart.org/core/checker"
)

// workKey identifies a request for cancellation.
type workKey struct {
	queryID, subID string
}

// work is one request, from its arrival to the end of its run.
type work struct {
	key         workKey
	run         checker.Run
	deadline    time.Time
	slotGranted chan struct{}
	cancelled   chan struct{}
	crashed     chan struct{}
	cancel      func()
	crash       func()
	runIndex    int
}

func newWork(run checker.Run, deadline time.Time) *work {
	w := &work{
		run: run, deadline: deadline,
		slotGranted: make(chan struct{}), cancelled: make(chan struct{}), crashed: make(chan struct{}),
	}
	w.cancel = sync.OnceFunc(func() { close(w.cancelled) })
	w.crash = sync.OnceFunc(func() { close(w.crashed) })
	return w
}

// refusal is a typed error answer of the target protocol.
type refusal struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// statusCancelled is the non-standard but widely used HTTP status for a request
// that the client cancelled.
const statusCancelled = 499

var (
	refusalDraining     = &refusal{http.StatusServiceUnavailable, "draining", "the target is draining; not run"}
	refusalShed         = &refusal{http.StatusServiceUnavailable, "shed", "the queue is full; not run"}
	refusalDeadline     = &refusal{http.StatusGatewayTimeout, "deadline", "the deadline passed before the start; not run"}
	refusalSnapshotGone = &refusal{http.StatusConflict, "snapshot-gone", "the target does not hold this shard of this snapshot"}
	refusalCancelled    = &refusal{statusCancelled, "cancelled", "the request was cancelled"}
	// refusalCrashed makes writeRefusal break the connection without an answer.
	refusalCrashed = &refusal{Code: "crashed"}
)

// process queues and runs the work and returns nil if it completed. Closing the
// connection cancels a search; an execution that has started always completes,
// unless the target crashes.
func (t *Target) process(ctx context.Context, w *work) *refusal {
	if r := t.admit(w); r != nil {
		return t.countRefusal(r)
	}
	defer t.removeWork(w)
	if r := t.awaitSlot(ctx, w); r != nil {
		return t.countRefusal(r)
	}
	duration, r := t.startRun(w)
	if r != nil {
		return t.countRefusal(r)
	}
	return t.simulateRun(ctx, w, duration)
}

// admit assigns a slot to the work, or queues it if all slots are in use.
func (t *Target) admit(w *work) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.closed {
		return refusalCrashed
	}
	if t.hasFault(FaultDrain) {
		return refusalDraining
	}
	if t.faultApplies(FaultShed) || len(t.queue) >= t.description.Queue {
		return refusalShed
	}
	t.activeWork[w.key] = w
	if t.running < t.description.Slots {
		t.running++
		close(w.slotGranted)
		return nil
	}
	t.queue = append(t.queue, w)
	return nil
}

// awaitSlot waits until the work has a slot. It returns a refusal if the work is
// cancelled, its deadline passes or the target crashes before that.
func (t *Target) awaitSlot(ctx context.Context, w *work) *refusal {
	expired, stop := deadlineTimer(w.deadline)
	defer stop()
	r := refusalCancelled
	select {
	case <-w.slotGranted:
		return nil
	case <-w.crashed:
		return refusalCrashed
	case <-expired:
		r = refusalDeadline
	case <-w.cancelled:
	case <-ctx.Done():
	}
	if t.removeFromQueue(w) {
		return r
	}
	// The work is no longer queued: it was assigned a slot concurrently, or the
	// target crashed.
	select {
	case <-w.slotGranted:
		return nil
	case <-w.crashed:
		return refusalCrashed
	}
}

// deadlineTimer returns a channel that receives at the deadline, and a function
// that stops the timer. The channel is nil if there is no deadline.
func deadlineTimer(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

// removeFromQueue reports whether the work was still queued.
func (t *Target) removeFromQueue(w *work) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, w)
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

// startRun records the start of the run and returns its simulated duration. It
// releases the slot if the work is refused.
func (t *Target) startRun(w *work) (time.Duration, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if isClosed(w.crashed) {
		t.releaseSlot()
		return 0, refusalCrashed
	}
	if !w.deadline.IsZero() && now.After(w.deadline) {
		t.releaseSlot()
		return 0, refusalDeadline
	}
	if w.run.Kind == checker.RunSearch && !t.holdsShard(w.run.Snapshot, w.run.Shard) {
		t.releaseSlot()
		return 0, refusalSnapshotGone
	}
	w.run.Start = now
	w.run.Outcome = checker.RunRunning
	w.runIndex = len(t.runs)
	t.runs = append(t.runs, w.run)
	if f, ok := t.findCrashOn(w.run.Text); ok {
		t.crash(f.downtime())
	}
	return t.drawServiceTime(now), nil
}

// simulateRun waits for the duration of the run and records its outcome.
func (t *Target) simulateRun(ctx context.Context, w *work, duration time.Duration) *refusal {
	done, cancelled := ctx.Done(), w.cancelled
	if w.run.Kind == checker.RunExecute {
		done, cancelled = nil, nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return t.endRun(w, checker.RunCompleted, nil)
	case <-cancelled:
		return t.endRun(w, checker.RunCancelled, refusalCancelled)
	case <-done:
		return t.endRun(w, checker.RunCancelled, refusalCancelled)
	case <-w.crashed:
		return t.endRun(w, checker.RunCrashed, refusalCrashed)
	}
}

func (t *Target) endRun(w *work, outcome checker.RunOutcome, r *refusal) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A crash also resets the connection, which would otherwise be recorded as a
	// cancellation.
	if isClosed(w.crashed) {
		outcome, r = checker.RunCrashed, refusalCrashed
	}
	run := &t.runs[w.runIndex]
	run.End = time.Now()
	run.Outcome = outcome
	run.Cancelled = outcome == checker.RunCancelled
	t.releaseSlot()
	return r
}

// releaseSlot assigns the slot to the oldest queued work, or frees it if the
// queue is empty.
func (t *Target) releaseSlot() {
	if len(t.queue) == 0 {
		t.running--
		return
	}
	next := t.queue[0]
	t.queue = t.queue[1:]
	close(next.slotGranted)
}

func (t *Target) removeWork(w *work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeWork[w.key] == w {
		delete(t.activeWork, w.key)
	}
}

func (t *Target) countRefusal(r *refusal) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[r.Code]++
	return r
}

// drawServiceTime draws a service time from the target's distribution, scaled by
// the cold start and slow faults.
func (t *Target) drawServiceTime(now time.Time) time.Duration {
	st := t.description.ServiceTime
	scale := math.Exp(st.Sigma * t.random.NormFloat64())
	if t.random.Float64() < st.StragglerShare {
		scale *= st.StragglerFactor
	}
	scale *= t.coldFactor(now) * t.slowFactor()
	return time.Duration(float64(st.Median) * scale)
}

// coldFactor decreases linearly from the cold-start factor to 1 over the cold
// start.
func (t *Target) coldFactor(now time.Time) float64 {
	cold := t.description.ColdStart
	age, total := now.Sub(t.startedAt), time.Duration(cold.For)
	if age >= total {
		return 1
	}
	return cold.Factor + (1-cold.Factor)*float64(age)/float64(total)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
