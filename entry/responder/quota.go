package responder

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/quoter"
	"jackdawcart.org/platform/decoder"
)

// Quoter decides which requests are within the quotas of workspaces.
type Quoter interface {
	// Take waits until the given time at most. returning is set if the request was probably
	// refused before.
	Take(ctx context.Context, w *router.Workspace, returning bool, by time.Time) quoter.Verdict
	// Return gives back the token of an admitted request that has not run.
	Return(w *router.Workspace)
}

// reasonQuota is the reason for which requests beyond a quota are refused.
const reasonQuota = "over quota"

// refuseOverQuota refuses a request beyond the quota of its workspace, before anything is
// sent. It reports whether it has. A request of another VM has been counted there.
func (r *Responder) refuseOverQuota(w http.ResponseWriter, request *http.Request, c *call) bool {
	workspace := c.caller.workspace
	if r.Quoter == nil || workspace == nil || workspace.Rate <= 0 || c.hop.delegated {
		return false
	}
	verdict := r.Quoter.Take(request.Context(), workspace, isReturning(request, c.route), c.deadline)
	if verdict.Admitted {
		c.admittedAt = r.Timers.Now()
		return false
	}
	r.refuse(w, request, c.arrived, http.StatusTooManyRequests, reasonQuota, verdict.RetryAfter,
		zap.String("workspace", workspace.Name), zap.String("source", verdict.Source))
	return true
}

// returningShare is the share of the route's timeout below which the time left of a request
// shows that its caller has tried before.
const returningShare = 0.95

// isReturning reports whether a request was probably refused before: its caller has less time
// left than a request on the route has at first. Callers whose first requests have less time
// than others are taken for returning ones, which only matters beyond a quota.
func isReturning(request *http.Request, route *router.Route) bool {
	left, ok := decoder.CallerTimeout(request.Header)
	return ok && left < time.Duration(returningShare*float64(route.Timeout))
}

// returnToken gives back the token of a request that has not run and will not. A token that
// was taken long ago is not returned.
func (c *call) returnToken() {
	if c.admittedAt.IsZero() || c.responder.Timers.Now().Sub(c.admittedAt) > quoter.MaxReturnAge {
		return
	}
	c.admittedAt = time.Time{}
	c.responder.Quoter.Return(c.caller.workspace)
}
