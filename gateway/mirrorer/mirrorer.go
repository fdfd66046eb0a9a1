// Package mirrorer repeats a share of the queries on another set of targets and
// compares the answers, so that a team can evaluate a set before it serves callers.
package mirrorer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
)

const (
	// burst is the maximum number of mirrored queries that a service can save up.
	burst = 20
	// maxRunning limits the concurrent mirrored queries of all services.
	maxRunning = 64
)

// Engine answers queries.
type Engine interface {
	Query(ctx context.Context, request *scatterer.Request) *scatterer.Answer
}

// Mirrorer repeats queries within a token budget for each service.
type Mirrorer struct {
	engine  Engine
	timers  *timer.Service
	metrics tally.Scope
	log     *zap.Logger
	running chan struct{}

	mu      sync.Mutex
	budgets map[string]float64
}

// New returns a mirrorer. The budget of each service starts at one query.
func New(engine Engine, timers *timer.Service, metrics tally.Scope, log *zap.Logger) *Mirrorer {
	return &Mirrorer{
		engine: engine, timers: timers, metrics: metrics.SubScope("mirror"), log: log,
		running: make(chan struct{}, maxRunning),
		budgets: make(map[string]float64),
	}
}

// MirrorAnswered repeats an answered query for each service that is configured
// with a mirror and has budget left. It does not wait for the mirrored queries.
func (m *Mirrorer) MirrorAnswered(request *scatterer.Request, answer *scatterer.Answer) {
	for i, part := range answer.Services {
		entry := request.Services[i]
		if m.shouldMirror(entry.Document, part) {
			m.startMirrored(request, entry, hitsOf(answer.Hits, part.Service))
		}
	}
}

// shouldMirror selects a random share of the queries, limits the extra load and
// charges the budget for a selected query.
func (m *Mirrorer) shouldMirror(doc *parser.Document, part scatterer.ServiceAnswer) bool {
	mirror := doc.Answering.Mirror
	if mirror == nil || mirror.Set == part.Set || len(part.Missing) > 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	budget, ok := m.budgets[doc.Service]
	if !ok {
		budget = 1
	}
	budget = min(budget+mirror.MaxExtraLoad, burst)
	shouldMirror := budget >= 1 && rand.Float64() < mirror.Share
	if shouldMirror {
		budget--
	}
	m.budgets[doc.Service] = budget
	return shouldMirror
}

func (m *Mirrorer) startMirrored(request *scatterer.Request, entry *planner.Service, expected []merger.Hit) {
	select {
	case m.running <- struct{}{}:
	default:
		return
	}
	deadline := time.Duration(entry.Document.Answering.Deadline)
	mirrored := &scatterer.Request{
		Services: []*planner.Service{entry}, Caller: request.Caller, Text: request.Text, Limit: request.Limit,
		Deadline: m.timers.Now().Add(deadline), Fingerprint: request.Fingerprint,
		Set: entry.Document.Answering.Mirror.Set,
	}
	go func() {
		defer func() { <-m.running }()
		m.compare(entry.Document.Service, expected, m.engine.Query(context.Background(), mirrored))
	}()
}

func (m *Mirrorer) compare(service string, expected []merger.Hit, answer *scatterer.Answer) {
	scope := m.metrics.Tagged(map[string]string{"service": service})
	if !answer.Complete {
		scope.Counter("incomplete").Inc(1)
		return
	}
	// The original answer may have fewer hits of this service, because it is also
	// limited by the hits of other services. Only the first hits are compared.
	got := answer.Hits[:min(len(answer.Hits), len(expected))]
	if slices.EqualFunc(expected, got, func(a, b merger.Hit) bool { return a.ID == b.ID }) {
		scope.Counter("equal").Inc(1)
		return
	}
	scope.Counter("different").Inc(1)
	m.log.Info("mirrored answer differs", zap.String("service", service), zap.String("set", answer.Services[0].Set),
		zap.String("snapshot", answer.Services[0].Snapshot), zap.String("query-id", answer.QueryID))
}

func hitsOf(hits []merger.Hit, service string) []merger.Hit {
	var own []merger.Hit
	for _, h := range hits {
		if h.Service == service {
			own = append(own, h)
		}
	}
	return own
}
