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

// maxAttempts limits the number of targets tried for a request. Another target is
// tried only if no byte of the request has left a relay.
const maxAttempts = 3

// Transport sends a request to a relay. An error means that nothing was sent.
type Transport interface {
	Execute(relay string, execute *peerpb.Execute) error
}

// Result is the result of a request.
type Result struct {
	Outcome peerpb.Outcome
	Failure peerpb.FailureKind
	Output  []byte
}

// Executor sends requests to targets through relays and matches their answers.
type Executor struct {
	timers    *timer.Service
	table     *planner.Table
	transport Transport
	domain    string

	mu      sync.Mutex
	pending map[string]*pendingAttempt
}

// pendingAttempt is an attempt that waits for its answer.
type pendingAttempt struct {
	relay  string
	answer chan *peerpb.ExecuteAnswer
}

// New returns an executor that prefers targets of the given failure domain.
func New(timers *timer.Service, table *planner.Table, transport Transport, domain string) *Executor {
	return &Executor{
		timers: timers, table: table, transport: transport, domain: domain,
		pending: make(map[string]*pendingAttempt),
	}
}

// Run runs a request at one target of the set that serves the caller.
func (e *Executor) Run(ctx context.Context, caller string, deadline time.Time, execute *peerpb.Execute) Result {
	entry, ok := e.table.Service(execute.Service)
	if !ok {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}
	}
	result := Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}
	replicas := e.candidates(e.table.Replicas(execute.Service, planner.ChooseSet(entry.Document, caller)))
	unreachable := container.NewSet[string]()
	attempts := 0
	for _, replica := range replicas {
		if attempts == maxAttempts || !e.timers.Now().Before(deadline) {
			break
		}
		relay, ok := pickRelay(replica, unreachable)
		if !ok {
			continue
		}
		attempts++
		sent := false
		result, sent = e.attempt(ctx, replica, relay, deadline, execute)
		if !canRetry(result) {
			break
		}
		if !sent {
			unreachable.Add(relay)
		}
	}
	return result
}

// pickRelay returns a random relay among the replica's owners. It skips relays
// that could not be reached for another replica, because a relay often owns
// several.
func pickRelay(replica *planner.Replica, unreachable container.Set[string]) (string, bool) {
	for _, i := range rand.Perm(len(replica.Owners)) {
		if relay := replica.Owners[i]; !unreachable.Has(relay) {
			return relay, true
		}
	}
	return "", false
}

// canRetry reports whether no byte of the request can have reached a target. A
// request that the target itself refused is not retried, because it was sent.
func canRetry(result Result) bool {
	if result.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	return result.Failure == peerpb.FailureKind_FAILURE_UNREACHABLE ||
		result.Failure == peerpb.FailureKind_FAILURE_NOT_OWNER
}

// candidates returns the replicas that accept requests, those of the local
// failure domain first, each group in random order.
func (e *Executor) candidates(replicas []*planner.Replica) []*planner.Replica {
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

// attempt sends the request to one replica through the relay and waits for the
// answer. It also reports whether the request was handed to the relay.
func (e *Executor) attempt(ctx context.Context, replica *planner.Replica, relay string, deadline time.Time, execute *peerpb.Execute) (result Result, sent bool) {
	p := &pendingAttempt{relay: relay, answer: make(chan *peerpb.ExecuteAnswer, 1)}
	e.mu.Lock()
	e.pending[execute.RequestId] = p
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.pending, execute.RequestId)
		e.mu.Unlock()
	}()
	// The remaining time is computed just before sending, because an earlier
	// attempt or a pause of the process may have used up part of it.
	timeLeft := deadline.Sub(e.timers.Now())
	if timeLeft <= 0 {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_DEADLINE}, false
	}
	err := e.transport.Execute(relay, &peerpb.Execute{
		RequestId: execute.RequestId, Service: execute.Service, Operation: execute.Operation,
		Payload: execute.Payload, TimeLeft: durationpb.New(timeLeft), Traceparent: execute.Traceparent,
		Target: replica.Target, TargetAddress: replica.Address.String(), Fingerprint: execute.Fingerprint,
	})
	if err != nil {
		return Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}, false
	}
	return e.await(ctx, p, timeLeft), true
}

// await waits for an answer until shortly after the deadline, because the relay
// may report a more precise outcome than "unknown".
func (e *Executor) await(ctx context.Context, p *pendingAttempt, timeLeft time.Duration) Result {
	const grace = 50 * time.Millisecond
	limit := e.timers.After(timeLeft + grace)
	defer limit.Stop()
	select {
	case answer := <-p.answer:
		return Result{Outcome: answer.Outcome, Failure: answer.Failure, Output: answer.Result}
	case <-limit.C:
	case <-ctx.Done():
	}
	return Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_DEADLINE}
}

// Deliver passes an answer to the request that waits for it, if there is one.
func (e *Executor) Deliver(answer *peerpb.ExecuteAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pending[answer.RequestId]
	if !ok {
		return
	}
	delete(e.pending, answer.RequestId)
	p.answer <- answer
}

// LostRelay ends the pending requests of a relay whose stream has ended. Their
// outcome is unknown.
func (e *Executor) LostRelay(relay string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.pending {
		if p.relay != relay {
			continue
		}
		delete(e.pending, id)
		p.answer <- &peerpb.ExecuteAnswer{
			RequestId: id,
			Outcome:   peerpb.Outcome_OUTCOME_UNKNOWN,
			Failure:   peerpb.FailureKind_FAILURE_LOST,
		}
	}
}
