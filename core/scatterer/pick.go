package scatterer

import (
	"time"

	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/selector"
)

// pick chooses a replica that has not been tried for this sub-request.
func (q *query) pick(s *sub, now time.Time) (*planner.Replica, bool) {
	candidates := make([]selector.Candidate, len(s.shard.Replicas))
	for i, r := range s.shard.Replicas {
		candidates[i] = selector.Candidate{
			Target: r.Target,
			Local:  r.FailureDomain == q.engine.config.FailureDomain,
			Since:  r.Since,
		}
	}
	state := s.part.state
	state.mu.Lock()
	defer state.mu.Unlock()
	chosen, ok := state.selector.Pick(now, state.rng, candidates, s.tried)
	if !ok {
		return nil, false
	}
	state.selector.Started(candidates[chosen].Target)
	return s.shard.Replicas[chosen], true
}

func (s *sub) tried(target string) bool {
	for _, a := range s.attempts {
		if a.replica.Target == target {
			return true
		}
	}
	return false
}

// owner chooses one of the relays that hold connections to a replica.
func (q *query) owner(state *serviceState, r *planner.Replica) string {
	if len(r.Owners) == 1 {
		return r.Owners[0]
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return r.Owners[state.rng.IntN(len(r.Owners))]
}
