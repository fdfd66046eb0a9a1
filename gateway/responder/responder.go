// Package responder handles the HTTP requests of callers.
package responder

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/gateway/issuer"
	"jackdawcart.org/gateway/mirrorer"
)

// Control is the control state that the gateway receives from its relays.
type Control interface {
	Ready() bool
	Quarantined(fingerprint uint64) bool
}

// Config holds the settings and dependencies of a Responder.
type Config struct {
	Timers  *timer.Service
	Table   *planner.Table
	Engine  *scatterer.Engine
	Control Control
	Issuer  *issuer.Issuer
	Mirror  *mirrorer.Mirrorer
	Tracer  *tracer.Tracer
	Metrics tally.Scope
	Log     *zap.Logger
	// MaxQueries limits the number of concurrent queries.
	MaxQueries int
	// TicketExpiry is the lifetime of a ticket that callers receive.
	TicketExpiry time.Duration
}

// queryCounters holds the counters of queries. They are looked up once, because a
// lookup by name takes a lock.
type queryCounters struct {
	queries, subRequests, hedges, retries, restarts, partial tally.Counter
}

func newQueryCounters(metrics tally.Scope) queryCounters {
	return queryCounters{
		queries:     metrics.Counter("queries"),
		subRequests: metrics.Counter("sub_requests"),
		hedges:      metrics.Counter("hedges"),
		retries:     metrics.Counter("retries"),
		restarts:    metrics.Counter("restarts"),
		partial:     metrics.Counter("partial"),
	}
}

// Responder implements the operations of the callers' API.
type Responder struct {
	config   Config
	errors   tally.Scope
	latency  tally.Histogram
	counters queryCounters
	leaving  atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	admitter *admitter.State
}

// New returns a responder.
func New(config Config) *Responder {
	limits := admitter.DefaultConfig()
	limits.MaxQueries = config.MaxQueries
	return &Responder{
		config:   config,
		errors:   config.Metrics.SubScope("refusals"),
		latency:  config.Metrics.Histogram("query_latency", meter.LatencyBuckets),
		counters: newQueryCounters(config.Metrics),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		admitter: admitter.New(limits),
	}
}

// Leave announces that the responder will stop. It still accepts requests.
func (r *Responder) Leave() { r.leaving.Store(true) }

// Leaving reports whether callers should use another gateway.
func (r *Responder) Leaving() bool { return r.leaving.Load() }

// Stop makes the responder refuse new requests.
func (r *Responder) Stop() { r.stopping.Store(true) }

// Stopping reports whether new requests are refused.
func (r *Responder) Stopping() bool { return r.stopping.Load() }

// InFlight returns the number of requests that have not been answered yet.
func (r *Responder) InFlight() int64 { return r.inFlight.Load() }

func (r *Responder) admit(priority admitter.Priority) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admitter.Admit(r.rng, priority)
}

func (r *Responder) finish(outcome admitter.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitter.Finish(outcome)
}
