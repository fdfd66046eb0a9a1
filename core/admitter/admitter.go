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
	// Window is the period over which answers are counted.
	Window time.Duration
	// Headroom is the multiple of the served queries that is still admitted.
	Headroom float64
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{MaxQueries: 4096, Window: time.Second, Headroom: 1.1}
}

// State decides for one gateway. It is not safe for concurrent use.
type State struct {
	config  Config
	running int
	since   time.Time
	// Counts of the present window and of the last one, by priority.
	current, last [priorities]counts
}

type counts struct {
	offered, served float64
}

// New returns a state without history.
func New(config Config) *State { return &State{config: config} }

// Running returns the number of admitted queries that have not ended.
func (s *State) Running() int { return s.running }

// Admit decides on a query. Each admitted query must be ended by Done.
func (s *State) Admit(now time.Time, rng *rand.Rand, priority Priority) bool {
	s.rotate(now)
	s.current[priority].offered++
	if s.running >= s.config.MaxQueries {
		return false
	}
	if rng.Float64() < s.refusal(priority) {
		return false
	}
	s.running++
	return true
}

// refusal returns the share of a priority to refuse: what was served of all
// priorities goes to the highest first.
func (s *State) refusal(priority Priority) float64 {
	var served float64
	for _, c := range s.last {
		served += c.served
	}
	capacity := s.config.Headroom*served + 1
	for p := High; p > priority; p-- {
		capacity -= s.last[p].offered
	}
	offered := s.last[priority].offered
	if offered <= max(capacity, 0) {
		return 0
	}
	return 1 - max(capacity, 0)/offered
}

// Done ends an admitted query; served tells whether its answer was whole and
// in time. A query that failed for another reason than load counts as served.
func (s *State) Done(now time.Time, priority Priority, served bool) {
	s.rotate(now)
	s.running--
	if served {
		s.current[priority].served++
	}
}

func (s *State) rotate(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) < s.config.Window {
		return
	}
	s.last, s.current = s.current, [priorities]counts{}
	if now.Sub(s.since) >= 2*s.config.Window {
		s.last = [priorities]counts{}
	}
	s.since = now
}
