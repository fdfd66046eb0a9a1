// Package admitter accepts or refuses queries by priority before they reach
// any target.
package admitter

import (
	"math/rand/v2"
	"time"
)

// Priority orders queries; higher ones are refused last.
type Priority int

// Priorities.
const (
	Low Priority = iota
	Normal
	High
	priorities
)

// ParsePriority returns the priority of the given name, Normal if unknown.
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

// Config holds the constants of admission.
type Config struct {
	// MaxQueries bounds the queries that run at once in a gateway.
	MaxQueries int
	// MinLimit is the least number of queries that run at once under overload.
	MinLimit float64
	// Initial is the limit before anything is known.
	Initial float64
	// Target is the share of the deadline that queries take under overload. It
	// leaves room for a straggler behind the queue.
	Target float64
	// Slack is the most by which the limit widens while queries end early.
	Slack float64
	// Gain is the most that one answer changes the limit.
	Gain float64
	// UsedWeight is the weight of an answer in the moving average of the share
	// of the deadline that queries take.
	UsedWeight float64
	// Shares is the share of the limit up to which each priority is admitted.
	// High goes beyond the limit, so that it finds room while others fill it.
	Shares [priorities]float64
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		MaxQueries: 4096,
		MinLimit:   2,
		Initial:    5,
		Target:     0.55,
		Slack:      10,
		Gain:       0.2,
		UsedWeight: 0.2,
		Shares:     [priorities]float64{Low: 0.75, Normal: 1, High: 1.5},
	}
}

// Outcome is how an admitted query ended.
type Outcome struct {
	// Whole is true if the answer was complete and in time. A query that failed
	// for another reason than load counts as whole.
	Whole bool
	// Elapsed is how long the query took, Deadline the time that it had.
	Elapsed, Deadline time.Duration
}

// State decides for one gateway: it bounds the queries that run at once by a
// limit that follows the time they take. Each ended query makes room for the
// next, so the rate of admission follows what the targets serve, without
// knowing their capacity. It is not safe for concurrent use.
type State struct {
	config  Config
	running int
	limit   float64
	// used is the moving average of the share of the deadline used.
	used float64
}

// New returns a state without history.
func New(config Config) *State { return &State{config: config, limit: config.Initial} }

// Running returns the number of admitted queries that have not ended.
func (s *State) Running() int { return s.running }

// Limit returns the number of queries that run at once under overload.
func (s *State) Limit() float64 { return s.limit }

// slack widens the limit while queries take less time than under overload, so
// that a chance meeting of queries is not refused.
func (s *State) slack() float64 {
	if s.used <= 0 {
		return s.config.Slack
	}
	return min(max(s.config.Target/s.used, 1), s.config.Slack)
}

// Admit decides on a query. Each admitted query must be ended by Finish.
func (s *State) Admit(rng *rand.Rand, priority Priority) bool {
	if s.running >= s.config.MaxQueries {
		return false
	}
	// The fraction of the limit decides by chance, because a limit of a few
	// queries would otherwise change in steps of a third or more.
	room := s.limit*s.slack()*s.config.Shares[priority] - float64(s.running)
	if room < 1 && rng.Float64() >= room {
		return false
	}
	s.running++
	return true
}

// Finish ends an admitted query and adapts the limit.
func (s *State) Finish(outcome Outcome) {
	full := float64(s.running) >= s.limit
	s.running--
	used := 1.0
	if outcome.Whole && outcome.Deadline > 0 {
		used = min(float64(outcome.Elapsed)/float64(outcome.Deadline), 1)
	}
	s.used += s.config.UsedWeight * (used - s.used)
	step := s.config.Gain * max((s.config.Target-used)/s.config.Target, -1)
	if step > 0 && !full {
		return
	}
	s.limit = min(max(s.limit+step, s.config.MinLimit), float64(s.config.MaxQueries))
}
