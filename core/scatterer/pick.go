package scatterer

import (
	"time"

	"jackdawcart.org/core/selector"
)

// pick selects a replica that this sub-request has not tried yet, and one of its
// relays.
func (q *query) pick(s *sub, now time.Time) (*attempt, bool) {
	candidates := make([]selector.Candidate, len(s.shard.Replicas))
	for i, r := range s.shard.Replicas {
		candidates[i] = selector.Candidate{
			Target: r.Target,
			Local:  r.FailureDomain == q.engine.config.FailureDomain,
			Since:  r.Since,
			Slots:  r.Slots,
		}
	}
	state := s.part.state
	state.mu.Lock()
	defer state.mu.Unlock()
	chosen, ok := state.selector.Pick(now, state.rng, candidates, s.tried)
	if !ok {
		return nil, false
	}
	replica := s.shard.Replicas[chosen]
	owner := state.selector.Owner(now, state.rng, replica.Target, replica.Owners)
	loadFactor := state.selector.Started(now, candidates[chosen], owner)
	return &attempt{replica: replica, relay: owner, loadFactor: loadFactor, sentAt: now}, true
}

func (s *sub) tried(target string) bool {
	for _, a := range s.attempts {
		if a.replica.Target == target {
			return true
		}
	}
	return false
}
