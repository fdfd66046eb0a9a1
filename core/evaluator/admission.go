package evaluator

import (
	"math/rand/v2"
	"sync"

	"jackdawcart.org/core/admitter"
)

// admissionControl decides which queries one gateway admits; mu guards the other fields.
type admissionControl struct {
	mu    sync.Mutex
	state *admitter.State
	rng   *rand.Rand
}

// admitQuery reports whether the gateway admits a query of the priority.
func (g *gateway) admitQuery(priority admitter.Priority) bool {
	if g.admission == nil {
		return true
	}
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	return g.admission.state.Admit(g.admission.rng, priority)
}

// finishQuery passes the outcome of an admitted query to admission control.
func (g *gateway) finishQuery(outcome admitter.Outcome) {
	if g.admission == nil {
		return
	}
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	g.admission.state.Finish(outcome)
}
