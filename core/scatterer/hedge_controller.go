package scatterer

import (
	"sync"
	"time"

	"jackdawcart.org/core/hedger"
)

// hedgeController holds the hedge delay and budget of the whole gateway or, if
// shared is set, the budget of one service. It is safe for concurrent use.
type hedgeController struct {
	config hedger.Config
	shared *hedgeController

	mu    sync.Mutex
	state *hedger.State
	// hasOwnBudget is true if the document sets a lower budget than the gateway's.
	hasOwnBudget bool
}

func newHedgeController(config hedger.Config, shared *hedgeController) *hedgeController {
	return &hedgeController{config: config, shared: shared, state: hedger.New(config)}
}

// setBudget applies the hedge budget of a document; 0 selects the gateway's.
func (h *hedgeController) setBudget(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasOwnBudget = share > 0 && share < h.config.Budget
	if h.hasOwnBudget {
		h.state.SetBudget(share)
	}
}

func (h *hedgeController) observe(now time.Time, latency time.Duration) {
	if h.shared != nil {
		h.shared.observe(now, latency)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Observe(now, latency)
}

// deposit adds budget for new sub-requests and returns their hedge delay.
func (h *hedgeController) deposit(subs int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Deposit(subs)
	if h.shared != nil {
		return h.shared.deposit(subs)
	}
	return h.state.Delay()
}

func (h *hedgeController) withdraw() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shared == nil {
		return h.state.Withdraw()
	}
	if h.hasOwnBudget && !h.state.Withdraw() {
		return false
	}
	if h.shared.withdraw() {
		return true
	}
	if h.hasOwnBudget {
		h.state.Refund()
	}
	return false
}

func (h *hedgeController) refund() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Refund()
	if h.shared != nil {
		h.shared.refund()
	}
}
