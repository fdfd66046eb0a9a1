// Package mirrorer repeats a share of the queries on another set of targets
// and compares the answers, so that a team can judge a set before callers move.
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
	// burst is the most mirrored queries that an unused budget allows at once.
	burst = 20
	// maxRunning bounds the mirrored queries of all services that run at once.
	maxRunning = 64
)

// Engine answers queries.
type Engine interface {
	Query(ctx context.Context, request *scatterer.Request) *scatterer.Answer
}

// Mirrorer holds the budget of each service.
type Mirrorer struct {
	engine  Engine
	timers  *timer.Service
	metrics tally.Scope
	log     *zap.Logger
	running chan struct{}

	mu      sync.Mutex
	budgets map[string]float64
}

// New returns a mirrorer with full budgets.
func New(engine Engine, timers *timer.Service, metrics tally.Scope, log *zap.Logger) *Mirrorer {
	return &Mirrorer{
		engine: engine, timers: timers, metrics: metrics.SubScope("mirror"), log: log,
		running: make(chan struct{}, maxRunning),
		budgets: make(map[string]float64),
	}
}

// Answered takes an answered query and repeats it where a service asks for it.
// It returns at once; the caller of the query never waits for a mirror.
func (m *Mirrorer) Answered(request *scatterer.Request, answer *scatterer.Answer) {
	for i, part := range answer.Services {
		entry := request.Services[i]
		if m.wanted(entry.Document, part) {
			m.start(request, entry, hitsOf(answer.Hits, part.Service))
		}
	}
}

// wanted draws by the share and keeps the extra load within its cap.
func (m *Mirrorer) wanted(doc *parser.Document, part scatterer.ServiceAnswer) bool {
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
	wanted := budget >= 1 && rand.Float64() < mirror.Share
	if wanted {
		budget--
	}
	m.budgets[doc.Service] = budget
	return wanted
}

func (m *Mirrorer) start(request *scatterer.Request, entry *planner.Service, expected []merger.Hit) {
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
	// The first answer may be cut by hits of other services, so only the hits
	// that it has are compared.
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
