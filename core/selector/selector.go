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
	// LatencyLife is the time without a sample after which half of what a
	// target's latency has above that of all targets is forgotten, so that a
	// target that was slow is tried again.
	LatencyLife time.Duration
	// EjectAfter is the number of failures in a row that sets a target aside.
	EjectAfter int
	// OutlierFactor is the multiple of the latency of all targets from which a
	// latency counts as late.
	OutlierFactor float64
	// EjectLate is the number of late requests in a row that sets a target
	// aside; 0 means never.
	EjectLate int
	// EjectAgain is the same number for a target that has not answered in time
	// since it was last set aside; 0 means EjectLate.
	EjectAgain int
	// EjectFor is how long a target is set aside the first time; it doubles up
	// to EjectMax while the target keeps failing.
	EjectFor time.Duration
	EjectMax time.Duration
	// MaxEjected is the largest share of a shard's replicas that is set aside.
	MaxEjected float64
	// RemotePenalty multiplies the score of replicas in other failure domains.
	RemotePenalty float64
	// Choices is the number of random candidates that are compared.
	Choices int
	// Random switches the comparison of replicas off, for comparison.
	Random bool
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		LatencyWeight:  0.1,
		InitialLatency: 10 * time.Millisecond,
		Ramp:           5 * time.Second,
		LatencyLife:    3 * time.Second,
		EjectAfter:     3,
		OutlierFactor:  8,
		EjectLate:      3,
		EjectFor:       500 * time.Millisecond,
		EjectMax:       15 * time.Second,
		MaxEjected:     0.5,
		RemotePenalty:  1.05,
		Choices:        3,
	}
}

// Candidate is a replica that could answer.
type Candidate struct {
	Target string
	// Local is true for a target in the gateway's own failure domain.
	Local bool
	// Penalty multiplies the score of the target, 0 for none.
	Penalty float64
	// Since is when the target began to serve.
	Since time.Time
	// Slots is the number of requests that the target runs at once.
	Slots int
}

// State holds the statistics of the targets of one service. It is not safe
// for concurrent use.
type State struct {
	config  Config
	targets map[string]*stats
	// typical is a low latency of all targets that are not outliers.
	typical time.Duration
}

type stats struct {
	inFlight     int
	latency      time.Duration
	sampled      time.Time
	late         int
	slots        int
	owners       map[string]*ownerLoad
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
	first := rng.IntN(len(usable))
	if s.config.Random {
		return usable[first], true
	}
	// Few random choices avoid that all gateways pick the same target on the
	// same stale load.
	choices := min(max(s.config.Choices, 1), len(usable))
	rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	for _, i := range usable[1:choices] {
		if s.score(now, candidates[i]) < clearlyBetter*s.score(now, candidates[best]) {
			best = i
		}
	}
	return best, true
}

// clearlyBetter is the share of a score below which another one wins. Between
// closer ones chance decides, so that each keeps being tried.
const clearlyBetter = 0.95

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
