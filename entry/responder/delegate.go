package responder

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/platform/decoder"
)

// Delegator passes requests to other VMs.
type Delegator interface {
	Delegate(ctx context.Context, r delegator.Request, grace time.Duration) delegator.Outcome
	// Version returns the newest configuration by which another VM has served a request.
	Version() int64
}

// hop is set for a request that another VM has passed to this one.
type hop struct {
	delegator.Hop
	delegated bool
}

// ServeDelegated answers a request of a caller that another VM has passed to this one.
func (r *Responder) ServeDelegated(w http.ResponseWriter, request *http.Request) {
	h := hop{Hop: delegator.TakeHop(request.Header), delegated: true}
	decoder.SetRequestID(w.Header(), decoder.RequestID(request.Header))
	r.serveGuarded(w, request, h)
}

// checkCut reports whether this VM is cut off from all targets. When that begins, it is
// logged, and Probe asks targets until one answers.
func (r *Responder) checkCut(now time.Time) bool {
	cutOff, isNew := r.Detector.CutOff(now)
	if isNew {
		r.log.Warn("cut off from all targets")
		r.metrics.scope.Counter("cuts_from_targets").Inc(1)
		select {
		case r.cutBegan <- struct{}{}:
		default:
		}
	}
	return cutOff
}

// heard records that a target has answered.
func (r *Responder) heard(got courier.Reply) {
	if got.Status == 0 {
		return
	}
	if cut, ended := r.Detector.Heard(r.Timers.Now()); ended {
		r.log.Info("targets answer again", zap.Duration("cut", cut))
	}
}

// refuseDelegated refuses a request of another VM by an older configuration than one by
// which its caller may have been served. It reports whether it has.
func (r *Responder) refuseDelegated(w http.ResponseWriter, request *http.Request, arrived time.Time, table *router.Table, h hop) bool {
	if !h.delegated {
		return false
	}
	delegator.SetVersion(w.Header(), version(table))
	if table != nil && table.Version >= h.MinVersion {
		return false
	}
	r.refuseHop(w, request, arrived, h, delegator.ReasonOlderConfiguration)
	return true
}

// passOnFirst passes a request on before anything has been sent, if this VM is cut off from
// all targets or another one has served callers by a newer configuration. It reports whether
// the request has been answered.
func (r *Responder) passOnFirst(w http.ResponseWriter, request *http.Request, c *call) bool {
	cutOff := r.checkCut(r.Timers.Now())
	switch {
	case cutOff && c.hop.delegated:
		r.refuseHop(w, request, c.arrived, c.hop, delegator.ReasonCutOff)
		return true
	case cutOff:
		if !r.delegate(w, request, c, delegator.ReasonCutOff) {
			c.returnToken()
			r.refuse(w, request, c.arrived, http.StatusServiceUnavailable, delegator.ReasonCutOff, probePeriod)
		}
		return true
	case c.table.Version < r.Delegator.Version() && !c.hop.delegated:
		return r.delegate(w, request, c, delegator.ReasonOlderConfiguration)
	default:
		return false
	}
}

// passOnUnsent passes a request on that has not run, because this VM reaches too few of its
// targets. It reports whether the request has been answered. While the other VMs do not
// reach them either, or the targets have left, requests on the route are not passed on.
func (r *Responder) passOnUnsent(w http.ResponseWriter, request *http.Request, c *call) bool {
	if c.hop.delegated {
		r.refuseHop(w, request, c.arrived, c.hop, delegator.ReasonUnreachable)
		return true
	}
	now := r.Timers.Now()
	if !c.hasTargets() || !r.unreachable.mayPassOn(now, c.route.Name) {
		return false
	}
	if r.delegate(w, request, c, delegator.ReasonUnreachable) {
		return true
	}
	r.unreachable.add(now, c.route.Name)
	return false
}

// hasTargets reports whether enough services of the request have registered targets for an
// answer. If they have left, a VM that still uses them only knows less.
func (c *call) hasTargets() bool {
	n := 0
	for _, service := range c.services {
		if len(c.directory().Targets(service)) > 0 {
			n++
		}
	}
	return n > 0 && float64(n) >= c.route.MinShardShare*float64(len(c.services))
}

// refuseHop answers that this VM cannot take a request of another one.
func (r *Responder) refuseHop(w http.ResponseWriter, request *http.Request, arrived time.Time, h hop, reason string) {
	delegator.SetUnavailable(w.Header(), reason)
	r.refuse(w, request, arrived, http.StatusServiceUnavailable, reason, 0, h.field())
}

// delegate passes a request to another VM and answers it, and reports false if no VM has
// taken it.
func (r *Responder) delegate(w http.ResponseWriter, request *http.Request, c *call, reason string) bool {
	ctx, span := r.Spans.Start(request.Context(), "delegate", attribute.String("request", c.id))
	defer span.End()
	ctx, cancel := r.endedByStop(ctx)
	defer cancel()
	c.encode(request)
	requestLine := c.requestLine
	// The other VM authorizes the caller itself and names the workspace to the target.
	common := decoder.NewTargetHeader(request.Host, request.Header, c.body, decoder.Identity{Known: c.caller.known})
	outcome := r.Delegator.Delegate(ctx, delegator.Request{
		Method: c.method, ID: c.id, Body: c.body, Arrived: c.arrived, Deadline: c.deadline,
		MaxBodyBytes: r.config.MaxAnswerBytes, Version: c.table.Version,
		Key: c.caller.key, Allowed: c.allowedVM(),
		Head: func(more http.Header, left time.Duration) []byte {
			return common.AppendForVM(append([]byte(nil), requestLine...), more, left)
		},
	}, r.config.CallerLeftGrace)
	if outcome.VM == "" {
		return false
	}
	status := c.writeDelegated(w, outcome)
	took := r.Timers.Now().Sub(c.arrived)
	r.metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_delegated").Inc(1)
	r.metrics.latency.RecordDuration(took)
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("route", c.route.Name), zap.Int64("version", c.table.Version), zap.String("reason", reason),
		zap.String("vm", outcome.VM), zap.Int("asked", outcome.Asked), zap.Int("status", status), zap.Duration("took", took),
		zap.Bool("caller-left", outcome.CallerLeft),
	}
	if outcome.Reply.Err != nil {
		fields = append(fields, zap.Error(outcome.Reply.Err))
	}
	r.log.Info("request delegated", fields...)
	return true
}

// writeDelegated writes the answer of another VM and returns its status. Without one, the
// request may have run.
func (c *call) writeDelegated(w http.ResponseWriter, outcome delegator.Outcome) int {
	switch {
	case outcome.CallerLeft || outcome.Reply.Err != nil && !c.responder.Timers.Now().Before(c.deadline):
		writeBody(w, http.StatusGatewayTimeout, nil)
		return http.StatusGatewayTimeout
	case outcome.Reply.Err != nil:
		writeBody(w, http.StatusBadGateway, nil)
		return http.StatusBadGateway
	default:
		return c.writeAnswer(w, outcome.Reply)
	}
}

// reachesNoTarget reports whether a request has not run because its targets could not be
// reached, and not because they refused it or their limits left no room.
func (c *call) reachesNoTarget(decision forwarder.Decision) bool {
	if decision != forwarder.NotRun || c.query.PlacementFailures().Limited > 0 {
		return false
	}
	for _, s := range c.subRequests {
		if s.result != placer.Unsent {
			return false
		}
	}
	return true
}
