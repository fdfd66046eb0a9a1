// Package forwarder decides for one request of a caller which targets it is
// sent to, when it is sent again, and when it is answered. It does no I/O.
package forwarder

import (
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
)

// Placing chooses targets and knows what is in flight.
type Placing interface {
	Place(now time.Time, r placer.Request) (placer.Placement, placer.Outcome)
	HedgeAt(route string, aim time.Duration, placed placer.Placement) time.Time
	// Reachable reports whether connections to a target open.
	Reachable(target string) bool
}

// Directory lists the targets of a service that take new work.
type Directory interface {
	Targets(service string) []registrar.Record
}

// Config holds the constants of a request's course.
type Config struct {
	// CallerTime is the part of a route's aim that the network to the caller
	// and the writing of the answer take.
	CallerTime time.Duration
	// MaxUnsent bounds the targets that are tried after connections failed.
	MaxUnsent int
	// PlaceAgain is how long a shard waits before another try to place it.
	PlaceAgain time.Duration
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		CallerTime: 9 * time.Millisecond,
		MaxUnsent:  4,
		PlaceAgain: 10 * time.Millisecond,
	}
}

// Send asks for a sub-request to be sent.
type Send struct {
	Shard     int
	Attempt   int
	Placement placer.Placement
	// Reason says why, for logs.
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
	// sent counts the sub-requests that may have reached a target.
	sent   int
	unsent int
	// ran is true once a target may have run the sub-request.
	ran bool
	// dead is true once no further try is possible.
	dead bool
	// hedgeAgain is when a hedge that found no place is tried again.
	hedgeAgain time.Time
	// placeAt is when an unplaced shard is tried again.
	placeAt time.Time
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

// Query is one request of a caller. It is not safe for concurrent use.
type Query struct {
	config    Config
	placing   Placing
	directory Directory
	table     *router.Table
	route     *router.Route
	arrived   time.Time
	deadline  time.Time
	shards    []shard
	answered  int
	// lost is the number of shards that cannot answer any more.
	lost   int
	denied Denied
	// next is the time for Wake and Judge, known unless stale is set. It is not
	// computed for every answer, as that takes the square of the shards.
	next  time.Time
	stale bool
}

// New returns the query of a request that arrived at the given time and has to
// be answered by the deadline. A plain route has one service.
func New(config Config, placing Placing, directory Directory, table *router.Table, route *router.Route,
	services []string, arrived, deadline time.Time,
) *Query {
	q := &Query{
		config: config, placing: placing, directory: directory, table: table, route: route,
		arrived: arrived, deadline: deadline, shards: make([]shard, len(services)),
	}
	for i, service := range services {
		q.shards[i].service = service
	}
	return q
}

// Start places every shard, or none if too few of them have a target: a request
// that cannot be served is better refused before any target works on it.
func (q *Query) Start(now time.Time) []Send {
	if q.placeable() < q.least() {
		for i := range q.shards {
			q.lose(&q.shards[i])
		}
		return nil
	}
	sends := make([]Send, 0, len(q.shards))
	for i := range q.shards {
		sends = q.place(now, i, sends, "first")
	}
	return sends
}

func (q *Query) placeable() int {
	n := 0
	for i := range q.shards {
		if !q.exhausted(&q.shards[i]) {
			n++
		}
	}
	return n
}

// place tries to send a shard that has nothing in flight.
func (q *Query) place(now time.Time, i int, sends []Send, reason string) []Send {
	s := &q.shards[i]
	s.placeAt = time.Time{}
	q.stale = true
	if !q.mayRepeat(s) {
		q.lose(s)
		return sends
	}
	placed, ok := q.choose(now, s)
	if ok {
		return append(sends, q.send(s, i, placed, reason))
	}
	// After its aim a request does not wait for a place or for budget any more:
	// its caller hears at once and can still be served elsewhere.
	if q.exhausted(s) || !now.Before(q.cut()) {
		q.lose(s)
		return sends
	}
	s.placeAt = now.Add(q.config.PlaceAgain)
	return sends
}

// lose gives a shard up that has nothing in flight.
func (q *Query) lose(s *shard) {
	if !s.dead && s.inFlight() == 0 {
		s.dead = true
		q.lost++
	}
}

// exhausted reports whether waiting cannot bring a target for the shard.
func (q *Query) exhausted(s *shard) bool {
	targets := q.directory.Targets(s.service)
	for _, t := range targets {
		if !contains(s.tried, t.ID) && q.placing.Reachable(t.ID) {
			return false
		}
	}
	return true
}

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}

// mayRepeat reports whether the shard may be sent to one more target. A request
// that must not run twice is sent again only while no target may have run it.
func (q *Query) mayRepeat(s *shard) bool {
	if s.sent >= max(q.route.MaxAttempts, 1) || s.unsent >= q.config.MaxUnsent {
		return false
	}
	return q.route.Repeatable || (!s.ran && s.inFlight() == 0)
}

func (q *Query) choose(now time.Time, s *shard) (placer.Placement, bool) {
	service, _ := q.table.Service(s.service)
	placed, outcome := q.placing.Place(now, placer.Request{
		Service:        s.service,
		Targets:        q.directory.Targets(s.service),
		MaxConnections: service.MaxConnections,
		Avoid:          s.tried,
		Again:          len(s.attempts) > 0,
		Hedge:          s.inFlight() > 0,
		Free:           s.sent == 0,
	})
	switch outcome {
	case placer.NoTarget:
		q.denied.NoTarget++
	case placer.NoBudget:
		q.denied.NoBudget++
	case placer.Placed:
	}
	return placed, outcome == placer.Placed
}

// Denied counts the repeats and first tries that found no place.
type Denied struct {
	NoTarget, NoBudget int
}

// Denied returns how often no place was found.
func (q *Query) Denied() Denied { return q.denied }

func (q *Query) send(s *shard, i int, placed placer.Placement, reason string) Send {
	s.attempts = append(s.attempts, attempt{placement: placed})
	s.tried = append(s.tried, placed.Record.ID)
	s.sent++
	return Send{Shard: i, Attempt: len(s.attempts) - 1, Placement: placed, Reason: reason}
}

// Answered takes a good answer of a shard and reports whether it is the first.
func (q *Query) Answered(shard, attempt int) bool {
	s := &q.shards[shard]
	s.attempts[attempt].ended = true
	s.ran = true
	if s.answered {
		return false
	}
	s.answered = true
	q.answered++
	if cut := q.cut(); q.answered == q.least() && cut.Before(q.next) {
		q.next = cut
	}
	return true
}

// Failed takes the end of a sub-request without a good answer.
func (q *Query) Failed(now time.Time, shard, attempt int, result placer.Result) []Send {
	s := &q.shards[shard]
	s.attempts[attempt].ended = true
	switch result {
	case placer.Unsent:
		s.sent--
		s.unsent++
	case placer.Refused:
	default:
		s.ran = true
	}
	if s.answered || s.inFlight() > 0 {
		return nil
	}
	return q.place(now, shard, nil, result.String())
}

// Wake sends what is due to be sent again.
func (q *Query) Wake(now time.Time) []Send {
	var sends []Send
	q.stale = true
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.answered || s.dead:
		case !s.placeAt.IsZero():
			if !now.Before(s.placeAt) {
				sends = q.place(now, i, sends, "waited")
			}
		case q.hedgeDue(now, s):
			if placed, ok := q.choose(now, s); ok {
				sends = append(sends, q.send(s, i, placed, "hedge"))
				continue
			}
			s.hedgeAgain = now.Add(q.config.PlaceAgain)
		}
	}
	return sends
}

func (q *Query) hedgeDue(now time.Time, s *shard) bool {
	at, ok := q.hedgeAt(s)
	return ok && !now.Before(at)
}

func (q *Query) hedgeAt(s *shard) (time.Time, bool) {
	if s.answered || s.dead || !q.route.Repeatable || !q.mayRepeat(s) {
		return time.Time{}, false
	}
	last := len(s.attempts) - 1
	if last < 0 || s.attempts[last].ended {
		return time.Time{}, false
	}
	at := q.placing.HedgeAt(q.route.Name, q.route.Aim, s.attempts[last].placement)
	if at.Before(s.hedgeAgain) {
		at = s.hedgeAgain
	}
	return at, true
}

// NextWake returns when Wake or Judge must be called at the latest.
func (q *Query) NextWake() time.Time {
	if !q.stale {
		return q.next
	}
	q.stale = false
	q.next = q.earliest()
	return q.next
}

func (q *Query) earliest() time.Time {
	next := q.deadline
	// Without enough shards only an answer, which is judged when it comes, can
	// change anything at the cut.
	if cut := q.cut(); q.enough() && cut.Before(next) {
		next = cut
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.placeAt.IsZero() && s.placeAt.Before(next) {
			next = s.placeAt
		}
		if at, ok := q.hedgeAt(s); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// enough reports whether the shards that have answered make a success.
func (q *Query) enough() bool { return q.answered > 0 && q.answered >= q.least() }
