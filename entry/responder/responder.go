// Package responder answers callers by sending sub-requests to targets.
package responder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/stopper"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/platform/decoder"
)

// Directory provides the configuration in force and the targets of each service.
type Directory interface {
	Table() *router.Table
	Targets(service string) []registrar.Record
}

// Inspector recognises requests that crash targets.
type Inspector interface {
	// Quarantined returns how long a request must not be sent to targets, zero if it may.
	Quarantined(fingerprint uint64) time.Duration
	// Completed records that a target has run a request to its end.
	Completed(target registrar.Record, fingerprint uint64)
	// SuspectedParts returns the services whose targets were lost under a request.
	SuspectedParts(fingerprint uint64) []string
	// Broke records that the connection to a target ended while it may have run a request,
	// and calls explain with whether the target is known to have crashed.
	Broke(target registrar.Record, fingerprint uint64, explain func(crashed bool))
	// GaveUp records that a request is no longer waited for that a target may still run.
	GaveUp(target registrar.Record, fingerprint uint64)
}

// Config holds the time and size limits of requests.
type Config struct {
	Query forwarder.Config
	// DefaultTimeout applies to requests that state no deadline.
	DefaultTimeout time.Duration
	// AbandonGrace is the grace period for answers that are no longer needed. It
	// keeps their connections open.
	AbandonGrace time.Duration
	// CallerLeftGrace replaces AbandonGrace after the caller has disconnected.
	CallerLeftGrace time.Duration
	// MaxAnswerBytes limits the body of a target's answer.
	MaxAnswerBytes int64
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		Query:          forwarder.DefaultConfig(),
		DefaultTimeout: 5 * time.Second,
		AbandonGrace:   300 * time.Millisecond,
		// Work for a caller that has disconnected must end within half a second.
		CallerLeftGrace: 150 * time.Millisecond,
		MaxAnswerBytes:  8 << 20,
	}
}

// Dependencies holds the services that the responder uses.
type Dependencies struct {
	// Domain is the failure domain of the entry VM, and Regions the region of each domain.
	Domain    string
	Regions   map[string]string
	Directory Directory
	Placer    *placer.Placer
	Pools     *courier.Pools
	Timers    *timer.Service
	Spans     *tracer.Tracer
	Inspector Inspector
	Detector  *diverter.Detector
	Delegator Delegator
	// Shares divides the room of overloaded targets between workspaces.
	Shares *sharer.Group
	// Quoter is nil if there are no quotas.
	Quoter Quoter
	// OnVacated is called with the ID of a target when another target answers at
	// its address.
	OnVacated func(target string)
}

// Responder is the HTTP handler for requests of callers.
type Responder struct {
	Dependencies
	config    Config
	log       *zap.Logger
	metrics   metrics
	lag       timer.Lag
	admission *admission
	// stopPlan is set during a planned stop. answersDue ends when every request must be
	// answered in it.
	stopPlan   atomic.Pointer[stopper.Plan]
	answersDue context.Context
	endCalls   context.CancelFunc
	// cutBegan wakes Probe.
	cutBegan    chan struct{}
	unreachable unreachableRoutes
}

type metrics struct {
	scope   tally.Scope
	latency tally.Histogram
}

// New returns the handler.
func New(config Config, dependencies Dependencies, scope tally.Scope, log *zap.Logger) *Responder {
	answersDue, endCalls := context.WithCancel(context.Background())
	return &Responder{
		Dependencies: dependencies, config: config, log: log, admission: newAdmission(), answersDue: answersDue, endCalls: endCalls,
		cutBegan: make(chan struct{}, 1), unreachable: unreachableRoutes{until: make(map[string]time.Time)},
		metrics: metrics{scope: scope, latency: scope.Histogram("request_latency", meter.LatencyBuckets)},
	}
}

// ServeHTTP answers one request of a caller.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	delegator.RemoveHop(request.Header)
	r.serveGuarded(w, request, hop{})
}

// serveGuarded answers one request. A panic ends that request only; as targets may have
// run it, its caller is not told that it has not run.
func (r *Responder) serveGuarded(w http.ResponseWriter, request *http.Request, h hop) {
	arrived := r.Timers.Now().Add(-h.Elapsed)
	defer func() {
		if v := recover(); v != nil {
			r.log.Error("request panicked", zap.String("request", decoder.RequestID(request.Header)),
				zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
			r.metrics.scope.Counter("requests_panicked").Inc(1)
			// This has no effect once an answer has begun. The server then closes the
			// connection, because the declared length has not been written.
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
		}
	}()
	r.serve(w, request, arrived, h)
}

func (r *Responder) serve(w http.ResponseWriter, request *http.Request, arrived time.Time, h hop) {
	if plan := r.stopPlan.Load(); plan != nil {
		w.Header().Set("Connection", "close")
		if h.delegated {
			delegator.SetStopping(w.Header(), plan.Began.Add(plan.Grace).Sub(r.Timers.Now()))
		}
	}
	table := r.Directory.Table()
	if r.refuseDelegated(w, request, arrived, table, h) {
		return
	}
	if table == nil {
		r.refuse(w, request, arrived, http.StatusServiceUnavailable, "no configuration", noConfigurationRetry)
		return
	}
	route, ok := table.Match(request.Host, request.URL.EscapedPath())
	if !ok {
		r.refuse(w, request, arrived, http.StatusNotFound, "no route", 0)
		return
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headBytes(request) > limit {
		r.refuse(w, request, arrived, http.StatusRequestHeaderFieldsTooLarge, "head too large", 0)
		return
	}
	caller, ok := authorize(table, route, request, h)
	if !ok {
		r.refuse(w, request, arrived, http.StatusUnauthorized, "unauthorized", 0)
		return
	}
	if r.refuseLate(w, request, arrived, route, h) {
		return
	}
	deadline := r.deadline(request, route, arrived.Add(h.Elapsed))
	body, err := readBody(w, request, table.Limits.MaxBodyBytes, deadline)
	if err != nil {
		r.refuseBody(w, request, arrived, err)
		return
	}
	// The body may have taken long.
	if len(body) > 0 && r.refuseLate(w, request, arrived, route, h) {
		return
	}
	services, ok := r.services(route)
	if !ok {
		r.refuse(w, request, arrived, http.StatusServiceUnavailable, "route without service", noConfigurationRetry)
		return
	}
	fingerprint := quarantiner.Fingerprint(request.Host, caller.scope()+request.Method+" "+request.RequestURI, string(body))
	if remaining := r.Inspector.Quarantined(fingerprint); remaining > 0 {
		r.refuse(w, request, arrived, http.StatusServiceUnavailable, "quarantined", remaining,
			zap.String("fingerprint", quarantiner.FormatFingerprint(fingerprint)), zap.Duration("remaining", remaining))
		return
	}
	c := &call{
		responder: r, table: table, route: route, services: services, arrived: arrived, hop: h,
		id: decoder.RequestID(request.Header), deadline: deadline, body: body, fingerprint: fingerprint,
		caller: caller, rank: table.Rank(route, caller.workspace),
	}
	if r.refuseOverQuota(w, request, c) || r.passOnFirst(w, request, c) {
		return
	}
	if overload, ok := c.admit(arrived); !ok {
		c.returnToken()
		r.refuse(w, request, arrived, http.StatusServiceUnavailable, "overload", retryAfterOverload(route.LatencyObjective),
			append(overload.fields(c.rank), c.caller.field())...)
		return
	}
	r.run(w, request, c)
}

// noConfigurationRetry is the retry delay given to callers while the process has no
// usable configuration. The first one is read within about a second of the start.
const noConfigurationRetry = time.Second

func (r *Responder) services(route *router.Route) ([]string, bool) {
	if route.Gathers() {
		return route.Shards, true
	}
	// The global generator is safe for concurrent use.
	service, ok := router.PickService(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), route.Split)
	return []string{service}, ok
}

// deadline returns the caller's deadline, limited by the timeout of the route.
func (r *Responder) deadline(request *http.Request, route *router.Route, arrived time.Time) time.Time {
	timeout, ok := decoder.CallerTimeout(request.Header)
	if !ok {
		timeout = r.config.DefaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	deadline := arrived.Add(timeout)
	if plan := r.stopPlan.Load(); plan != nil {
		return plan.Limit(deadline)
	}
	return deadline
}

// refuse answers a request without sending it to a target. details are added to its
// log line.
func (r *Responder) refuse(w http.ResponseWriter, request *http.Request, arrived time.Time, status int, reason string, retry time.Duration,
	details ...zap.Field,
) {
	if retry > 0 {
		decoder.SetRetryAfter(w.Header(), retry)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	r.metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("requests_refused").Inc(1)
	r.log.With(details...).Info("request refused", zap.String("request", decoder.RequestID(request.Header)), zap.String("host", request.Host),
		zap.String("path", request.URL.Path), zap.Int("status", status), zap.String("reason", reason),
		zap.Int64("version", version(r.Directory.Table())), zap.Duration("took", r.Timers.Now().Sub(arrived)))
}

func version(table *router.Table) int64 {
	if table == nil {
		return 0
	}
	return table.Version
}

func (r *Responder) run(w http.ResponseWriter, request *http.Request, c *call) {
	ctx, span := r.Spans.Start(request.Context(), "request", attribute.String("request", c.id), attribute.String("route", c.route.Name))
	defer span.End()
	decision := c.run(ctx, request)
	if c.reachesNoTarget(decision) {
		c.admissionEnded(r.Timers.Now(), true)
		if r.passOnUnsent(w, request, c) {
			return
		}
	}
	if decision == forwarder.NotRun {
		c.returnToken()
	}
	status := c.write(w, decision)
	now := r.Timers.Now()
	took := now.Sub(c.arrived)
	c.admissionEnded(now, !c.overloaded(decision, took))
	r.metrics.latency.RecordDuration(took)
	r.metrics.scope.Tagged(map[string]string{"verdict": decision.String()}).Counter("requests_ended").Inc(1)
	span.SetAttributes(attribute.Int("status", status))
	c.logEnd(decision, status, took)
}

// writeBody writes an answer with its content length.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// This fails if the caller has disconnected, which the server handles.
	_, _ = w.Write(body)
}
