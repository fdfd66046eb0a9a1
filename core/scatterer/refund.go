package scatterer

import (
	"sync"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/messenger/peerpb"
)

// cancelledSize bounds the cancelled attempts whose end is awaited.
const cancelledSize = 4096

type attemptKey struct {
	query        string
	sub, attempt uint32
}

// cancelled remembers which attempts were cancelled, until a relay tells
// whether the target ran them. One that never ran cost the target nothing, so
// its share of the budget is returned, also after its query has ended.
type cancelled struct {
	mu     sync.Mutex
	states map[attemptKey]*serviceState
	order  *buffer.Ring[attemptKey]
}

func newCancelled() *cancelled {
	return &cancelled{
		states: make(map[attemptKey]*serviceState),
		order:  buffer.NewRing[attemptKey](cancelledSize),
	}
}

func (c *cancelled) add(key attemptKey, state *serviceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.order.Put(key) {
		oldest, _ := c.order.TryTake()
		delete(c.states, oldest)
		c.order.Put(key)
	}
	c.states[key] = state
}

// settle takes the end of an attempt and refunds the budget if it was not run.
func (c *cancelled) settle(answer *peerpb.SubAnswer) {
	key := attemptKey{answer.QueryId, answer.Sub, answer.Attempt}
	c.mu.Lock()
	state, ok := c.states[key]
	delete(c.states, key)
	c.mu.Unlock()
	if !ok || answer.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	state.hedges.refund()
}
