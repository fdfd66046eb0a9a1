// Package selector chooses the replica for a sub-request from the latencies,
// failures and load observed at each target.
package selector

import (
	"math/rand/v2"
	"time"
)

// Config holds the parameters of replica selection.
type Config struct {
	// LatencyWeight is the weight of a new sample in the moving average.
	LatencyWeight float64
	// InitialLatency is the assumed latency of a target without samples.
	InitialLatency time.Duration
	// Ramp is the time in which the traffic of a new target rises to its full
	// share.
	Ramp time.Duration
	// LatencyHalfLife is the half-life of the excess of a target's latency
	// over the typical one while there are no samples, after which a target
	// that was slow is tried again.
	LatencyHalfLife time.Duration
	// EjectAfterFailures is the number of consecutive failures that ejects a
	// target.
	EjectAfterFailures int
	// OutlierFactor is the multiple of the typical latency of all targets
	// above which a latency counts as late.
	OutlierFactor float64
	// EjectAfterLate is the number of consecutive late requests that ejects a
	// target; 0 disables these ejections.
	EjectAfterLate int
	// EjectAgainAfterLate replaces EjectAfterLate for a target that has not
	// answered in time since its last ejection; 0 means no difference.
	EjectAgainAfterLate int
	// BaseEjectTime is the duration of the first ejection. It doubles up to
	// MaxEjectTime while the target keeps failing.
	BaseEjectTime time.Duration
	MaxEjectTime  time.Duration
	// MaxEjected is the largest share of a shard's replicas that is ejected
	// at the same time.
	MaxEjected float64
	// RemotePenalty multiplies the score of replicas in other failure domains.
	RemotePenalty float64
	// Choices is the number of random candidates that are compared.
	Choices int
	// Random disables the comparison of candidates and picks one at random,
	// as a baseline for evaluations.
	Random bool
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{
		LatencyWeight:      0.1,
		InitialLatency:     10 * time.Millisecond,
		Ramp:               5 * time.Second,
		LatencyHalfLife:    3 * time.Second,
		EjectAfterFailures: 3,
		OutlierFactor:      8,
		EjectAfterLate:     3,
		BaseEjectTime:      500 * time.Millisecond,
		MaxEjectTime:       15 * time.Second,
		MaxEjected:         0.5,
		RemotePenalty:      1.05,
		Choices:            3,
	}
}

// Candidate is a replica that can serve the request.
type Candidate struct {
	Target string
	// Local is true for a target that gets no RemotePenalty, usually one in
	// the failure domain of this process.
	Local bool
	// Penalty multiplies the score of the target; 0 means none.
	Penalty float64
	// Since is the time at which the target started to serve.
	Since time.Time
	// Slots is the number of requests that the target runs concurrently.
	Slots int
}

// State holds the statistics of the targets of one service. It is not safe
// for concurrent use.
type State struct {
	config  Config
	targets map[string]*stats
	// typicalLatency is a low estimate of the latency of the targets without
	// outliers.
	typicalLatency time.Duration
}

type stats struct {
	inFlight            int
	latency             time.Duration
	sampledAt           time.Time
	consecutiveLate     int
	slots               int
	owners              map[string]*ownerLoad
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// New returns an empty state.
func New(config Config) *State {
	return &State{config: config, targets: make(map[string]*stats)}
}

// Pick returns the index of the chosen candidate, excluding those for which
// skip returns true. It returns false if none is left.
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
	// Comparing a few random candidates avoids that all gateways pick the
	// same target from the same stale load.
	choices := min(max(s.config.Choices, 1), len(usable))
	rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	for _, i := range usable[1:choices] {
		if s.score(now, candidates[i]) < betterScoreRatio*s.score(now, candidates[best]) {
			best = i
		}
	}
	return best, true
}

// betterScoreRatio is the ratio to the best score below which another
// candidate replaces it. Between closer scores the random order decides, so
// that all of them stay in use.
const betterScoreRatio = 0.95

// usable returns the candidates that are not ejected. It ignores ejections
// beyond the allowed share, so that a misleading signal cannot exclude all
// replicas.
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

// leastEjected returns the n ejected candidates whose ejections end first.
func (s *State) leastEjected(ejected []int, candidates []Candidate, n int) []int {
	chosen := make([]int, 0, n)
	for range n {
		best := -1
		for k, i := range ejected {
			if i < 0 {
				continue
			}
			if best < 0 || s.ejectionEnd(candidates[i]).Before(s.ejectionEnd(candidates[ejected[best]])) {
				best = k
			}
		}
		chosen = append(chosen, ejected[best])
		ejected[best] = -1
	}
	return chosen
}

func (s *State) ejectionEnd(c Candidate) time.Time { return s.statsFor(c.Target).ejectedUntil }

// Ejected reports whether a target is ejected at the given time.
func (s *State) Ejected(now time.Time, target string) bool {
	t, ok := s.targets[target]
	return ok && now.Before(t.ejectedUntil)
}
