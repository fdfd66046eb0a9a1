// Package issuer runs non-idempotent requests at most once. A request carries
// either a ticket, which only the issuing process may run, or an idempotency
// key, which is claimed in the platform's store.
package issuer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/claimer"
	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/gateway/executor"
)

// maintenanceInterval is how often expired tickets are removed, keys are reloaded
// and open claims are settled.
const maintenanceInterval = time.Second

const (
	// claimPollInterval is how long a repeated request waits before it checks a
	// claim in progress again.
	claimPollInterval = 10 * time.Millisecond
	// heldKeyInitialDelay is the first delay before a key held by another process
	// is checked again. It doubles, because each check costs two store calls.
	heldKeyInitialDelay = 20 * time.Millisecond
	// maxKeyResultBytes limits the size of a result written to the store.
	maxKeyResultBytes = 64 << 10
)

// Runner runs a request at a target.
type Runner interface {
	Run(ctx context.Context, caller string, deadline time.Time, execute *peerpb.Execute) executor.Result
}

// Directory lists the gateways of the tier.
type Directory interface {
	// Gateway returns the incarnation and session address of a node's gateway.
	Gateway(node string) (incarnation uint64, addr netip.AddrPort, ok bool)
	// Gateways returns the nodes with a live gateway.
	Gateways() []string
}

// Sessions opens sessions to other gateways.
type Sessions interface {
	Session(ctx context.Context, addr netip.AddrPort) (*messenger.Session, error)
}

// Config holds the settings and dependencies of an Issuer.
type Config struct {
	Table     ticketer.Config
	Keys      messenger.KeySource
	Timers    *timer.Service
	Runner    Runner
	Directory Directory
	Sessions  Sessions
	Store     KeyValueStore
	Log       *zap.Logger
}

// Request is a non-idempotent request with its ticket.
type Request struct {
	Ticket   string
	Caller   string
	Deadline time.Time
	Execute  *peerpb.Execute
	// Refusal is the reason why this gateway does not run the request, or nil. It
	// is returned to the caller unless the ticket has already been used.
	Refusal *Error
}

// Issuer owns the tickets of one gateway process.
type Issuer struct {
	config Config

	mu    sync.Mutex
	table *ticketer.Table
	// ticketRuns and keyRuns hold, by ticket ID and by store key, a channel for
	// each running request. It is closed when the run ends.
	ticketRuns map[uint64]chan struct{}
	keyRuns    map[string]chan struct{}
	running    sync.WaitGroup
	claimer    *claimer.Claimer
}

// New returns an issuer without tickets.
func New(config Config) (*Issuer, error) {
	keys, err := keyring(config.Keys)
	if err != nil {
		return nil, err
	}
	return &Issuer{
		config:     config,
		table:      ticketer.NewTable(config.Timers.Now(), config.Table, keys),
		ticketRuns: make(map[uint64]chan struct{}),
		keyRuns:    make(map[string]chan struct{}),
		claimer: claimer.New(claimer.Config{
			Node: config.Table.Node, Incarnation: config.Table.Incarnation,
			MaxOpen: config.Table.MaxTickets, MaxResultBytes: maxKeyResultBytes,
		}, claimStore{config.Store}),
	}, nil
}

func keyring(source messenger.KeySource) (*ticketer.Keyring, error) {
	keys := source.SharedKeys()
	if len(keys) == 0 {
		return nil, &Error{Op: "load-keys", Kind: callerapi.ErrorCodeInternal, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
	}
	return ticketer.NewKeyring(keys[0], keys[1:]...)
}

// Run removes expired tickets and reloads the shared keys until the context ends.
func (i *Issuer) Run(ctx context.Context) {
	ticks := i.config.Timers.Every(maintenanceInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.maintain()
		case <-ctx.Done():
			return
		}
	}
}

// SettleClaims retries the final writes of claims that the store did not confirm,
// for example during an outage, until the context ends.
func (i *Issuer) SettleClaims(ctx context.Context) {
	ticks := i.config.Timers.Every(maintenanceInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.claimer.Settle(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (i *Issuer) maintain() {
	keys, err := keyring(i.config.Keys)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.Expire(i.config.Timers.Now())
	if err != nil {
		i.config.Log.Warn("cannot load the shared keys; keeping the current ones", zap.Error(err))
		return
	}
	i.table.SetKeys(keys)
}

// Issue returns a new ticket for a caller.
func (i *Issuer) Issue(caller string) (string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ticket, err := i.table.Issue(i.config.Timers.Now(), caller)
	if err != nil {
		return "", ticketError("issue", err)
	}
	return ticket, nil
}

// Execute runs a request with a ticket. If the ticket has already been used, it
// returns the recorded answer or an unknown outcome.
func (i *Issuer) Execute(ctx context.Context, request Request) (*peerpb.ExecuteAnswer, error) {
	i.mu.Lock()
	ticket, err := i.table.Verify(request.Ticket, request.Caller)
	if err != nil {
		i.mu.Unlock()
		return nil, preferRefusal(request.Refusal, ticketError("execute", err))
	}
	incarnation, addr, known := i.config.Directory.Gateway(ticket.Node)
	issuer := container.None[uint64]()
	if known {
		issuer = container.Some(incarnation)
	}
	route := i.table.Route(ticket, issuer)
	i.mu.Unlock()
	if request.Refusal != nil && route != ticketer.RouteLocal {
		// Only the issuer of the ticket knows whether it has been used.
		return nil, request.Refusal.withOutcome(peerpb.Outcome_OUTCOME_UNKNOWN)
	}
	switch route {
	case ticketer.RouteLocal:
		return i.execute(ctx, ticket, request)
	case ticketer.RouteForward:
		answer, err := i.forward(ctx, addr, request)
		if answer != nil || err != nil {
			return answer, err
		}
	}
	return i.forwardToSuccessor(ctx, ticket, request)
}

// execute runs or answers a request whose ticket this process has issued or
// adopted.
func (i *Issuer) execute(ctx context.Context, ticket ticketer.Ticket, request Request) (*peerpb.ExecuteAnswer, error) {
	e := request.Execute
	fingerprint := ticketer.FingerprintOf(e.Service, e.Operation, e.Payload)
	for {
		i.mu.Lock()
		decision := i.table.Begin(i.config.Timers.Now(), ticket, fingerprint)
		switch decision.Verdict {
		case ticketer.VerdictRun:
			if request.Refusal != nil {
				// The ticket is closed, so that a delayed duplicate cannot run either.
				i.table.Finish(i.config.Timers.Now(), ticket.ID, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
				i.mu.Unlock()
				return nil, request.Refusal
			}
			done := make(chan struct{})
			i.ticketRuns[ticket.ID] = done
			i.running.Add(1)
			i.mu.Unlock()
			return i.run(ctx, ticket, request, done), nil
		case ticketer.VerdictWait:
			done := i.ticketRuns[ticket.ID]
			i.mu.Unlock()
			if !waitFor(ctx, done) {
				return unknownAnswer(e.RequestId), nil
			}
		default:
			i.mu.Unlock()
			return decidedAnswer(ticket, decision)
		}
	}
}

// run runs a request and closes its ticket, even if the caller disconnects.
func (i *Issuer) run(ctx context.Context, ticket ticketer.Ticket, request Request, done chan struct{}) *peerpb.ExecuteAnswer {
	defer i.running.Done()
	e := request.Execute
	e.RequestId = requestID(ticket)
	result := i.config.Runner.Run(context.WithoutCancel(ctx), request.Caller, request.Deadline, e)
	i.mu.Lock()
	i.table.Finish(i.config.Timers.Now(), ticket.ID, result.Outcome, result.Output)
	delete(i.ticketRuns, ticket.ID)
	i.mu.Unlock()
	close(done)
	return &peerpb.ExecuteAnswer{
		RequestId: e.RequestId, Outcome: result.Outcome, Failure: result.Failure, Result: result.Output,
	}
}

// requestID returns the identifier under which targets record the only run that
// a ticket allows.
func requestID(ticket ticketer.Ticket) string {
	return fmt.Sprintf("%s/%d/%d", ticket.Node, ticket.Incarnation, ticket.ID)
}

// waitFor reports whether done was closed before the context ended.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// decidedAnswer returns the answer to a request that is not run.
func decidedAnswer(ticket ticketer.Ticket, decision ticketer.Decision) (*peerpb.ExecuteAnswer, error) {
	id := requestID(ticket)
	switch decision.Verdict {
	case ticketer.VerdictKnown:
		return knownAnswer(id, decision.Answer)
	case ticketer.VerdictRefused:
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCodeTicketExpired, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN,
			Message: "the ticket has expired, was withdrawn or belongs to another request",
		}
	default:
		return unknownAnswer(id), nil
	}
}

// knownAnswer returns a recorded answer. A result that was not stored is an
// error, because an empty result would look complete.
func knownAnswer(id string, answer ticketer.Answer) (*peerpb.ExecuteAnswer, error) {
	if answer.ResultDropped {
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCodeFailed, Outcome: answer.Outcome,
			Message: "the request ran, but its result was not kept",
		}
	}
	return &peerpb.ExecuteAnswer{RequestId: id, Outcome: answer.Outcome, Result: answer.Result}, nil
}

func unknownAnswer(id string) *peerpb.ExecuteAnswer {
	return &peerpb.ExecuteAnswer{RequestId: id, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
}

// ticketError converts an error of the ticket table. During a key rotation a
// ticket that fails verification may have been signed with a key that this
// process does not have, so its request may have run.
func ticketError(op string, err error) error {
	code, outcome := callerapi.ErrorCodeTicketInvalid, peerpb.Outcome_OUTCOME_NOT_RUN
	switch ticketErrorKind(err) {
	case ticketer.KindFull, ticketer.KindFenced:
		code = callerapi.ErrorCodeOverloaded
	case ticketer.KindForged:
		outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return &Error{Op: op, Kind: code, Outcome: outcome, Message: err.Error()}
}

func ticketErrorKind(err error) ticketer.Kind {
	var failure *ticketer.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ticketer.KindInvalid
}

// Stop withdraws the unused tickets, waits for running requests and hands the
// finished answers over to other live gateways.
func (i *Issuer) Stop(ctx context.Context) {
	i.mu.Lock()
	i.table.Fence(i.config.Timers.Now())
	i.mu.Unlock()
	i.running.Wait()
	i.mu.Lock()
	answers := i.table.Fence(i.config.Timers.Now())
	i.mu.Unlock()
	if err := i.handOver(ctx, answers); err != nil {
		i.config.Log.Warn("answers were not handed over", zap.Int("answers", len(answers)), zap.Error(err))
	}
}

func durationOf(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
