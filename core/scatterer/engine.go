// Package scatterer executes queries: it sends sub-requests to replicas, hedges
// and retries them, merges the answers and reports their coverage.
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

// Transport sends messages to relays.
type Transport interface {
	// Send sends a batch to a relay. On error, nothing was sent.
	Send(relay string, batch *peerpb.Batch) error
	// Cancel asks a relay to cancel an attempt of a sub-request.
	Cancel(relay string, cancel *peerpb.Cancel)
}

// Config configures an Engine.
type Config struct {
	FailureDomain string
	// AnswerMargin is reserved before the deadline for writing the answer.
	AnswerMargin time.Duration
	// MaxAttempts bounds the attempts per sub-request, including the first.
	MaxAttempts int
	// MaxRestarts bounds how often a query switches a service to another snapshot.
	MaxRestarts int
	Selector    selector.Config
	Hedger      hedger.Config
	// Seed makes random choices reproducible; 0 selects a random seed.
	Seed uint64
	// DisableHedges turns hedging off, for comparison runs.
	DisableHedges bool
}

// DefaultConfig returns the production configuration.
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

// Request is a query over services that are known to exist.
type Request struct {
	Services    []*planner.Service
	Caller      string
	Text        string
	Limit       int
	Deadline    time.Time
	Traceparent string
	Fingerprint uint64
	// Set overrides the set, for mirrored queries; if empty, the document decides.
	Set string
}

// Answer is the result of a query and its coverage of the index.
type Answer struct {
	QueryID  string
	Hits     []merger.Hit
	Coverage float64
	Complete bool
	Services []ServiceAnswer
	// Overloaded is true if a shard is missing because a target refused the work or
	// could not start it before the deadline.
	Overloaded bool
	Stats      Stats
}

// Stats counts the sub-requests and attempts of one query.
type Stats struct {
	Subs, Hedges, Retries, Restarts int
	// Sent counts the attempts sent to a relay, Answered those whose answer was
	// used.
	Sent, Answered int
}

// ServiceAnswer describes the share of one service in an answer.
type ServiceAnswer struct {
	Service  string
	Set      string
	Snapshot string
	Coverage float64
	Missing  []string
}

// Engine executes the queries of one gateway.
type Engine struct {
	config    Config
	timers    *timer.Service
	table     *planner.Table
	transport Transport

	lateAnswers       atomic.Int64
	cancelledAttempts *cancelledAttempts
	// hedgeController is shared by all services, so that a service that delays a
	// query can use budget that the others leave.
	hedgeController *hedgeController

	mu       sync.Mutex
	inboxes  map[string]*buffer.Ring[event]
	services map[string]*serviceState
}

// event is either an answer or the loss of a relay's stream.
type event struct {
	answer    *peerpb.SubAnswer
	lostRelay string
}

// serviceState holds the replica selection and hedging state of one service,
// shared by its queries.
type serviceState struct {
	mu              sync.Mutex
	rng             *rand.Rand
	selector        *selector.State
	hedgeController *hedgeController
}

// New returns an engine that sends through transport.
func New(config Config, timers *timer.Service, table *planner.Table, transport Transport) *Engine {
	return &Engine{
		config:            config,
		timers:            timers,
		table:             table,
		transport:         transport,
		cancelledAttempts: newCancelledAttempts(),
		hedgeController:   newHedgeController(config.Hedger, nil),
		inboxes:           make(map[string]*buffer.Ring[event]),
		services:          make(map[string]*serviceState),
	}
}

// Deliver passes an answer to its query. An answer for a query that has ended,
// or whose inbox is full, is counted and dropped.
func (e *Engine) Deliver(answer *peerpb.SubAnswer) {
	e.cancelledAttempts.resolve(answer)
	e.mu.Lock()
	inbox := e.inboxes[answer.QueryId]
	e.mu.Unlock()
	if inbox == nil || !inbox.Put(event{answer: answer}) {
		e.lateAnswers.Add(1)
	}
}

// LostRelay fails the attempts in flight at a relay whose stream has ended.
func (e *Engine) LostRelay(relay string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, inbox := range e.inboxes {
		// A query whose inbox is full misses this event; its hedges replace the lost
		// attempts.
		inbox.Put(event{lostRelay: relay})
	}
}

// LateAnswers returns the number of answers dropped because no query or attempt
// was waiting for them.
func (e *Engine) LateAnswers() int64 { return e.lateAnswers.Load() }

// RunningQueries returns the number of queries in progress.
func (e *Engine) RunningQueries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inboxes)
}

// Query executes a request and returns by its deadline or when ctx ends, with
// what has been answered by then.
func (e *Engine) Query(ctx context.Context, request *Request) *Answer {
	q := newQuery(e, uuid.NewString(), request)
	e.mu.Lock()
	e.inboxes[q.id] = q.inbox
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.inboxes, q.id)
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
			rng:             e.newRand(name),
			selector:        selector.New(e.config.Selector),
			hedgeController: newHedgeController(e.config.Hedger, e.hedgeController),
		}
		e.services[name] = state
	}
	state.hedgeController.setBudget(entry.Document.Answering.HedgeBudget)
	return state
}
