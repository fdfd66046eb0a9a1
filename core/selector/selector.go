// Package selector chooses the replica that a sub-request goes to, from what
// the tier itself sees of each target.
package selector

import (
	"math"
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

// score estimates the time that a further request would take.
func (s *State) score(now time.Time, c Candidate) float64 {
	t := s.get(c.Target)
	t.slots = c.Slots
	score := float64(s.latency(now, t)) * crowding(t.outstanding(now)+1, c.Slots)
	if !c.Local {
		score *= s.config.RemotePenalty
	}
	if age := now.Sub(c.Since); age < s.config.Ramp {
		score *= 1 + 3*(1-float64(max(age, 0))/float64(s.config.Ramp))
	}
	return score
}

// latency returns the expected latency of a target that nothing else runs at:
// the highest of what this gateway and the relays know, so that a gateway that
// has not asked a slow target itself avoids it too.
func (s *State) latency(now time.Time, t *stats) time.Duration {
	latency := s.config.InitialLatency
	if t.latency > 0 {
		latency = s.faded(now, t.latency, t.sampled)
	}
	for _, o := range t.owners {
		latency = max(latency, s.faded(now, o.latency, o.since))
	}
	return latency
}

// probeShare of the usual latency is what a latency fades to, so that a target
// without samples becomes attractive and is tried again.
const probeShare = 0.8

// faded returns what counts of a latency that was last sampled some time ago.
func (s *State) faded(now time.Time, latency time.Duration, sampled time.Time) time.Duration {
	usual := s.typical
	if usual == 0 {
		usual = s.config.InitialLatency
	}
	if latency <= usual || s.config.LatencyLife <= 0 {
		return latency
	}
	usual = time.Duration(probeShare * float64(usual))
	lives := float64(now.Sub(sampled)) / float64(s.config.LatencyLife)
	return usual + time.Duration(float64(latency-usual)*math.Exp2(-lives))
}

// busyWeight makes a target with an idle slot better the more slots are idle.
const busyWeight = 0.2

// crowding returns by which factor a request takes longer among the given
// number of requests than alone.
func crowding(requests float64, slots int) float64 {
	perSlot := requests / float64(max(slots, 1))
	return 1 + busyWeight*min(perSlot, 1) + max(perSlot-1, 0)
}

// outstanding estimates the requests that all relays have at the target.
func (t *stats) outstanding(now time.Time) float64 {
	if len(t.owners) == 0 {
		return float64(t.inFlight)
	}
	var sum float64
	for _, o := range t.owners {
		sum += o.estimate(now)
	}
	return max(sum, float64(t.inFlight))
}

// usual returns the mean number of requests that all relays have at the target.
func (t *stats) usual() float64 {
	var sum float64
	for _, o := range t.owners {
		sum += o.mean
	}
	return sum
}

// Owner returns the relay with the least requests at a target, for its number
// of connections and with ties broken at random.
func (s *State) Owner(now time.Time, rng *rand.Rand, target string, owners []string) string {
	t := s.get(target)
	best := owners[rng.IntN(len(owners))]
	for _, owner := range owners {
		if t.waiting(now, owner) < t.waiting(now, best) {
			best = owner
		}
	}
	return best
}

func (t *stats) waiting(now time.Time, owner string) float64 {
	if o, ok := t.owners[owner]; ok {
		return o.estimate(now)
	}
	return 0
}

// Overloaded reports whether a relay queues requests for the target.
func (s *State) Overloaded(target string) bool {
	t, ok := s.targets[target]
	if !ok {
		return false
	}
	for _, o := range t.owners {
		if o.queued >= o.limit && o.limit > 0 {
			return true
		}
	}
	return false
}

// Started counts a request sent to a target through a relay. It returns the
// factor by which the load of the target lengthens the request, which is to be
// given back at its end.
func (s *State) Started(now time.Time, c Candidate, owner string) float64 {
	t := s.get(c.Target)
	factor := crowding(t.outstanding(now)+1, c.Slots)
	t.inFlight++
	if o, ok := t.owners[owner]; ok {
		o.sent++
	}
	return factor
}

// Succeeded counts an answer and its latency, of which the given factor is due
// to the load of the target.
func (s *State) Succeeded(now time.Time, target string, latency time.Duration, factor float64) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.failures = 0
	alone := time.Duration(float64(latency) / factor)
	if s.outlier(alone) {
		s.countLate(now, t, alone)
		return
	}
	t.late = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
	s.observe(now, t, alone)
	s.observeTypical(alone)
}

// Weights of a sample in the latency of all targets. It falls faster than it
// rises, so that a slow target, if asked first, does not set it for long.
const (
	typicalRise = 0.02
	typicalFall = 0.2
)

func (s *State) observeTypical(latency time.Duration) {
	if s.typical == 0 || latency < s.typical {
		s.typical = average(s.typical, latency, typicalFall)
		return
	}
	s.typical = average(s.typical, min(latency, 2*s.typical), typicalRise)
}

// outlier reports whether a latency is far above that of all targets.
func (s *State) outlier(latency time.Duration) bool {
	return s.typical > 0 && float64(latency) > s.config.OutlierFactor*float64(s.typical)
}

// countLate takes a latency far above the others into account. Several in a
// row set the target aside; one alone is a straggler.
func (s *State) countLate(now time.Time, t *stats, latency time.Duration) {
	s.observe(now, t, latency)
	t.late++
	if s.config.EjectLate > 0 && t.late >= s.config.EjectLate {
		s.eject(now, t)
	}
}

// lateFactor turns the time after which a request was given up into an
// estimate of the latency that it would have had.
const lateFactor = 2

// Cancelled counts a request that was given up after the given time, because
// another replica answered first or because the query ended. The true latency
// is never seen, so the time alone would keep the average near the hedge delay.
func (s *State) Cancelled(now time.Time, target string, elapsed time.Duration, factor float64) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	if alone := time.Duration(float64(lateFactor*elapsed) / factor); s.outlier(alone) {
		s.countLate(now, t, alone)
	}
}

// Released counts the end of a request that says nothing about the target's health.
func (s *State) Released(target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
}

// Report takes over a relay's view of a target.
func (s *State) Report(now time.Time, target, owner string, load Load) {
	t := s.get(target)
	if t.owners == nil {
		t.owners = make(map[string]*ownerLoad)
	}
	o, ok := t.owners[owner]
	if !ok {
		o = &ownerLoad{}
		t.owners[owner] = o
	}
	o.report(now, load)
	o.reportLatency(now, load.Latency, crowding(t.usual(), t.slots))
}

// Failed counts a failure; several in a row set the target aside.
func (s *State) Failed(now time.Time, target string) {
	t := s.get(target)
	t.inFlight = max(t.inFlight-1, 0)
	t.failures++
	if t.failures >= s.config.EjectAfter {
		s.eject(now, t)
	}
}

// eject sets a target aside, for longer each time that it fails again.
func (s *State) eject(now time.Time, t *stats) {
	t.failures, t.late = 0, 0
	period := s.config.EjectFor << min(t.ejections, 10)
	t.ejections++
	t.ejectedUntil = now.Add(min(period, s.config.EjectMax))
}

func (s *State) observe(now time.Time, t *stats, latency time.Duration) {
	if t.latency > 0 {
		t.latency = s.faded(now, t.latency, t.sampled)
	}
	t.sampled = now
	t.latency = average(t.latency, latency, s.config.LatencyWeight)
}

// average adds a sample to a moving average that begins with the first one.
func average(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return time.Duration(weight*float64(sample) + (1-weight)*float64(mean))
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
