// Package selector chooses the replica that a sub-request goes to, from what
// the tier itself sees of each target.
package selector

import (
	"math/rand/v2"
	"time"
)

// Config holds the constants of replica choice.
type Config struct {
	// LatencyWeight is the weight of a new sample in the moving average.
	LatencyWeight float64
	// InitialLatency stands in for a target without samples.
	InitialLatency time.Duration
	// Ramp is how long a new target takes to reach its full share.
	Ramp time.Duration
	// EjectAfter is the number of failures in a row that sets a target aside.
	EjectAfter int
	// EjectFor is how long a target is set aside the first time; it doubles up
	// to EjectMax while the target keeps failing.
	EjectFor time.Duration
	EjectMax time.Duration
	// MaxEjected is the largest share of a shard's replicas that is set aside.
	MaxEjected float64
	// RemotePenalty multiplies the score of replicas in other failure domains.
	RemotePenalty float64
	// Random switches the comparison of replicas off, for comparison.
	Random bool
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		LatencyWeight:  0.2,
		InitialLatency: 10 * time.Millisecond,
		Ramp:           5 * time.Second,
		EjectAfter:     3,
		EjectFor:       500 * time.Millisecond,
		EjectMax:       15 * time.Second,
		MaxEjected:     0.5,
		RemotePenalty:  1.5,
	}
}

// Candidate is a replica that could answer.
type Candidate struct {
	Target string
	// Local is true for a target in the gateway's own failure domain.
	Local bool
	// Since is when the target began to serve.
	Since time.Time
}

// Load is a relay's view of a target, sent with each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
}

// State holds the statistics of the targets of one service. It is not safe
// for concurrent use.
type State struct {
	config  Config
	targets map[string]*stats
}

type stats struct {
	inFlight     int
	latency      time.Duration
	load         Load
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// New returns an empty state.
func New(config Config) *State {
	return &State{config: config, targets: make(map[string]*stats)}
}

// Pick returns the index of the chosen candidate, leaving out those for which
// skip reports true. It returns false when none is left.
func (s *State) Pick(now time.Time, rng *rand.Rand, candidates []Candidate, skip func(target string) bool) (int, bool) {
	usable := s.usable(now, candidates, skip)
	if len(usable) == 0 {
		return 0, false
	}
	if len(usable) == 1 {
		return usable[0], true
	}
	// Two random choices avoid that all gateways pick the same target on the
	// same stale load.
	i := rng.IntN(len(usable))
	if s.config.Random {
		return usable[i], true
	}
	j := rng.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	a, b := usable[i], usable[j]
	if s.score(now, candidates[b]) < s.score(now, candidates[a]) {
		return b, true
	}
	return a, true
}

// usable drops ejected candidates, but never more than the allowed share, so
// that a misleading signal cannot empty a set.
func (s *State) usable(now time.Time, candidates []Candidate, skip func(string) bool) []int {
	var healthy, ejected []int
	for i, c := range candidates {
		if skip != nil && skip(c.Target) {
			continue
		}
		if s.Ejected(now, c.Target) {
			ejected = append(ejected, i)
			continue
		}
		healthy = append(healthy, i)
	}
	allowed := int(float64(len(candidates)) * s.config.MaxEjected)
	if excess := len(ejected) - allowed; excess > 0 {
		healthy = append(healthy, s.leastEjected(ejected, candidates, excess)...)
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// leastEjected returns the n ejected candidates whose ejection ends first.
func (s *State) leastEjected(ejected []int, candidates []Candidate, n int) []int {
	chosen := make([]int, 0, n)
	for range n {
		best := -1
		for k, i := range ejected {
			if i < 0 {
				continue
			}
			if best < 0 || s.until(candidates[i]).Before(s.until(candidates[ejected[best]])) {
				best = k
			}
		}
		chosen = append(chosen, ejected[best])
		ejected[best] = -1
	}
	return chosen
}

func (s *State) until(c Candidate) time.Time { return s.get(c.Target).ejectedUntil }

// Ejected reports whether a target is set aside as an outlier.
func (s *State) Ejected(now time.Time, target string) bool {
	t, ok := s.targets[target]
	return ok && now.Before(t.ejectedUntil)
}

// score estimates the time that a further request would take.
func (s *State) score(now time.Time, c Candidate) float64 {
	t := s.get(c.Target)
	latency := t.latency
	if latency == 0 {
		latency = s.config.InitialLatency
	}
	waiting := float64(t.inFlight+1) + float64(t.load.Queued)
	score := waiting * float64(latency)
	if !c.Local {
		score *= s.config.RemotePenalty
	}
	if age := now.Sub(c.Since); age < s.config.Ramp {
		score *= 1 + 3*(1-float64(max(age, 0))/float64(s.config.Ramp))
	}
	return score
}

// Started counts a request sent to a target.
func (s *State) Started(target string) { s.get(target).inFlight++ }

// Succeeded counts an answer and its latency.
func (s *State) Succeeded(target string, latency time.Duration, load Load) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.load = load
	t.failures = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
	s.observe(t, latency)
}

// Cancelled counts a request that was given up after the given time, which is
// a lower bound of its latency.
func (s *State) Cancelled(target string, elapsed time.Duration) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	if elapsed > t.latency {
		s.observe(t, elapsed)
	}
}

// Released counts the end of a request that says nothing about the target's health.
func (s *State) Released(target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
}

// Report takes over a relay's view of a target.
func (s *State) Report(target string, load Load) { s.get(target).load = load }

// Failed counts a failure; several in a row set the target aside.
func (s *State) Failed(now time.Time, target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.failures++
	if t.failures < s.config.EjectAfter {
		return
	}
	t.failures = 0
	period := s.config.EjectFor << min(t.ejections, 10)
	t.ejections++
	t.ejectedUntil = now.Add(min(period, s.config.EjectMax))
}

func (s *State) observe(t *stats, latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	w := s.config.LatencyWeight
	t.latency = time.Duration(w*float64(latency) + (1-w)*float64(t.latency))
}

func (s *State) get(target string) *stats {
	t, ok := s.targets[target]
	if !ok {
		t = &stats{}
		s.targets[target] = t
	}
	return t
}

// Retain forgets every target that keep does not report.
func (s *State) Retain(keep func(target string) bool) {
	for target := range s.targets {
		if !keep(target) {
			delete(s.targets, target)
		}
	}
}
