package evaluator

import (
	"math/rand/v2"
	"sync"
	"time"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/scatterer"
)

// admission guards the admitter of one gateway.
type admission struct {
	mu    sync.Mutex
	state *admitter.State
	rng   *rand.Rand
}

func (g *gateway) admitted(priority admitter.Priority, _ *scatterer.Request) bool {
	if g.admit == nil {
		return true
	}
	g.admit.mu.Lock()
	defer g.admit.mu.Unlock()
	return g.admit.state.Admit(time.Now(), g.admit.rng, priority)
}

func (g *gateway) ended(priority admitter.Priority, served bool) {
	if g.admit == nil {
		return
	}
	g.admit.mu.Lock()
	defer g.admit.mu.Unlock()
	g.admit.state.Done(time.Now(), priority, served)
}
