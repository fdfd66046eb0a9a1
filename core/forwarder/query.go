// Package forwarder is the state machine of one request of a caller: it selects
// the targets, schedules retries and hedges, and decides when the caller gets
// an answer. It does no I/O.
package forwarder

import (
	"slices"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
)

// TargetPlacer selects targets and tracks the sub-requests in flight.
type TargetPlacer interface {
	Place(now time.Time, r placer.Request) (placer.Placement, placer.Outcome)
	HedgeAt(route string, latencyObjective time.Duration, placed placer.Placement) time.Time
	// Available reports whether a sub-request can be sent to a target by the given time.
	Available(target registrar.Record, by time.Time) bool
	// AvailableAt returns when one of the targets can be sent a sub-request, and false if
	// none is known to.
	AvailableAt(targets []registrar.Record) (time.Time, bool)
}

// Directory lists the targets of a service that accept new requests.
type Directory interface {
	Targets(service string) []registrar.Record
}

// Config holds the timing and retry limits of a request.
type Config struct {
	// CallerTime is the part of a route's latency objective reserved for
	// writing the answer and for the network to the caller.
	CallerTime time.Duration
	// MaxUnsentAttempts bounds the attempts per shard that failed before the request
	// was sent, for example because no connection could be opened.
	MaxUnsentAttempts int
	// PlaceRetryDelay is the delay before selecting a target is retried.
	PlaceRetryDelay time.Duration
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{
		CallerTime:        9 * time.Millisecond,
		MaxUnsentAttempts: 4,
		PlaceRetryDelay:   10 * time.Millisecond,
	}
}

// Send is a sub-request to be sent.
type Send struct {
	Shard     int
	Attempt   int
	Placement placer.Placement
	// Reason is the cause of the attempt, for logs.
	Reason string
}

type attempt struct {
	placement placer.Placement
	ended     bool
}

type shard struct {
	service  string
	attempts []attempt
	tried    []string
	answered bool
	// attemptsSent counts the attempts that may have reached a target.
	attemptsSent   int
	attemptsUnsent int
	// mayHaveRun is set once a target may have run the sub-request.
	mayHaveRun bool
	// failed is set once no further attempt is possible.
	failed bool
	// hedgeRetryAt is the earliest time of the next hedge after one for which no
	// target could be selected.
	hedgeRetryAt time.Time
	// placeRetryAt is when selecting a target is retried, zero if no retry is
	// scheduled.
	placeRetryAt time.Time
}

func (s *shard) inFlight() int {
	n := 0
	for _, a := range s.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// Query is one request of a caller. A plain route has a single shard. Query is
// not safe for concurrent use.
type Query struct {
	config       Config
	targetPlacer TargetPlacer
	directory    Directory
	table        *router.Table
	route        *router.Route
	arrived      time.Time
	deadline     time.Time
	shards       []shard
	// answered is the number of shards that have answered.
	answered int
	// failedShards is the number of shards that can no longer answer.
	failedShards      int
	caution           caution
	placementFailures PlacementFailures
	// nextWake caches the result of NextWake while nextWakeStale is unset.
	// Recomputing it on every answer would take time quadratic in the number of
	// shards.
	nextWake      time.Time
	nextWakeStale bool
}

// New returns the query of a request that arrived at the given time and must be
// answered by the deadline. services has one entry per shard, or a single one
// for a plain route.
func New(config Config, targetPlacer TargetPlacer, directory Directory, table *router.Table, route *router.Route,
	services []string, arrived, deadline time.Time,
) *Query {
	q := &Query{
		config: config, targetPlacer: targetPlacer, directory: directory, table: table, route: route,
		arrived: arrived, deadline: deadline, shards: make([]shard, len(services)),
	}
	for i, service := range services {
		q.shards[i].service = service
	}
	return q
}

// Start returns the first sub-request of every shard. If too few shards have a
// target, it returns none and the request fails, so that no target works on a
// request that cannot succeed.
func (q *Query) Start(now time.Time) []Send {
	if q.placeableShards(now) < q.minShards() {
		q.countLimited(now)
		q.failUnstarted()
		return nil
	}
	if q.caution.trying {
		return q.place(now, q.caution.trial, nil, "trial")
	}
	return q.startOthers(now)
}

// startOthers returns the first sub-requests of the shards that have none.
func (q *Query) startOthers(now time.Time) []Send {
	sends := make([]Send, 0, len(q.shards))
	for i := range q.shards {
		if s := &q.shards[i]; len(s.attempts) == 0 && !s.failed {
			sends = q.place(now, i, sends, "first")
		}
	}
	return sends
}

// failUnstarted marks the shards without a sub-request as failed.
func (q *Query) failUnstarted() {
	for i := range q.shards {
		if s := &q.shards[i]; len(s.attempts) == 0 {
			q.failShard(s)
		}
	}
}

// place starts an attempt for a shard that has none in flight. If no target can
// be selected, it schedules a retry or marks the shard as failed.
func (q *Query) place(now time.Time, i int, sends []Send, reason string) []Send {
	s := &q.shards[i]
	s.placeRetryAt = time.Time{}
	q.nextWakeStale = true
	if q.caution.holds() && len(s.attempts) > 0 {
		s.placeRetryAt = now.Add(q.config.PlaceRetryDelay)
		return sends
	}
	if !q.mayAttempt(s) || q.caution.forbids(s) {
		q.giveUp(s)
		return sends
	}
	placed, ok := q.chooseTarget(now, s)
	if ok {
		return append(sends, q.addAttempt(s, i, placed, reason))
	}
	// Past the cutoff a request no longer waits for a free target or for retry
	// budget: an immediate failure lets the caller retry at another entry VM.
	if q.exhausted(s, q.latestLimitedSend(now)) || !now.Before(q.partialCutoff()) {
		q.giveUp(s)
		return sends
	}
	s.placeRetryAt = now.Add(q.config.PlaceRetryDelay)
	return sends
}

// giveUp marks a shard as failed and, if it is the trial, those that wait for it.
func (q *Query) giveUp(s *shard) {
	q.failShard(s)
	if q.caution.trying && s.failed {
		q.failUnstarted()
	}
}

// failShard marks a shard as failed unless an attempt is still in flight.
func (q *Query) failShard(s *shard) {
	if !s.failed && s.inFlight() == 0 {
		s.failed = true
		q.failedShards++
	}
}

// exhausted reports whether every known target of the shard was tried or is not available
// by the given time, so that waiting cannot help.
func (q *Query) exhausted(s *shard, by time.Time) bool {
	targets := q.directory.Targets(s.service)
	for _, t := range targets {
		if !slices.Contains(s.tried, t.ID) && q.targetPlacer.Available(t, by) {
			return false
		}
	}
	return true
}

// mayAttempt reports whether the shard may be sent to one more target. A request
// that is not idempotent is retried only while no target may have run it.
func (q *Query) mayAttempt(s *shard) bool {
	if s.attemptsSent >= max(q.route.MaxAttempts, 1) || s.attemptsUnsent >= q.config.MaxUnsentAttempts {
		return false
	}
	return q.route.Idempotent || (!s.mayHaveRun && s.inFlight() == 0)
}

func (q *Query) chooseTarget(now time.Time, s *shard) (placer.Placement, bool) {
	service, _ := q.table.Service(s.service)
	placed, outcome := q.targetPlacer.Place(now, placer.Request{
		Service:        s.service,
		Targets:        q.directory.Targets(s.service),
		MaxConnections: service.MaxConnections,
		ColdRate:       service.ColdRate,
		Avoid:          s.tried,
		Repeat:         len(s.attempts) > 0,
		Hedge:          s.inFlight() > 0,
		Unbudgeted:     s.attemptsSent == 0,
	})
	switch outcome {
	case placer.NoTarget:
		q.placementFailures.NoTarget++
	case placer.NoBudget:
		q.placementFailures.NoBudget++
	case placer.Limited:
		q.placementFailures.Limited++
	case placer.Placed:
	}
	return placed, outcome == placer.Placed
}

// PlacementFailures counts the attempts, first ones included, for which no target
// was selected, by cause.
type PlacementFailures struct {
	NoTarget, NoBudget, Limited int
}

// PlacementFailures returns how often no target could be selected.
func (q *Query) PlacementFailures() PlacementFailures { return q.placementFailures }

func (q *Query) addAttempt(s *shard, i int, placed placer.Placement, reason string) Send {
	s.attempts = append(s.attempts, attempt{placement: placed})
	s.tried = append(s.tried, placed.Record.ID)
	s.attemptsSent++
	return Send{Shard: i, Attempt: len(s.attempts) - 1, Placement: placed, Reason: reason}
}

// Answered records a successful answer of a shard and reports whether it is the
// shard's first. It returns the sub-requests that waited for it.
func (q *Query) Answered(now time.Time, shard, attempt int) (first bool, sends []Send) {
	s := &q.shards[shard]
	s.attempts[attempt].ended = true
	s.mayHaveRun = true
	if s.answered {
		return false, nil
	}
	s.answered = true
	q.answered++
	if partialCutoff := q.partialCutoff(); q.answered == q.minShards() && partialCutoff.Before(q.nextWake) {
		q.nextWake = partialCutoff
	}
	return true, q.trialAnswered(now, shard)
}

// Failed records the end of an attempt without a successful answer and returns
// the retry, if there is one.
func (q *Query) Failed(now time.Time, shard, attempt int, result placer.Result) []Send {
	s := &q.shards[shard]
	s.attempts[attempt].ended = true
	switch result {
	case placer.Unsent:
		s.attemptsSent--
		s.attemptsUnsent++
	case placer.Refused:
	default:
		s.mayHaveRun = true
	}
	if s.answered || s.inFlight() > 0 {
		return nil
	}
	return q.place(now, shard, nil, result.String())
}

// Wake returns the retries and hedges that are due.
func (q *Query) Wake(now time.Time) []Send {
	var sends []Send
	q.nextWakeStale = true
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.answered || s.failed:
		case !s.placeRetryAt.IsZero():
			if !now.Before(s.placeRetryAt) {
				sends = q.place(now, i, sends, "waited")
			}
		case q.hedgeDue(now, s):
			if placed, ok := q.chooseTarget(now, s); ok {
				sends = append(sends, q.addAttempt(s, i, placed, "hedge"))
				continue
			}
			s.hedgeRetryAt = now.Add(q.config.PlaceRetryDelay)
		}
	}
	return sends
}

func (q *Query) hedgeDue(now time.Time, s *shard) bool {
	at, ok := q.hedgeAt(s)
	return ok && !now.Before(at)
}

func (q *Query) hedgeAt(s *shard) (time.Time, bool) {
	if s.answered || s.failed || !q.route.Idempotent || !q.mayAttempt(s) || q.caution.forbidsHedges() {
		return time.Time{}, false
	}
	last := len(s.attempts) - 1
	if last < 0 || s.attempts[last].ended {
		return time.Time{}, false
	}
	at := q.targetPlacer.HedgeAt(q.route.Name, q.route.LatencyObjective, s.attempts[last].placement)
	if at.Before(s.hedgeRetryAt) {
		at = s.hedgeRetryAt
	}
	return at, true
}

// NextWake returns the latest time for the next call of Wake and Decide.
func (q *Query) NextWake() time.Time {
	if !q.nextWakeStale {
		return q.nextWake
	}
	q.nextWakeStale = false
	q.nextWake = q.computeNextWake()
	return q.nextWake
}

func (q *Query) computeNextWake() time.Time {
	next := q.deadline
	// With too few answers the cutoff itself changes nothing. Answered updates
	// nextWake when the number of answers becomes sufficient.
	if partialCutoff := q.partialCutoff(); q.hasEnoughShards() && partialCutoff.Before(next) {
		next = partialCutoff
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.placeRetryAt.IsZero() && s.placeRetryAt.Before(next) {
			next = s.placeRetryAt
		}
		if at, ok := q.hedgeAt(s); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// hasEnoughShards reports whether enough shards have answered for a partial
// answer.
func (q *Query) hasEnoughShards() bool {
	return q.answered > 0 && q.answered >= q.minShards()
}
