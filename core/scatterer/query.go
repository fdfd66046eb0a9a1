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
	// inboxPerSub sizes a query's ring, so that all attempts fit.
	inboxPerSub = 8
	inboxMin    = 1024
	// restartPeriod is how often a query whose snapshot is gone looks for another.
	restartPeriod = 5 * time.Millisecond
	// hedgeRetry is how long a sub-request waits when the budget is used up.
	hedgeRetry = 5 * time.Millisecond
)

// query is the state of one running query; one goroutine owns it.
type query struct {
	engine   *Engine
	id       string
	request  *Request
	deadline time.Time
	inbox    *buffer.Ring[event]
	parts    []*part
	subs     []*sub
	open     int
	stats    Stats
	attempts uint32
	// lost holds the targets whose connections broke while they ran a part of
	// the query.
	lost container.Set[string]
}

// maxLost is the number of targets that a query may lose before it is sent to
// no further one: the query itself may be what takes them down.
const maxLost = 2

// suspect reports whether no further target may be put at risk.
func (q *query) suspect() bool { return len(q.lost) >= maxLost }

// part is the share of one service in a query.
type part struct {
	entry    *planner.Service
	state    *serviceState
	plan     planner.Plan
	subs     []*sub
	gone     container.Set[string]
	restarts int
	// stale is true while the snapshot is gone and no other has been found.
	stale bool
}

// sub is one sub-request: a shard of the pinned snapshot.
type sub struct {
	number   uint32
	part     *part
	shard    planner.ShardPlan
	attempts []*attempt
	hits     []merger.Hit
	answered bool
	// ended is true once no further attempt is made.
	ended      bool
	overloaded bool
	hedgeAt    time.Time
}

// attempt is one sending of a sub-request to one replica.
type attempt struct {
	number  uint32
	replica *planner.Replica
	relay   string
	// factor is the part of the latency that is due to the target's load.
	factor float64
	sent   time.Time
	done   bool
}

func newQuery(e *Engine, id string, request *Request) *query {
	q := &query{
		engine:   e,
		id:       id,
		request:  request,
		deadline: request.Deadline.Add(-e.config.AnswerMargin),
		lost:     container.NewSet[string](),
	}
	for _, entry := range request.Services {
		p := &part{entry: entry, state: e.service(entry), gone: container.NewSet[string]()}
		p.plan = q.planPart(p)
		q.parts = append(q.parts, p)
		q.addSubs(p)
	}
	q.inbox = buffer.NewRing[event](max(inboxMin, inboxPerSub*len(q.subs)))
	return q
}

func (q *query) planPart(p *part) planner.Plan {
	if q.request.Set != "" {
		return q.engine.table.PlanSet(p.entry.Document.Service, q.request.Set, p.gone)
	}
	return q.engine.table.PlanService(p.entry, q.request.Caller, p.gone)
}

// addSubs creates the sub-requests of a part's plan. Numbers are never used
// twice, so an answer for an abandoned snapshot matches nothing.
func (q *query) addSubs(p *part) {
	p.subs = p.subs[:0]
	for _, shard := range p.plan.Shards {
		s := &sub{number: uint32(len(q.subs)), part: p, shard: shard}
		q.subs = append(q.subs, s)
		p.subs = append(p.subs, s)
		q.open++
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
	if q.open > 0 {
		return false
	}
	for _, p := range q.parts {
		if p.stale {
			return false
		}
	}
	return true
}

func (q *query) startPart(p *part, batches map[string]*peerpb.Batch) {
	delay := p.state.hedges.deposit(len(p.subs))
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

// start adds an attempt of a sub-request to the batch of a relay. It returns
// false when no replica is left.
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

// send writes the batches. A batch that could not be sent fails its attempts
// as not run, which may start others.
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
		if p.stale {
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

// hedge sends a late sub-request to a second replica if the budget allows.
func (q *query) hedge(s *sub, now time.Time, batches map[string]*peerpb.Batch) {
	s.hedgeAt = q.deadline
	if q.engine.config.DisableHedges || len(s.attempts) >= q.engine.config.MaxAttempts || q.suspect() {
		return
	}
	if !s.part.state.hedges.withdraw() {
		// The budget goes to those that wait longest, so ask again later.
		s.hedgeAt = now.Add(hedgeRetry)
		return
	}
	if !q.start(s, now, batches) {
		s.part.state.hedges.refund()
		return
	}
	q.stats.Hedges++
}

func (q *query) untilWake() time.Duration {
	at := q.deadline
	now := q.engine.timers.Now()
	for _, p := range q.parts {
		if p.stale && now.Add(restartPeriod).Before(at) {
			at = now.Add(restartPeriod)
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
	q.open--
}
