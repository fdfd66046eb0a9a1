package scatterer

import (
	"sync"
	"time"

	"jackdawcart.org/core/hedger"
)

// hedges guards the hedge delay and budget of one service, or of all services
// of a gateway when shared is nil.
type hedges struct {
	config hedger.Config
	shared *hedges

	mu    sync.Mutex
	state *hedger.State
	// limited is true when the document sets a lower budget than the gateway's.
	limited bool
}

func newHedges(config hedger.Config, shared *hedges) *hedges {
	return &hedges{config: config, shared: shared, state: hedger.New(config)}
}

// limit applies the budget of a document; 0 means the gateway's.
func (h *hedges) limit(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limited = share > 0 && share < h.config.Budget
	if h.limited {
		h.state.SetBudget(share)
	}
}

func (h *hedges) observe(now time.Time, latency time.Duration) {
	if h.shared != nil {
		h.shared.observe(now, latency)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Observe(now, latency)
}

// deposit earns budget for new sub-requests and returns the delay of their hedges.
func (h *hedges) deposit(subs int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Deposit(subs)
	if h.shared != nil {
		return h.shared.deposit(subs)
	}
	return h.state.Delay()
}

func (h *hedges) withdraw() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shared == nil {
		return h.state.Withdraw()
	}
	if h.limited && !h.state.Withdraw() {
		return false
	}
	if h.shared.withdraw() {
		return true
	}
	if h.limited {
		h.state.Refund()
	}
	return false
}

func (h *hedges) refund() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Refund()
	if h.shared != nil {
		h.shared.refund()
	}
}
