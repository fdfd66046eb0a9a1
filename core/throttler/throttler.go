// Package throttler rejects a share of the queries over an overloaded index before
// any of their work has begun.
//
// A query needs nearly all shards of its index. Under overload a target that is full
// refuses a few sub-requests of most queries, so nearly all queries fail although
// most of their work is done. Fewer admitted queries leave more that succeed.
package throttler

import (
	"math"
	"slices"
	"time"
)

// Config configures a State.
type Config struct {
	// HalfLife is the time after which a query counts half.
	HalfLife time.Duration
	// Headroom is the ratio of admitted queries to those that are served. What is
	// beyond 1 probes for more capacity.
	Headroom float64
	// RecoveryHeadroom replaces Headroom while at most the share RecoveryFailures of
	// the admitted queries fails, so that the admitted share soon follows when the
	// capacity returns.
	RecoveryHeadroom float64
	RecoveryFailures float64
	// Tolerance is the number of failed queries up to which all are admitted, so that
	// a single failure rejects nothing.
	Tolerance float64
	// MinShare is the lower bound of the admitted share of each priority, which keeps
	// measuring the capacity.
	MinShare float64
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{HalfLife: 500 * time.Millisecond, Headroom: 1.15, RecoveryHeadroom: 2, RecoveryFailures: 0.04, Tolerance: 1, MinShare: 0.05}
}

// class counts the recent queries of one priority, whether rejected or ended.
type class struct {
	priority int
	queries  float64
}

// State is the recent load on one index as one process sees it. Processes that query
// the same index need not agree: all of them see the same share of their queries
// fail, and reject the same share. State is not safe for concurrent use.
type State struct {
	config Config
	// updatedAt is the time that the counts below refer to.
	updatedAt time.Time
	// classes is in the order of the priorities, the most urgent first.
	classes []class
	queries float64
	// admitted is the part of queries that was not rejected, served the part of it
	// that did not fail because of overload.
	admitted float64
	served   float64
}

// New returns the state of an index without load.
func New(config Config) *State { return &State{config: config} }

// Admit reports whether a query is admitted. Priority 0 is the most urgent, and draw
// is a random number in [0, 1). An admitted query must be ended with Ended.
func (s *State) Admit(now time.Time, priority int, draw float64) bool {
	if draw < s.Share(now, priority) {
		return true
	}
	s.count(priority)
	return false
}

// Ended records the end of an admitted query. served is false only if overload made
// it fail or late.
func (s *State) Ended(now time.Time, priority int, served bool) {
	s.decay(now)
	s.count(priority)
	s.admitted++
	if served {
		s.served++
	}
}

// Share returns the share of the queries of a priority that is admitted. More urgent
// queries are admitted first.
func (s *State) Share(now time.Time, priority int) float64 {
	s.decay(now)
	headroom := s.config.Headroom
	if s.admitted-s.served <= s.config.RecoveryFailures*s.admitted {
		headroom = s.config.RecoveryHeadroom
	}
	room := headroom*s.served + s.config.Tolerance
	if room >= s.queries {
		return 1
	}
	own := 0.0
	for _, c := range s.classes {
		switch {
		case c.priority < priority:
			room -= c.queries
		case c.priority == priority:
			own = c.queries
		}
	}
	return min(max(room/max(own, 1), s.config.MinShare), 1)
}

// idleQueries is the number of recent queries below which an index counts as idle.
const idleQueries = 0.01

// Idle reports whether the index has had no queries for several half-lives.
func (s *State) Idle(now time.Time) bool {
	s.decay(now)
	return s.queries < idleQueries
}

// Counts returns the recent queries and how many of them were served.
func (s *State) Counts() (queries, served float64) { return s.queries, s.served }

func (s *State) count(priority int) {
	i, ok := slices.BinarySearchFunc(s.classes, priority, func(c class, p int) int { return c.priority - p })
	if !ok {
		s.classes = slices.Insert(s.classes, i, class{priority: priority})
	}
	s.classes[i].queries++
	s.queries++
}

func (s *State) decay(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(s.config.HalfLife))
	s.queries *= factor
	s.admitted *= factor
	s.served *= factor
	for i := range s.classes {
		s.classes[i].queries *= factor
	}
	s.updatedAt = now
}
