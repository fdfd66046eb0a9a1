package scatterer

import (
	"time"

	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/selector"
)

func (q *query) handle(e event) {
	if e.answer != nil {
		q.receive(e.answer)
		return
	}
	batches := make(map[string]*peerpb.Batch)
	for _, s := range q.subs {
		for _, a := range s.attempts {
			if !a.done && a.relay == e.lostRelay {
				// Losing a relay says nothing about the target's health.
				q.fail(s, a.number, peerpb.FailureKind_FAILURE_NOT_OWNER, batches)
			}
		}
	}
	q.send(batches)
}

// receive processes the answer to an attempt. An answer is used only if it
// matches the sub-request, attempt, shard and pinned snapshot.
func (q *query) receive(answer *peerpb.SubAnswer) {
	if int(answer.Sub) >= len(q.subs) {
		q.engine.lateAnswers.Add(1)
		return
	}
	s := q.subs[answer.Sub]
	a := s.attempt(answer.Attempt)
	if a == nil {
		q.engine.lateAnswers.Add(1)
		return
	}
	q.recordLoads(s, a, answer)
	if a.done {
		q.engine.lateAnswers.Add(1)
		return
	}
	if answer.Failure != peerpb.FailureKind_FAILURE_NONE {
		batches := make(map[string]*peerpb.Batch)
		q.fail(s, answer.Attempt, answer.Failure, batches)
		q.send(batches)
		return
	}
	if answer.Shard != s.shard.Shard.Name || answer.Snapshot != s.part.plan.Snapshot {
		batches := make(map[string]*peerpb.Batch)
		q.fail(s, answer.Attempt, peerpb.FailureKind_FAILURE_MISMATCH, batches)
		q.send(batches)
		return
	}
	q.succeed(s, a, answer)
}

func (q *query) succeed(s *sub, a *attempt, answer *peerpb.SubAnswer) {
	a.done = true
	now := q.engine.timers.Now()
	latency := now.Sub(a.sentAt)
	state := s.part.state
	state.mu.Lock()
	state.selector.Succeeded(now, a.replica.Target, latency, a.loadFactor)
	state.mu.Unlock()
	state.hedgeController.observe(now, latency)
	if s.ended {
		return
	}
	s.answered = true
	q.stats.Answered++
	s.hits = hitsFromProto(a.replica.Service, answer.Hits)
	q.end(s)
	q.cancelAttempts(s)
}

// recordLoads records the target loads in an answer, including a late one.
func (q *query) recordLoads(s *sub, a *attempt, answer *peerpb.SubAnswer) {
	now := q.engine.timers.Now()
	if answer.Load != nil {
		s.part.state.report(now, a.replica.Target, a.relay, answer.Load)
	}
	for _, named := range answer.Loads {
		for _, p := range q.parts {
			if p.plan.Service == named.Service {
				p.state.report(now, named.Target, a.relay, named.Load)
			}
		}
	}
}

func (state *serviceState) report(now time.Time, target, relay string, load *peerpb.TargetLoad) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.selector.Report(now, target, relay, loadFromProto(load))
}

// fail ends an attempt and starts another if that may help.
func (q *query) fail(s *sub, number uint32, kind peerpb.FailureKind, batches map[string]*peerpb.Batch) {
	a := s.attempt(number)
	if a == nil || a.done {
		return
	}
	a.done = true
	if kind == peerpb.FailureKind_FAILURE_LOST {
		q.lostTargets.Add(a.replica.Target)
	}
	now := q.engine.timers.Now()
	q.recordFailure(s, a, kind, now)
	if s.ended {
		return
	}
	if kind == peerpb.FailureKind_FAILURE_OVERLOADED || kind == peerpb.FailureKind_FAILURE_DEADLINE {
		s.overloaded = true
	}
	if q.retry(s, kind, now, batches) || s.inFlight() {
		return
	}
	if kind == peerpb.FailureKind_FAILURE_SNAPSHOT_GONE {
		q.abandonSnapshot(s.part, batches)
		return
	}
	q.end(s)
}

func (q *query) recordFailure(s *sub, a *attempt, kind peerpb.FailureKind, now time.Time) {
	state := s.part.state
	state.mu.Lock()
	defer state.mu.Unlock()
	switch kind {
	case peerpb.FailureKind_FAILURE_CANCELLED:
		state.selector.Cancelled(now, a.replica.Target, now.Sub(a.sentAt), a.loadFactor)
	case peerpb.FailureKind_FAILURE_OVERLOADED, peerpb.FailureKind_FAILURE_DEADLINE,
		peerpb.FailureKind_FAILURE_SNAPSHOT_GONE, peerpb.FailureKind_FAILURE_NOT_OWNER:
		state.selector.Released(a.replica.Target)
	default:
		state.selector.Failed(now, a.replica.Target)
	}
}

// retry starts another attempt. Retries of failures that cost the target nothing
// are free; all others draw on the hedge budget.
func (q *query) retry(s *sub, kind peerpb.FailureKind, now time.Time, batches map[string]*peerpb.Batch) bool {
	if len(s.attempts) >= q.engine.config.MaxAttempts || !now.Before(q.deadline) || q.reachedLossLimit() {
		return false
	}
	free := isFreeRetry(kind)
	if !free && !s.part.state.hedgeController.withdraw() {
		return false
	}
	if !q.start(s, now, batches) {
		if !free {
			s.part.state.hedgeController.refund()
		}
		return false
	}
	q.stats.Retries++
	return true
}

func isFreeRetry(kind peerpb.FailureKind) bool {
	switch kind {
	case peerpb.FailureKind_FAILURE_UNREACHABLE, peerpb.FailureKind_FAILURE_NOT_OWNER,
		peerpb.FailureKind_FAILURE_DRAINING, peerpb.FailureKind_FAILURE_SNAPSHOT_GONE:
		return true
	default:
		return false
	}
}

func (q *query) cancelAttempts(s *sub) {
	now := q.engine.timers.Now()
	for _, a := range s.attempts {
		if a.done {
			continue
		}
		a.done = true
		state := s.part.state
		state.mu.Lock()
		state.selector.Cancelled(now, a.replica.Target, now.Sub(a.sentAt), a.loadFactor)
		state.mu.Unlock()
		// The elapsed time is a lower bound of the latency. Without it, slow attempts
		// that lose to their hedges would be missing from the quantile.
		state.hedgeController.observe(now, now.Sub(a.sentAt))
		if len(s.attempts) > 1 && s.answered {
			q.engine.cancelledAttempts.add(attemptKey{q.id, s.number, a.number}, state)
		}
		q.engine.transport.Cancel(a.relay, &peerpb.Cancel{QueryId: q.id, Sub: s.number, Attempt: a.number})
	}
}

func (s *sub) attempt(number uint32) *attempt {
	for _, a := range s.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (s *sub) inFlight() bool {
	for _, a := range s.attempts {
		if !a.done {
			return true
		}
	}
	return false
}

func loadFromProto(load *peerpb.TargetLoad) selector.Load {
	return selector.Load{
		InFlight: int(load.GetInFlight()),
		Queued:   int(load.GetQueued()),
		Limit:    int(load.GetLimit()),
		Latency:  load.GetRecentLatency().AsDuration(),
	}
}

func hitsFromProto(service string, hits []*peerpb.Hit) []merger.Hit {
	converted := make([]merger.Hit, len(hits))
	for i, h := range hits {
		converted[i] = merger.Hit{Service: service, ID: h.Id, Score: h.Score, Title: h.Title}
	}
	return converted
}
