// Package admitter implements priority-based admission control for queries.
package admitter

import (
	"math/rand/v2"
	"time"
)

// Priority is the priority of a query; lower ones are refused first.
type Priority int

// Priorities.
const (
	Low Priority = iota
	Normal
	High
	priorityCount
)

// ParsePriority returns the named priority, or Normal if the name is unknown.
func ParsePriority(name string) Priority {
	switch name {
	case "high":
		return High
	case "low":
		return Low
	default:
		return Normal
	}
}

// Config configures admission.
type Config struct {
	// MaxQueries is the hard limit on concurrent queries in a gateway.
	MaxQueries int
	// MinLimit is the lower bound of the adaptive limit.
	MinLimit float64
	// Initial is the limit before any query has ended.
	Initial float64
	// DesiredDeadlineShare is the fraction of their deadline that queries should
	// take under overload. The rest is headroom for a straggler behind the queue.
	DesiredDeadlineShare float64
	// Slack is the largest factor by which the limit is widened while queries end
	// early.
	Slack float64
	// Gain is the largest change of the limit per ended query.
	Gain float64
	// AverageWeight is the weight of a new sample in the moving average of the
	// deadline fraction that queries take.
	AverageWeight float64
	// Shares is the fraction of the limit up to which each priority is admitted.
	// High exceeds 1 so that it finds room when other priorities fill the limit.
	Shares [priorityCount]float64
}

// DefaultConfig returns the production configuration.
func DefaultConfig() Config {
	return Config{
		MaxQueries:           4096,
		MinLimit:             2,
		Initial:              5,
		DesiredDeadlineShare: 0.55,
		Slack:                10,
		Gain:                 0.2,
		AverageWeight:        0.2,
		Shares:               [priorityCount]float64{Low: 0.75, Normal: 1, High: 1.5},
	}
}

// Outcome describes how an admitted query ended.
type Outcome struct {
	// WithinCapacity is true unless overload made the answer incomplete or late. A
	// query that failed for another reason counts as within capacity.
	WithinCapacity bool
	// Elapsed is the duration of the query, Deadline the time allowed for it.
	Elapsed, Deadline time.Duration
}

// State limits the concurrent queries of one gateway. The limit adapts to the
// fraction of the deadline that queries take. Since a query is admitted as
// another ends, the admission rate follows the targets' throughput without
// knowing their capacity. State is not safe for concurrent use.
type State struct {
	config  Config
	running int
	limit   float64
	// deadlineShare is the moving average of the fraction of the deadline that
	// queries take.
	deadlineShare float64
}

// New returns a state with the initial limit.
func New(config Config) *State { return &State{config: config, limit: config.Initial} }

// Running returns the number of admitted queries that have not ended.
func (s *State) Running() int { return s.running }

// Limit returns the current adaptive limit, without slack.
func (s *State) Limit() float64 { return s.limit }

// slack returns the factor that widens the limit while queries take less time
// than under overload, so that a random burst is not refused.
func (s *State) slack() float64 {
	if s.deadlineShare <= 0 {
		return s.config.Slack
	}
	return min(max(s.config.DesiredDeadlineShare/s.deadlineShare, 1), s.config.Slack)
}

// Admit reports whether a query is admitted. Each admitted query must be ended
// with Finish.
func (s *State) Admit(rng *rand.Rand, priority Priority) bool {
	if s.running >= s.config.MaxQueries {
		return false
	}
	// The fractional part of the limit is applied as a probability. With a limit of
	// only a few queries, whole steps would change it by a third or more.
	room := s.limit*s.slack()*s.config.Shares[priority] - float64(s.running)
	if room < 1 && rng.Float64() >= room {
		return false
	}
	s.running++
	return true
}

// Finish records the end of an admitted query and adapts the limit.
func (s *State) Finish(outcome Outcome) {
	atLimit := float64(s.running) >= s.limit
	s.running--
	deadlineShare := 1.0
	if outcome.WithinCapacity && outcome.Deadline > 0 {
		deadlineShare = min(float64(outcome.Elapsed)/float64(outcome.Deadline), 1)
	}
	s.deadlineShare += s.config.AverageWeight * (deadlineShare - s.deadlineShare)
	step := s.config.Gain * max((s.config.DesiredDeadlineShare-deadlineShare)/s.config.DesiredDeadlineShare, -1)
	if step > 0 && !atLimit {
		return
	}
	s.limit = min(max(s.limit+step, s.config.MinLimit), float64(s.config.MaxQueries))
}
