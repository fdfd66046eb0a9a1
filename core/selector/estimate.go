package selector

import (
	"math"
	"math/rand/v2"
	"time"
)

// score estimates the time that another request to the candidate would take.
// The candidate with the lowest score is preferred.
func (s *State) score(now time.Time, c Candidate) float64 {
	t := s.statsFor(c.Target)
	t.slots = c.Slots
	score := float64(s.latency(now, t)) * loadFactor(t.outstanding(now)+1, c.Slots)
	if !c.Local {
		score *= s.config.RemotePenalty
	}
	if c.Penalty > 0 {
		score *= c.Penalty
	}
	if age := now.Sub(c.Since); age < s.config.Ramp {
		score *= 1 + 3*(1-float64(max(age, 0))/float64(s.config.Ramp))
	}
	return score
}

// latency returns the expected latency of a target without other load: the
// highest of the values known to this process and to the relays, so that a
// gateway avoids a slow target without having used it.
func (s *State) latency(now time.Time, t *stats) time.Duration {
	latency := s.config.InitialLatency
	if t.latency > 0 {
		latency = s.decayed(now, t.latency, t.sampledAt)
	}
	for _, o := range t.owners {
		latency = max(latency, s.decayed(now, o.latency, o.latencyChangedAt))
	}
	return latency
}

// decayFloorShare is the share of the typical latency that a high latency
// decays to, so that a target without recent samples becomes attractive and
// is tried again.
const decayFloorShare = 0.8

// decayed returns a latency decayed by the time since its last sample.
func (s *State) decayed(now time.Time, latency time.Duration, sampled time.Time) time.Duration {
	baseline := s.typicalLatency
	if baseline == 0 {
		baseline = s.config.InitialLatency
	}
	if latency <= baseline || s.config.LatencyHalfLife <= 0 {
		return latency
	}
	baseline = time.Duration(decayFloorShare * float64(baseline))
	halfLives := float64(now.Sub(sampled)) / float64(s.config.LatencyHalfLife)
	return baseline + time.Duration(float64(latency-baseline)*math.Exp2(-halfLives))
}

// occupancyWeight is the effect of occupied slots on the load factor, so that
// among targets with an idle slot the one with more idle slots is preferred.
const occupancyWeight = 0.2

// loadFactor returns the factor by which a request takes longer at a target
// with the given number of requests than alone.
func loadFactor(requests float64, slots int) float64 {
	perSlot := requests / float64(max(slots, 1))
	return 1 + occupancyWeight*min(perSlot, 1) + max(perSlot-1, 0)
}

// outstanding estimates the number of requests that all relays have at the
// target.
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

// meanOutstanding returns the mean number of requests that all relays have at
// the target.
func (t *stats) meanOutstanding() float64 {
	var sum float64
	for _, o := range t.owners {
		sum += o.meanLoad
	}
	return sum
}

// Owner returns the relay that has the fewest requests at a target. Ties are
// broken in favour of a randomly chosen owner.
func (s *State) Owner(now time.Time, rng *rand.Rand, target string, owners []string) string {
	t := s.statsFor(target)
	best := owners[rng.IntN(len(owners))]
	for _, owner := range owners {
		if t.requestsVia(now, owner) < t.requestsVia(now, best) {
			best = owner
		}
	}
	return best
}

func (t *stats) requestsVia(now time.Time, owner string) float64 {
	if o, ok := t.owners[owner]; ok {
		return o.estimate(now)
	}
	return 0
}

// Overloaded reports whether the queue of a relay for the target is at least as
// long as the relay's concurrency limit.
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
