package scatterer

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/container"
	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/planner"
)

const (
	// inboxSlotsPerSub sizes a query's inbox so that the answers of all attempts
	// fit.
	inboxSlotsPerSub = 8
	minInboxSize     = 1024
	// restartPollInterval is how often a query whose snapshot is gone looks for
	// another one.
	restartPollInterval = 5 * time.Millisecond
	// hedgeRetryDelay is the wait before a hedge that the budget refused is tried
	// again.
	hedgeRetryDelay = 5 * time.Millisecond
)

// query is the state of a running query, owned by a single goroutine.
type query struct {
	engine   *Engine
	id       string
	request  *Request
	deadline time.Time
	inbox    *buffer.Ring[event]
	parts    []*part
	subs     []*sub
	openSubs int
	stats    Stats
	// attempts counts all attempts and numbers the next one.
	attempts uint32
	// lostTargets holds the targets whose connection broke while they ran a
	// sub-request of this query.
	lostTargets container.Set[string]
}

// maxLostTargets is the number of lost targets after which a query gets no
// further attempts, because the query itself may be crashing them.
const maxLostTargets = 2

// reachedLossLimit reports whether the query has lost too many targets to be
// sent to another one.
func (q *query) reachedLossLimit() bool { return len(q.lostTargets) >= maxLostTargets }

// part is the state of one service within a query.
type part struct {
	entry         *planner.Service
	state         *serviceState
	plan          planner.Plan
	subs          []*sub
	goneSnapshots container.Set[string]
	restarts      int
	// awaitingSnapshot is true while the snapshot is gone and no replacement has
	// been found.
	awaitingSnapshot bool
}

// sub is a sub-request for one shard of the pinned snapshot.
type sub struct {
	number   uint32
	part     *part
	shard    planner.ShardPlan
	attempts []*attempt
	hits     []merger.Hit
	answered bool
	// ended is true once no further attempt will be made.
	ended      bool
	overloaded bool
	hedgeAt    time.Time
}

// attempt is one transmission of a sub-request to one replica.
type attempt struct {
	number  uint32
	replica *planner.Replica
	relay   string
	// loadFactor is the factor by which the target's load lengthens the attempt.
	loadFactor float64
	sentAt     time.Time
	done       bool
}

func newQuery(e *Engine, id string, request *Request) *query {
	q := &query{
		engine:      e,
		id:          id,
		request:     request,
		deadline:    request.Deadline.Add(-e.config.AnswerMargin),
		lostTargets: container.NewSet[string](),
	}
	for _, entry := range request.Services {
		p := &part{entry: entry, state: e.service(entry), goneSnapshots: container.NewSet[string]()}
		p.plan = q.planPart(p)
		q.parts = append(q.parts, p)
		q.addSubs(p)
	}
	q.inbox = buffer.NewRing[event](max(minInboxSize, inboxSlotsPerSub*len(q.subs)))
	return q
}

func (q *query) planPart(p *part) planner.Plan {
	if q.request.Set != "" {
		return q.engine.table.PlanSet(p.entry.Document.Service, q.request.Set, p.goneSnapshots)
	}
	return q.engine.table.PlanService(p.entry, q.request.Caller, p.goneSnapshots)
}

// addSubs creates the sub-requests of a part's plan. Numbers are never reused,
// so an answer for an abandoned snapshot matches no open sub-request.
func (q *query) addSubs(p *part) {
	p.subs = p.subs[:0]
	for _, shard := range p.plan.Shards {
		s := &sub{number: uint32(len(q.subs)), part: p, shard: shard}
		q.subs = append(q.subs, s)
		p.subs = append(p.subs, s)
		q.openSubs++
	}
}

func (q *query) run(ctx context.Context) {
	batches := make(map[string]*peerpb.Batch)
	for _, p := range q.parts {
		q.startPart(p, batches)
	}
	q.send(batches)
	wake := q.engine.timers.After(q.untilWake())
	defer wake.Stop()
	for !q.finished() {
		select {
		case e := <-q.inbox.C():
			q.handle(e)
		case <-wake.C:
			if !q.engine.timers.Now().Before(q.deadline) {
				q.cancelAll()
				return
			}
			q.onWake()
		case <-ctx.Done():
			q.cancelAll()
			return
		}
		wake.Reset(q.untilWake())
	}
}

func (q *query) finished() bool {
	if q.openSubs > 0 {
		return false
	}
	for _, p := range q.parts {
		if p.awaitingSnapshot {
			return false
		}
	}
	return true
}

func (q *query) startPart(p *part, batches map[string]*peerpb.Batch) {
	delay := p.state.hedgeController.deposit(len(p.subs))
	now := q.engine.timers.Now()
	for _, s := range p.subs {
		q.stats.Subs++
		if q.start(s, now, batches) {
			s.hedgeAt = now.Add(delay)
			continue
		}
		q.end(s)
	}
}

// start adds an attempt of a sub-request to its relay's batch. It returns false
// if no replica is left.
func (q *query) start(s *sub, now time.Time, batches map[string]*peerpb.Batch) bool {
	a, ok := q.pick(s, now)
	if !ok {
		return false
	}
	a.number = q.attempts
	q.attempts++
	s.attempts = append(s.attempts, a)
	batch, ok := batches[a.relay]
	if !ok {
		batch = q.newBatch(now)
		batches[a.relay] = batch
	}
	batch.Subs = append(batch.Subs, &peerpb.SubRequest{
		Sub:           s.number,
		Attempt:       a.number,
		Service:       a.replica.Service,
		Target:        a.replica.Target,
		TargetAddress: a.replica.Address.String(),
		Shard:         s.shard.Shard.Name,
		Snapshot:      s.part.plan.Snapshot,
	})
	return true
}

func (q *query) newBatch(now time.Time) *peerpb.Batch {
	return &peerpb.Batch{
		QueryId:     q.id,
		TimeLeft:    durationpb.New(q.deadline.Sub(now)),
		Traceparent: q.request.Traceparent,
		Text:        q.request.Text,
		Limit:       uint32(q.request.Limit),
		Fingerprint: q.request.Fingerprint,
	}
}

// send sends the batches. If a batch cannot be sent, its attempts fail as
// unreachable, which may start others.
func (q *query) send(batches map[string]*peerpb.Batch) {
	for len(batches) > 0 {
		next := make(map[string]*peerpb.Batch)
		for relay, batch := range batches {
			if q.engine.transport.Send(relay, batch) == nil {
				q.stats.Sent += len(batch.Subs)
				continue
			}
			for _, request := range batch.Subs {
				q.fail(q.subs[request.Sub], request.Attempt, peerpb.FailureKind_FAILURE_UNREACHABLE, next)
			}
		}
		batches = next
	}
}

func (q *query) onWake() {
	batches := make(map[string]*peerpb.Batch)
	now := q.engine.timers.Now()
	for _, p := range q.parts {
		if p.awaitingSnapshot {
			q.restart(p, batches)
		}
		for _, s := range p.subs {
			if !s.ended && !now.Before(s.hedgeAt) {
				q.hedge(s, now, batches)
			}
		}
	}
	q.send(batches)
}

// hedge sends an overdue sub-request to another replica if the budget allows.
func (q *query) hedge(s *sub, now time.Time, batches map[string]*peerpb.Batch) {
	s.hedgeAt = q.deadline
	if q.engine.config.DisableHedges || len(s.attempts) >= q.engine.config.MaxAttempts || q.reachedLossLimit() {
		return
	}
	if !s.part.state.hedgeController.withdraw() {
		// Retry later, so that the budget goes to the sub-requests that wait longest.
		s.hedgeAt = now.Add(hedgeRetryDelay)
		return
	}
	if !q.start(s, now, batches) {
		s.part.state.hedgeController.refund()
		return
	}
	q.stats.Hedges++
}

func (q *query) untilWake() time.Duration {
	at := q.deadline
	now := q.engine.timers.Now()
	for _, p := range q.parts {
		if p.awaitingSnapshot && now.Add(restartPollInterval).Before(at) {
			at = now.Add(restartPollInterval)
		}
		for _, s := range p.subs {
			if !s.ended && s.hedgeAt.Before(at) {
				at = s.hedgeAt
			}
		}
	}
	return at.Sub(now)
}

func (q *query) cancelAll() {
	for _, s := range q.subs {
		if !s.ended {
			q.cancelAttempts(s)
		}
	}
}

func (q *query) end(s *sub) {
	if s.ended {
		return
	}
	s.ended = true
	q.openSubs--
}
