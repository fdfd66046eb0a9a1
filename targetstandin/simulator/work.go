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

// workKey identifies a request that can be cancelled.
type workKey struct {
	queryID, subID string
}

// work is one request from its arrival to the end of its run.
type work struct {
	key       workKey
	run       checker.Run
	deadline  time.Time
	start     chan struct{}
	cancelled chan struct{}
	crashed   chan struct{}
	cancel    func()
	crash     func()
	index     int
}

func newWork(run checker.Run, deadline time.Time) *work {
	w := &work{
		run: run, deadline: deadline,
		start: make(chan struct{}), cancelled: make(chan struct{}), crashed: make(chan struct{}),
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

// Status of a request that its client cancelled; the number is customary.
const statusCancelled = 499

var (
	refuseDraining  = &refusal{http.StatusServiceUnavailable, "draining", "the target is draining; not run"}
	refuseShed      = &refusal{http.StatusServiceUnavailable, "shed", "the queue is full; not run"}
	refuseDeadline  = &refusal{http.StatusGatewayTimeout, "deadline", "the deadline passed before the start; not run"}
	refuseGone      = &refusal{http.StatusConflict, "snapshot-gone", "the target does not hold this shard of this snapshot"}
	refuseCancelled = &refusal{statusCancelled, "cancelled", "the request was cancelled"}
	// refuseCrashed breaks the connection instead of sending an answer.
	refuseCrashed = &refusal{Code: "crashed"}
)

// do queues and runs the work, and returns nil when it completed. Closing the
// connection stops a search; an execution that has started always completes.
func (t *Target) do(ctx context.Context, w *work) *refusal {
	if r := t.enter(w); r != nil {
		return t.refuse(r)
	}
	defer t.forget(w)
	if r := t.await(ctx, w); r != nil {
		return t.refuse(r)
	}
	duration, r := t.begin(w)
	if r != nil {
		return t.refuse(r)
	}
	return t.execute(ctx, w, duration)
}

// enter gives the work a slot or a place in the queue.
func (t *Target) enter(w *work) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.closed {
		return refuseCrashed
	}
	if t.has(FaultDrain) {
		return refuseDraining
	}
	if t.strikes(FaultShed) || len(t.queue) >= t.description.Queue {
		return refuseShed
	}
	t.works[w.key] = w
	if t.running < t.description.Slots {
		t.running++
		close(w.start)
		return nil
	}
	t.queue = append(t.queue, w)
	return nil
}

// await waits for a slot.
func (t *Target) await(ctx context.Context, w *work) *refusal {
	expired, stop := expiry(w.deadline)
	defer stop()
	r := refuseCancelled
	select {
	case <-w.start:
		return nil
	case <-w.crashed:
		return refuseCrashed
	case <-expired:
		r = refuseDeadline
	case <-w.cancelled:
	case <-ctx.Done():
	}
	if t.leaveQueue(w) {
		return r
	}
	// The slot was given at the same moment, or the target crashed.
	select {
	case <-w.start:
		return nil
	case <-w.crashed:
		return refuseCrashed
	}
}

func expiry(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

func (t *Target) leaveQueue(w *work) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, w)
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

// begin records the start of the run and draws its duration.
func (t *Target) begin(w *work) (time.Duration, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if isClosed(w.crashed) {
		t.release()
		return 0, refuseCrashed
	}
	if !w.deadline.IsZero() && now.After(w.deadline) {
		t.release()
		return 0, refuseDeadline
	}
	if w.run.Kind == checker.RunSearch && !t.holds(w.run.Snapshot, w.run.Shard) {
		t.release()
		return 0, refuseGone
	}
	w.run.Start = now
	w.run.Outcome = checker.RunRunning
	w.index = len(t.runs)
	t.runs = append(t.runs, w.run)
	if f, ok := t.crashesOn(w.run.Text); ok {
		t.crash(f.downtime())
	}
	return t.duration(now), nil
}

// execute spends the duration of the run and records its end.
func (t *Target) execute(ctx context.Context, w *work, duration time.Duration) *refusal {
	done, cancelled := ctx.Done(), w.cancelled
	if w.run.Kind == checker.RunExecute {
		done, cancelled = nil, nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return t.end(w, checker.RunCompleted, nil)
	case <-cancelled:
		return t.end(w, checker.RunCancelled, refuseCancelled)
	case <-done:
		return t.end(w, checker.RunCancelled, refuseCancelled)
	case <-w.crashed:
		return t.end(w, checker.RunCrashed, refuseCrashed)
	}
}

func (t *Target) end(w *work, outcome checker.RunOutcome, r *refusal) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A crash also breaks the connection, which looks like a cancellation.
	if isClosed(w.crashed) {
		outcome, r = checker.RunCrashed, refuseCrashed
	}
	run := &t.runs[w.index]
	run.End = time.Now()
	run.Outcome = outcome
	run.Cancelled = outcome == checker.RunCancelled
	t.release()
	return r
}

// release gives the slot to the oldest work in the queue.
func (t *Target) release() {
	if len(t.queue) == 0 {
		t.running--
		return
	}
	next := t.queue[0]
	t.queue = t.queue[1:]
	close(next.start)
}

func (t *Target) forget(w *work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.works[w.key] == w {
		delete(t.works, w.key)
	}
}

func (t *Target) refuse(r *refusal) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[r.Code]++
	return r
}

// duration draws a service time from the target's distribution.
func (t *Target) duration(now time.Time) time.Duration {
	st := t.description.ServiceTime
	scale := math.Exp(st.Sigma * t.random.NormFloat64())
	if t.random.Float64() < st.StragglerShare {
		scale *= st.StragglerFactor
	}
	scale *= t.coldFactor(now) * t.slowFactor()
	return time.Duration(float64(st.Median) * scale)
}

// coldFactor falls from the cold-start factor to one.
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
