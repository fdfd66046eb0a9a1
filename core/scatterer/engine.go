// Package scatterer answers a query: it sends sub-requests to replicas,
// hedges and retries them, gathers the answers and states their coverage.
package scatterer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/hedger"
	"jackdawcart.org/core/merger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/selector"
	"jackdawcart.org/core/timer"
)

// Transport carries frames to relays.
type Transport interface {
	// Send hands a batch to a relay. An error means that nothing was sent.
	Send(relay string, batch *peerpb.Batch) error
	// Cancel asks a relay to give up a sub-request.
	Cancel(relay string, cancel *peerpb.Cancel)
}

// Config holds the constants of an engine.
type Config struct {
	FailureDomain string
	// AnswerMargin is kept free before the deadline to write the answer.
	AnswerMargin time.Duration
	// MaxAttempts bounds how often one sub-request is sent.
	MaxAttempts int
	// MaxRestarts bounds how often a service of a query moves to another snapshot.
	MaxRestarts int
	Selector    selector.Config
	Hedger      hedger.Config
	// Seed makes the random choices repeatable; 0 means that they differ in each
	// process.
	Seed uint64
	// DisableHedges switches hedging off, for comparison.
	DisableHedges bool
}

// DefaultConfig returns the constants used in production.
func DefaultConfig(failureDomain string) Config {
	return Config{
		FailureDomain: failureDomain,
		AnswerMargin:  3 * time.Millisecond,
		MaxAttempts:   3,
		MaxRestarts:   3,
		Selector:      selector.DefaultConfig(),
		Hedger:        hedger.DefaultConfig(),
	}
}

// Request is a query whose services are known to exist.
type Request struct {
	Services    []*planner.Service
	Caller      string
	Text        string
	Limit       int
	Deadline    time.Time
	Traceparent string
	Fingerprint uint64
	// Set forces a set, for mirrored queries; empty means as the document says.
	Set string
}

// Answer is what a query found and how much of the index it covers.
type Answer struct {
	QueryID  string
	Hits     []merger.Hit
	Coverage float64
	Complete bool
	Services []ServiceAnswer
	// Overloaded is true if a shard is missing because targets refused work.
	Overloaded bool
	// Stats counts the attempts behind the answer.
	Stats Stats
}

// Stats counts the attempts of one query.
type Stats struct {
	Subs, Hedges, Retries, Restarts int
	// Sent counts the attempts that reached a relay, Answered those of them
	// whose answer counts.
	Sent, Answered int
}

// ServiceAnswer is the part of one service.
type ServiceAnswer struct {
	Service  string
	Set      string
	Snapshot string
	Coverage float64
	Missing  []string
}

// Engine runs the queries of one gateway.
type Engine struct {
	config    Config
	timers    *timer.Service
	table     *planner.Table
	transport Transport

	late      atomic.Int64
	cancelled *cancelled
	// hedges are those of all services: the service that delays a query needs
	// the budget that the others leave over.
	hedges *hedges

	mu       sync.Mutex
	live     map[string]*buffer.Ring[event]
	services map[string]*serviceState
}

// event is an answer, or the loss of a relay.
type event struct {
	answer    *peerpb.SubAnswer
	lostRelay string
}

// serviceState holds the decisions of one service, shared by its queries.
type serviceState struct {
	mu       sync.Mutex
	rng      *rand.Rand
	selector *selector.State
	hedges   *hedges
}

// New returns an engine that sends through transport.
func New(config Config, timers *timer.Service, table *planner.Table, transport Transport) *Engine {
	return &Engine{
		config:    config,
		timers:    timers,
		table:     table,
		transport: transport,
		cancelled: newCancelled(),
		hedges:    newHedges(config.Hedger, nil),
		live:      make(map[string]*buffer.Ring[event]),
		services:  make(map[string]*serviceState),
	}
}

// Deliver hands an answer to the query that it belongs to. An answer of a
// query that has ended is counted and dropped.
func (e *Engine) Deliver(answer *peerpb.SubAnswer) {
	e.cancelled.settle(answer)
	e.mu.Lock()
	inbox := e.live[answer.QueryId]
	e.mu.Unlock()
	if inbox == nil || !inbox.Put(event{answer: answer}) {
		e.late.Add(1)
	}
}

// LostRelay fails what is in flight at a relay whose stream has ended.
func (e *Engine) LostRelay(relay string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, inbox := range e.live {
		// A query with a full inbox finds the loss by its hedges.
		inbox.Put(event{lostRelay: relay})
	}
}

// Late returns the number of answers that reached no query.
func (e *Engine) Late() int64 { return e.late.Load() }

// Live returns the number of queries that run.
func (e *Engine) Live() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.live)
}

// Query answers a request at the latest at its deadline, or when ctx ends.
func (e *Engine) Query(ctx context.Context, request *Request) *Answer {
	q := newQuery(e, uuid.NewString(), request)
	e.mu.Lock()
	e.live[q.id] = q.inbox
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.live, q.id)
		e.mu.Unlock()
	}()
	q.run(ctx)
	return q.answer()
}

func (e *Engine) newRand(service string) *rand.Rand {
	seed := e.config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(service)))
}

func (e *Engine) service(entry *planner.Service) *serviceState {
	name := entry.Document.Service
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.services[name]
	if !ok {
		state = &serviceState{
			rng:      e.newRand(name),
			selector: selector.New(e.config.Selector),
			hedges:   newHedges(e.config.Hedger, e.hedges),
		}
		e.services[name] = state
	}
	state.hedges.limit(entry.Document.Answering.HedgeBudget)
	return state
}
