// Package hedger decides when a late sub-request is also sent to a second
// replica, within a budget that hedges share with retries.
package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config holds the parameters of hedging.
type Config struct {
	// Quantile is the percentile of the recent latencies after which a
	// sub-request is hedged.
	Quantile float64
	// MinDelay is the lower bound of the delay. It keeps hedges from doubling
	// the load of a very fast service.
	MinDelay time.Duration
	// InitialDelay is the delay until enough latencies are known.
	InitialDelay time.Duration
	// Window is the minimum period over which latencies are collected.
	Window time.Duration
	// Budget is the share of sub-requests that may be sent again.
	Budget float64
	// Burst is the most hedges that accumulated budget allows at once. The
	// budget starts empty, so that the share holds from the first sub-request
	// on.
	Burst float64
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{
		Quantile:     95,
		MinDelay:     2 * time.Millisecond,
		InitialDelay: 40 * time.Millisecond,
		Window:       time.Second,
		Budget:       0.05,
		Burst:        10,
	}
}

// minSamples is the number of latencies that a quantile needs to be
// meaningful.
const minSamples = 50

const (
	shortestLatency   = int64(10 * time.Microsecond)
	longestLatency    = int64(30 * time.Second)
	significantDigits = 2
)

// State holds the latencies and the hedge budget of one service. It is not
// safe for concurrent use.
type State struct {
	config      Config
	tokens      float64
	latencies   *hdrhistogram.Histogram
	windowStart time.Time
	delay       time.Duration
}

// New returns a state with an empty budget.
func New(config Config) *State {
	return &State{
		config:    config,
		latencies: hdrhistogram.New(shortestLatency, longestLatency, significantDigits),
		delay:     config.InitialDelay,
	}
}

// SetBudget changes the share of sub-requests that may be sent again.
func (s *State) SetBudget(share float64) { s.config.Budget = share }

// Observe records the latency of a sub-request.
func (s *State) Observe(now time.Time, latency time.Duration) {
	s.rotate(now)
	// Clamping keeps the value in the range of the histogram, so RecordValue
	// cannot return an error.
	_ = s.latencies.RecordValue(min(max(int64(latency), shortestLatency), longestLatency))
}

func (s *State) rotate(now time.Time) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	// For a service with little traffic, the window lasts until it holds
	// enough samples.
	if now.Sub(s.windowStart) < s.config.Window || s.latencies.TotalCount() < minSamples {
		return
	}
	quantile := time.Duration(s.latencies.ValueAtQuantile(s.config.Quantile))
	s.delay = max(quantile, s.config.MinDelay)
	s.latencies.Reset()
	s.windowStart = now
}

// Delay returns the time after its start at which a sub-request is hedged.
func (s *State) Delay() time.Duration { return s.delay }

// Deposit adds the budget earned by first attempts of sub-requests.
func (s *State) Deposit(subs int) {
	s.tokens = min(s.tokens+float64(subs)*s.config.Budget, s.config.Burst)
}

// Withdraw takes the budget for one hedge or retry and reports whether there
// was enough.
func (s *State) Withdraw() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Refund returns the budget of a hedge or retry that reached no target.
func (s *State) Refund() { s.tokens = min(s.tokens+1, s.config.Burst) }
