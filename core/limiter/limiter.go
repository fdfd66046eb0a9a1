// Package limiter bounds the requests that run at one target and the queue in
// front of it.
package limiter

import (
	"math"
	"time"
)

// Config holds the constants of a target's limit.
type Config struct {
	// Min and Max bound the limit.
	Min, Max float64
	// Initial is the limit before anything is known.
	Initial float64
	// Tolerance is the multiple of the lowest recent mean latency above which
	// the limit shrinks.
	Tolerance float64
	// Samples is the number of latencies before their mean is trusted. Single
	// latencies vary by more than the tolerance at a target that is not loaded.
	Samples int
	// Backoff multiplies the limit when the target is overloaded.
	Backoff float64
	// QueuePerSlot bounds the queue to this multiple of the limit.
	QueuePerSlot float64
	// Window is the period after which the lowest latency is forgotten.
	Window time.Duration
}

// DefaultConfig returns the constants for a target of the given slots that is
// shared by the given number of relays. Each relay may fill all slots twice:
// with only its share, a slot idles during a round trip, or while the queue
// waits at the other relay.
func DefaultConfig(slots, owners int) Config {
	all := 2 * max(float64(slots), 1)
	return Config{
		Min:          max(float64(slots)/float64(max(owners, 1)), 1),
		Max:          all,
		Initial:      all,
		Tolerance:    4,
		Samples:      20,
		Backoff:      0.7,
		QueuePerSlot: 8,
		Window:       10 * time.Second,
	}
}

// Decision says what happens to an offered request.
type Decision int

// Decisions.
const (
	Run Decision = iota
	Queue
	Drop
)

// State is the limit of one target as seen by one relay. It is not safe for
// concurrent use.
type State struct {
	config   Config
	limit    float64
	inFlight int
	queued   int
	// lowest and previous are the lowest means of this window and the last one.
	lowest   time.Duration
	previous time.Duration
	since    time.Time
	samples  int
	latency  time.Duration
	sampled  time.Time
	backedAt time.Time
}

// New returns a state for a target that nothing runs at.
func New(config Config) *State {
	return &State{config: config, limit: config.Initial}
}

// InFlight returns the number of requests that run.
func (s *State) InFlight() int { return s.inFlight }

// Queued returns the number of requests that wait.
func (s *State) Queued() int { return s.queued }

// Limit returns the number of requests that may run at once.
func (s *State) Limit() int { return max(int(s.limit+0.5), 1) }

// Latency returns the recent latency of the target.
func (s *State) Latency() time.Duration { return s.latency }

// Offer decides on a request that has the given time left.
func (s *State) Offer(timeLeft time.Duration) Decision {
	if s.inFlight < s.Limit() {
		s.inFlight++
		return Run
	}
	if float64(s.queued) >= s.limit*s.config.QueuePerSlot || s.Wait() > timeLeft {
		return Drop
	}
	s.queued++
	return Queue
}

// Wait estimates how long a request would take that is queued now.
func (s *State) Wait() time.Duration {
	rounds := float64(s.queued)/float64(s.Limit()) + 1
	return time.Duration(rounds * float64(s.latency))
}

// Next reports whether a queued request may start, and counts it as running.
func (s *State) Next() bool {
	if s.queued == 0 || s.inFlight >= s.Limit() {
		return false
	}
	s.queued--
	s.inFlight++
	return true
}

// Abandon counts a queued request that was dropped or cancelled.
func (s *State) Abandon() { s.queued-- }

// Done counts the end of a running request and adapts the limit.
func (s *State) Done(now time.Time, latency time.Duration, overloaded bool) {
	s.inFlight--
	if overloaded {
		s.shrink(now)
		return
	}
	s.observe(now, latency)
	if base := s.baseline(); base > 0 && float64(s.latency) > s.config.Tolerance*float64(base) {
		s.shrink(now)
		return
	}
	if s.inFlight+1 >= s.Limit() {
		s.limit = min(s.limit+1/s.limit, s.config.Max)
	}
}

// Release counts the end of a running request that says nothing about load.
func (s *State) Release() { s.inFlight-- }

// Cancelled counts the end of a running request that was given up after the
// given time, a lower bound of its latency. Without it the latency of a slow
// target, whose requests all lose against their hedges, would never be seen.
func (s *State) Cancelled(now time.Time, elapsed time.Duration) {
	s.inFlight--
	if elapsed > s.latency {
		s.average(now, elapsed)
	}
}

// shrink lowers the limit at most once per recent latency, because the
// requests that already ran at the higher limit report the same overload.
func (s *State) shrink(now time.Time) {
	if now.Sub(s.backedAt) < s.latency {
		return
	}
	s.backedAt = now
	s.limit = max(s.limit*s.config.Backoff, s.config.Min)
}

// latencyWeight is the weight of a new sample in the moving average;
// latencyLife is the pause after which a sample counts half.
const (
	latencyWeight = 0.1
	latencyLife   = time.Second
)

func (s *State) average(now time.Time, latency time.Duration) {
	weight := 1.0
	if s.latency > 0 {
		weight = max(latencyWeight, 1-math.Exp2(-float64(now.Sub(s.sampled))/float64(latencyLife)))
	}
	s.sampled = now
	s.latency = time.Duration(weight*float64(latency) + (1-weight)*float64(s.latency))
}

func (s *State) observe(now time.Time, latency time.Duration) {
	s.average(now, latency)
	if now.Sub(s.since) >= s.config.Window {
		s.previous, s.lowest, s.since, s.samples = s.lowest, 0, now, 0
	}
	s.samples++
	if s.samples >= s.config.Samples && (s.lowest == 0 || s.latency < s.lowest) {
		s.lowest = s.latency
	}
}

// baseline returns the lowest mean latency of the last two windows, 0 if none
// is known.
func (s *State) baseline() time.Duration {
	if s.lowest == 0 || (s.previous > 0 && s.previous < s.lowest) {
		return s.previous
	}
	return s.lowest
}
