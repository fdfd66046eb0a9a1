package responder

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/throttler"
)

// admission holds the throttle of each index. Only scatter-gather routes have one:
// the other requests waste no work of other shards when a target refuses them.
type admission struct {
	mu        sync.Mutex
	throttles map[string]*throttler.State
}

func newAdmission() *admission { return &admission{throttles: make(map[string]*throttler.State)} }

// refusal is what a throttle knew when it rejected a query.
type refusal struct{ share, queries, served float64 }

// fields returns the log fields of the refusal.
func (r refusal) fields(priority int) []zap.Field {
	return []zap.Field{
		zap.Int("priority", priority), zap.Float64("admitted-share", r.share),
		zap.Float64("recent-queries", r.queries), zap.Float64("recent-served", r.served),
	}
}

// admit reports whether a query is admitted.
func (a *admission) admit(now time.Time, route *router.Route, rank int) (refusal, bool) {
	if !route.Gathers() {
		return refusal{}, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.throttle(now, route)
	share := t.Share(now, rank)
	if t.Admit(now, rank, rand.Float64()) {
		return refusal{}, true
	}
	queries, served := t.Counts()
	return refusal{share: share, queries: queries, served: served}, false
}

// ended records the end of an admitted query.
func (a *admission) ended(now time.Time, route *router.Route, rank int, served bool) {
	if !route.Gathers() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.throttle(now, route).Ended(now, rank, served)
}

// throttle returns the throttle of a route's index, which is identified by its first
// shard. It drops the throttles of idle indexes whenever another one comes into use.
func (a *admission) throttle(now time.Time, route *router.Route) *throttler.State {
	index := route.Shards[0]
	t, ok := a.throttles[index]
	if !ok {
		maps.DeleteFunc(a.throttles, func(_ string, t *throttler.State) bool { return t.Idle(now) })
		t = throttler.New(throttler.DefaultConfig())
		a.throttles[index] = t
	}
	return t
}

// admit reports whether the request is admitted. With workspaces the room is shared between
// them on all routes; without them only scatter-gather queries are throttled.
func (c *call) admit(now time.Time) (refusal, bool) {
	r := c.responder
	if !c.caller.known {
		return r.admission.admit(now, c.route, c.rank)
	}
	known, ok := r.Shares.Admit(now, c.services[0], c.class(), rand.Float64())
	return refusal{share: known.Share, queries: known.Total.Requests, served: known.Total.Served}, ok
}

// admissionEnded records the end of an admitted request. served is false only if overload made
// it fail or late.
func (c *call) admissionEnded(now time.Time, served bool) {
	r := c.responder
	if !c.caller.known {
		r.admission.ended(now, c.route, c.rank, served)
		return
	}
	r.Shares.Ended(now, c.services[0], c.class(), served)
}

// class returns the kind of request for which room is shared. The first shard identifies an
// index.
func (c *call) class() sharer.Class { return sharer.Class{Rank: c.rank, Workspace: c.caller.name()} }

// retryAfterOverload returns when the caller of a rejected query may try again. By
// about a latency objective later the queries that are running have ended. The random
// spread keeps rejected callers from returning together.
func retryAfterOverload(latencyObjective time.Duration) time.Duration {
	return latencyObjective/2 + rand.N(max(latencyObjective, 1))
}

// overloaded reports whether overload made the query fail or late: a full target
// refused a part of it, and it was not served in time. A target that asks for a pause gets no
// more queries, so none need be throttled for it.
func (c *call) overloaded(decision forwarder.Decision, took time.Duration) bool {
	if c.callerLeft || (decision == forwarder.Complete || decision == forwarder.Partial) && took <= c.route.LatencyObjective {
		return false
	}
	for _, s := range c.subRequests {
		if !s.ended.IsZero() && s.result == placer.Refused && !s.paused {
			return true
		}
	}
	return false
}
