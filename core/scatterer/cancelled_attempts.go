package scatterer

import (
	"sync"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/messenger/peerpb"
)

// maxCancelledAttempts bounds the cancelled attempts whose outcome is pending.
const maxCancelledAttempts = 4096

type attemptKey struct {
	query        string
	sub, attempt uint32
}

// cancelledAttempts tracks cancelled attempts until a relay reports whether the
// target ran them. An attempt that never ran cost the target nothing, so its
// budget is refunded, even after the query has ended.
type cancelledAttempts struct {
	mu     sync.Mutex
	states map[attemptKey]*serviceState
	order  *buffer.Ring[attemptKey]
}

func newCancelledAttempts() *cancelledAttempts {
	return &cancelledAttempts{
		states: make(map[attemptKey]*serviceState),
		order:  buffer.NewRing[attemptKey](maxCancelledAttempts),
	}
}

func (c *cancelledAttempts) add(key attemptKey, state *serviceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.order.Put(key) {
		oldest, _ := c.order.TryTake()
		delete(c.states, oldest)
		c.order.Put(key)
	}
	c.states[key] = state
}

// resolve removes the attempt that the answer belongs to and refunds its budget
// if the target did not run it.
func (c *cancelledAttempts) resolve(answer *peerpb.SubAnswer) {
	key := attemptKey{answer.QueryId, answer.Sub, answer.Attempt}
	c.mu.Lock()
	state, ok := c.states[key]
	delete(c.states, key)
	c.mu.Unlock()
	if !ok || answer.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	state.hedgeController.refund()
}
