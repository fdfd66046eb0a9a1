// Package executor runs non-idempotent requests at targets, each at most once.
package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/timer"
)

// maxAttempts bounds how many targets are tried. A further one is tried only
// while no byte of the request has left a relay.
const maxAttempts = 3

// Transport hands a request to a relay. An error means that nothing was sent.
type Transport interface {
	Execute(relay string, execute *peerpb.Execute) error
}

// Result is the end of a request.
type Result struct {
	Outcome peerpb.Outcome
	Failure peerpb.FailureKind
	Output  []byte
}

// Executor matches answers to the requests that wait for them.
type Executor struct {
	timers    *timer.Service
	table     *planner.Table
	transport Transport
	domain    string

	mu      sync.Mutex
	waiting map[string]*wait
}

type wait struct {
	relay  string
	answer chan *peerpb.ExecuteAnswer
}

// New returns an executor of the given failure domain.
func New(timers *timer.Service, table *planner.Table, transport Transport, domain string) *Executor {
	return &Executor{
		timers: timers, table: table, transport: transport, domain: domain,
		waiting: make(map[string]*wait),
	}
}

// Run runs a request at one target of the set that leads for the caller.
func (e *Executor) Run(ctx context.Context, caller string, deadline time.Time, execute *peerpb.Execute) Result {
	entry, ok := e.table.Service(execute.Service)
	if !ok {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}
	}
	result := Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}
	replicas := e.order(e.table.Replicas(execute.Service, planner.ChooseSet(entry.Document, caller)))
	cut := container.NewSet[string]()
	attempts := 0
	for _, replica := range replicas {
		if attempts == maxAttempts || !e.timers.Now().Before(deadline) {
			break
		}
		relay, ok := owner(replica, cut)
		if !ok {
			continue
		}
		attempts++
		sent := false
		result, sent = e.attempt(ctx, replica, relay, deadline, execute)
		if !untouched(result) {
			break
		}
		if !sent {
			cut.Add(relay)
		}
	}
	return result
}

// owner returns one of the replica's relays, without those that could not be
// reached: a relay often owns several replicas.
func owner(replica *planner.Replica, cut container.Set[string]) (string, bool) {
	for _, i := range rand.Perm(len(replica.Owners)) {
		if relay := replica.Owners[i]; !cut.Has(relay) {
			return relay, true
		}
	}
	return "", false
}

// untouched reports whether no byte of the request can have reached a target.
// A refusal by the target itself does not count, because its bytes have left.
func untouched(result Result) bool {
	if result.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	return result.Failure == peerpb.FailureKind_FAILURE_UNREACHABLE ||
		result.Failure == peerpb.FailureKind_FAILURE_NOT_OWNER
}

// order lists the replicas that take new work, those of the own failure
// domain first, each group in random order.
func (e *Executor) order(replicas []*planner.Replica) []*planner.Replica {
	var local, remote []*planner.Replica
	for _, r := range replicas {
		if r.Phase != peerpb.TargetPhase_TARGET_PHASE_SERVING || len(r.Owners) == 0 {
			continue
		}
		if r.FailureDomain == e.domain {
			local = append(local, r)
			continue
		}
		remote = append(remote, r)
	}
	shuffle(local)
	shuffle(remote)
	return append(local, remote...)
}

func shuffle(replicas []*planner.Replica) {
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
}

// attempt also reports whether the request was handed to the relay.
func (e *Executor) attempt(ctx context.Context, replica *planner.Replica, relay string, deadline time.Time, execute *peerpb.Execute) (result Result, sent bool) {
	w := &wait{relay: relay, answer: make(chan *peerpb.ExecuteAnswer, 1)}
	e.mu.Lock()
	e.waiting[execute.RequestId] = w
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.waiting, execute.RequestId)
		e.mu.Unlock()
	}()
	// The clock is read just before sending, because the process may have been
	// paused; the target gets only the time that is left.
	left := deadline.Sub(e.timers.Now())
	if left <= 0 {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_DEADLINE}, false
	}
	err := e.transport.Execute(relay, &peerpb.Execute{
		RequestId: execute.RequestId, Service: execute.Service, Operation: execute.Operation,
		Payload: execute.Payload, TimeLeft: durationpb.New(left), Traceparent: execute.Traceparent,
		Target: replica.Target, TargetAddress: replica.Address.String(), Fingerprint: execute.Fingerprint,
	})
	if err != nil {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}, false
	}
	return e.await(ctx, w, left), true
}

// await waits somewhat longer than the deadline, because the relay's answer
// says more than "unknown".
func (e *Executor) await(ctx context.Context, w *wait, left time.Duration) Result {
	const grace = 50 * time.Millisecond
	limit := e.timers.After(left + grace)
	defer limit.Stop()
	select {
	case answer := <-w.answer:
		return Result{Outcome: answer.Outcome, Failure: answer.Failure, Output: answer.Result}
	case <-limit.C:
	case <-ctx.Done():
	}
	return Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_DEADLINE}
}

// Deliver hands an answer to the request that waits for it.
func (e *Executor) Deliver(answer *peerpb.ExecuteAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.waiting[answer.RequestId]
	if !ok {
		return
	}
	delete(e.waiting, answer.RequestId)
	w.answer <- answer
}

// LostRelay ends the requests at a relay whose stream has ended, as unknown.
func (e *Executor) LostRelay(relay string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, w := range e.waiting {
		if w.relay != relay {
			continue
		}
		delete(e.waiting, id)
		w.answer <- &peerpb.ExecuteAnswer{
			RequestId: id,
			Outcome:   peerpb.Outcome_OUTCOME_UNKNOWN,
			Failure:   peerpb.FailureKind_FAILURE_LOST,
		}
	}
}
