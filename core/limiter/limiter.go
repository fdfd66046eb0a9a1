// Package limiter adapts the number of requests that run concurrently at one
// target and bounds the queue in front of it.
package limiter

import (
	"math"
	"time"
)

// Config configures the concurrency limit of a target.
type Config struct {
	// Min and Max bound the concurrency limit.
	Min, Max float64
	// Initial is the limit before any latency has been observed.
	Initial float64
	// LatencyTolerance is the ratio of the mean latency to the baseline above which
	// the limit shrinks.
	LatencyTolerance float64
	// MinSamples is the number of latencies that a window needs before the mean
	// counts towards the baseline. Single latencies vary by more than the tolerance
	// even at a target that is not loaded.
	MinSamples int
	// Backoff is the factor applied to the limit when the target is overloaded.
	Backoff float64
	// QueuePerSlot bounds the queue length as a multiple of the limit.
	QueuePerSlot float64
	// BaselineWindow is the period over which the lowest mean latency is tracked.
	// The baseline covers the current and the previous window.
	BaselineWindow time.Duration
}

// DefaultConfig returns the configuration for a target with the given slots that
// is shared by the given number of relays. Each relay may run twice as many
// requests as there are slots: limited to its own share, it would leave slots
// idle during round trips or while requests queue at another relay.
func DefaultConfig(slots, owners int) Config {
	maxLimit := 2 * max(float64(slots), 1)
	return Config{
		Min:              max(float64(slots)/float64(max(owners, 1)), 1),
		Max:              maxLimit,
		Initial:          maxLimit,
		LatencyTolerance: 4,
		MinSamples:       20,
		Backoff:          0.7,
		QueuePerSlot:     8,
		BaselineWindow:   10 * time.Second,
	}
}

// Decision is the result of offering a request.
type Decision int

// Decisions.
const (
	Run Decision = iota
	Queue
	Drop
)

// State is the concurrency limit of one target as seen by one relay. It is not
// safe for concurrent use.
type State struct {
	config   Config
	limit    float64
	inFlight int
	queued   int
	// windowMin and previousWindowMin are the lowest mean latencies of the current
	// and the previous window.
	windowMin         time.Duration
	previousWindowMin time.Duration
	windowStart       time.Time
	samples           int
	latency           time.Duration
	lastSample        time.Time
	lastBackoff       time.Time
}

// New returns the state of a target without running requests.
func New(config Config) *State {
	return &State{config: config, limit: config.Initial}
}

// InFlight returns the number of running requests.
func (s *State) InFlight() int { return s.inFlight }

// Queued returns the number of queued requests.
func (s *State) Queued() int { return s.queued }

// Limit returns the current concurrency limit.
func (s *State) Limit() int { return max(int(s.limit+0.5), 1) }

// Latency returns the moving average of the target's latency.
func (s *State) Latency() time.Duration { return s.latency }

// Offer decides whether a request with the given time left runs, queues or is
// dropped.
func (s *State) Offer(timeLeft time.Duration) Decision {
	if s.inFlight < s.Limit() {
		s.inFlight++
		return Run
	}
	if float64(s.queued) >= s.limit*s.config.QueuePerSlot || s.EstimatedLatency() > timeLeft {
		return Drop
	}
	s.queued++
	return Queue
}

// EstimatedLatency estimates the total latency of a request queued now.
func (s *State) EstimatedLatency() time.Duration {
	rounds := float64(s.queued)/float64(s.Limit()) + 1
	return time.Duration(rounds * float64(s.latency))
}

// StartQueued moves a queued request to running if the limit permits, and
// reports whether it did.
func (s *State) StartQueued() bool {
	if s.queued == 0 || s.inFlight >= s.Limit() {
		return false
	}
	s.queued--
	s.inFlight++
	return true
}

// RemoveQueued removes a dropped or cancelled request from the queue count.
func (s *State) RemoveQueued() { s.queued-- }

// Done records the end of a running request and adapts the limit.
func (s *State) Done(now time.Time, latency time.Duration, overloaded bool) {
	s.inFlight--
	if overloaded {
		s.shrink(now)
		return
	}
	s.observe(now, latency)
	if base := s.baseline(); base > 0 && float64(s.latency) > s.config.LatencyTolerance*float64(base) {
		s.shrink(now)
		return
	}
	if s.inFlight+1 >= s.Limit() {
		s.limit = min(s.limit+1/s.limit, s.config.Max)
	}
}

// Release records the end of a running request whose outcome carries no
// information about load.
func (s *State) Release() { s.inFlight-- }

// Cancelled records the end of a running request that was cancelled after the
// given time, a lower bound of its latency. Without it, the latency of a slow
// target whose requests all lose to their hedges would never be observed.
func (s *State) Cancelled(now time.Time, elapsed time.Duration) {
	s.inFlight--
	if elapsed > s.latency {
		s.updateLatency(now, elapsed)
	}
}

// shrink lowers the limit at most once per mean latency, because requests
// already running under the higher limit report the same overload.
func (s *State) shrink(now time.Time) {
	if now.Sub(s.lastBackoff) < s.latency {
		return
	}
	s.lastBackoff = now
	s.limit = max(s.limit*s.config.Backoff, s.config.Min)
}

// latencyWeight is the minimum weight of a new sample in the moving average.
// latencyHalfLife is the interval without samples after which the old average
// counts half.
const (
	latencyWeight   = 0.1
	latencyHalfLife = time.Second
)

func (s *State) updateLatency(now time.Time, latency time.Duration) {
	weight := 1.0
	if s.latency > 0 {
		weight = max(latencyWeight, 1-math.Exp2(-float64(now.Sub(s.lastSample))/float64(latencyHalfLife)))
	}
	s.lastSample = now
	s.latency = time.Duration(weight*float64(latency) + (1-weight)*float64(s.latency))
}

func (s *State) observe(now time.Time, latency time.Duration) {
	s.updateLatency(now, latency)
	if now.Sub(s.windowStart) >= s.config.BaselineWindow {
		s.previousWindowMin, s.windowMin, s.windowStart, s.samples = s.windowMin, 0, now, 0
	}
	s.samples++
	if s.samples >= s.config.MinSamples && (s.windowMin == 0 || s.latency < s.windowMin) {
		s.windowMin = s.latency
	}
}

// baseline returns the lowest mean latency of the current and the previous
// window, or 0 if unknown.
func (s *State) baseline() time.Duration {
	if s.windowMin == 0 || (s.previousWindowMin > 0 && s.previousWindowMin < s.windowMin) {
		return s.previousWindowMin
	}
	return s.windowMin
}
