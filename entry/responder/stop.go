package responder

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/stopper"
	"jackdawcart.org/entry/delegator"
)

// Stop begins a planned stop: answers close their connections, requests are taken only if
// they can be answered in time, and those that are still running then are ended with an
// answer.
func (r *Responder) Stop(plan stopper.Plan) {
	r.stopPlan.Store(&plan)
	go func() {
		r.Timers.Sleep(context.Background(), plan.LastAnswer().Sub(r.Timers.Now()))
		r.endCalls()
	}()
}

// refuseLate refuses a request that came so late in a planned stop that it could not be
// answered, and reports whether it has. Another VM that passed it on asks the next one.
func (r *Responder) refuseLate(w http.ResponseWriter, request *http.Request, arrived time.Time, route *router.Route, h hop) bool {
	plan := r.stopPlan.Load()
	if plan == nil {
		return false
	}
	now, latency := r.Timers.Now(), r.Placer.ExpectedLatency(route.Name, route.LatencyObjective)
	if plan.Takes(now, latency) {
		return false
	}
	if h.delegated {
		r.refuseHop(w, request, arrived, h, delegator.ReasonStopping)
		return true
	}
	r.refuse(w, request, arrived, http.StatusServiceUnavailable, delegator.ReasonStopping, forwarder.RetryAfter(route.LatencyObjective),
		zap.Duration("left", plan.LastAnswer().Sub(now)), zap.Duration("usual-latency", latency))
	return true
}

// endedByStop returns a context that ends with another one, or when every request must be
// answered because the process stops.
func (r *Responder) endedByStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.answersDue, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
