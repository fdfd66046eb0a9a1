package selector

import (
	"math"
	"math/rand/v2"
	"time"
)

// score estimates the time that a further request would take.
func (s *State) score(now time.Time, c Candidate) float64 {
	t := s.get(c.Target)
	t.slots = c.Slots
	score := float64(s.latency(now, t)) * crowding(t.outstanding(now)+1, c.Slots)
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
