package evaluator

import (
	"math/rand/v2"
	"sync"

	"jackdawcart.org/core/admitter"
)

// admission guards the admitter of one gateway.
type admission struct {
	mu    sync.Mutex
	state *admitter.State
	rng   *rand.Rand
}

func (g *gateway) admitted(priority admitter.Priority) bool {
	if g.admit == nil {
		return true
	}
	g.admit.mu.Lock()
	defer g.admit.mu.Unlock()
	return g.admit.state.Admit(g.admit.rng, priority)
}

func (g *gateway) ended(outcome admitter.Outcome) {
	if g.admit == nil {
		return
	}
	g.admit.mu.Lock()
	defer g.admit.mu.Unlock()
	g.admit.state.Finish(outcome)
}
