// Package hedger decides when a late sub-request is sent to a second replica,
// within a budget that hedges share with retries.
package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config holds the constants of hedging.
type Config struct {
	// Quantile of the recent latencies, in percent, after which a sub-request
	// is hedged.
	Quantile float64
	// MinDelay keeps hedges from doubling the load of a very fast service.
	MinDelay time.Duration
	// InitialDelay is used until enough latencies are known.
	InitialDelay time.Duration
	// Window is the period over which latencies are collected.
	Window time.Duration
	// Budget is the share of sub-requests that may be sent again.
	Budget float64
	// Burst is the most hedges that an unused budget allows at once. The budget
	// starts empty, so that the share holds from the first sub-request on.
	Burst float64
}

// DefaultConfig returns the constants used in production.
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

// minSamples is the number of latencies below which a quantile is not trusted.
const minSamples = 50

const (
	shortestLatency = int64(10 * time.Microsecond)
	longestLatency  = int64(30 * time.Second)
	significance    = 2
)

// State holds the latencies and the budget of one service. It is not safe for
// concurrent use.
type State struct {
	config  Config
	tokens  float64
	current *hdrhistogram.Histogram
	since   time.Time
	delay   time.Duration
}

// New returns a state with an empty budget.
func New(config Config) *State {
	return &State{
		config:  config,
		current: hdrhistogram.New(shortestLatency, longestLatency, significance),
		delay:   config.InitialDelay,
	}
}

// SetBudget changes the share of sub-requests that may be sent again.
func (s *State) SetBudget(share float64) { s.config.Budget = share }

// Observe takes the latency of a sub-request into account.
func (s *State) Observe(now time.Time, latency time.Duration) {
	s.rotate(now)
	// Values outside of the histogram's range are clamped, so the error that
	// RecordValue returns for them cannot occur.
	_ = s.current.RecordValue(min(max(int64(latency), shortestLatency), longestLatency))
}

func (s *State) rotate(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	// A window of a rarely asked service lasts until its quantile is known.
	if now.Sub(s.since) < s.config.Window || s.current.TotalCount() < minSamples {
		return
	}
	quantile := time.Duration(s.current.ValueAtQuantile(s.config.Quantile))
	s.delay = max(quantile, s.config.MinDelay)
	s.current.Reset()
	s.since = now
}

// Delay returns how long after its start a sub-request is hedged.
func (s *State) Delay() time.Duration { return s.delay }

// Deposit earns budget for sub-requests sent the first time.
func (s *State) Deposit(subs int) {
	s.tokens = min(s.tokens+float64(subs)*s.config.Budget, s.config.Burst)
}

// Withdraw takes the budget for one hedge or retry, if there is any.
func (s *State) Withdraw() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Refund returns the budget of a hedge or retry that reached no target.
func (s *State) Refund() { s.tokens = min(s.tokens+1, s.config.Burst) }
