// Package issuer runs non-idempotent requests at most once, by tickets that
// only the issuing process may run.
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

// upkeepPeriod is how often old tickets are forgotten and keys are read again.
const upkeepPeriod = time.Second

const (
	// claimPoll is how long a repetition waits for a claim under way.
	claimPoll = 10 * time.Millisecond
	// heldPoll is the first wait for a key that another process holds; it
	// doubles, because each look costs the store two calls.
	heldPoll = 20 * time.Millisecond
	// maxKeyResult bounds a result kept in the store, in bytes.
	maxKeyResult = 64 << 10
)

// Runner runs a request at a target.
type Runner interface {
	Run(ctx context.Context, caller string, deadline time.Time, execute *peerpb.Execute) executor.Result
}

// Directory knows the gateways of the tier.
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

// Config joins the parts that an issuer uses.
type Config struct {
	Table     ticketer.Config
	Keys      messenger.KeySource
	Timers    *timer.Service
	Runner    Runner
	Directory Directory
	Sessions  Sessions
	Store     KeyValues
	Log       *zap.Logger
}

// Request is a non-idempotent request with its ticket.
type Request struct {
	Ticket   string
	Caller   string
	Deadline time.Time
	Execute  *peerpb.Execute
	// Refusal is why this gateway does not run the request, or nil. It is given
	// to the caller unless the ticket has been used already.
	Refusal *Error
}

// Issuer owns the tickets of one gateway process.
type Issuer struct {
	config Config

	mu      sync.Mutex
	table   *ticketer.Table
	waiting map[uint64]chan struct{}
	keys    map[string]chan struct{}
	running sync.WaitGroup
	claimer *claimer.Claimer
}

// New returns an issuer without tickets.
func New(config Config) (*Issuer, error) {
	keys, err := keyring(config.Keys)
	if err != nil {
		return nil, err
	}
	return &Issuer{
		config:  config,
		table:   ticketer.NewTable(config.Timers.Now(), config.Table, keys),
		waiting: make(map[uint64]chan struct{}),
		keys:    make(map[string]chan struct{}),
		claimer: claimer.New(claimer.Config{
			Node: config.Table.Node, Incarnation: config.Table.Incarnation,
			MaxOpen: config.Table.MaxTickets, MaxResultBytes: maxKeyResult,
		}, claims{config.Store}),
	}, nil
}

func keyring(source messenger.KeySource) (*ticketer.Keyring, error) {
	keys := source.SharedKeys()
	if len(keys) == 0 {
		return nil, &Error{Op: "load-keys", Kind: callerapi.ErrorCodeInternal, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
	}
	return ticketer.NewKeyring(keys[0], keys[1:]...)
}

// Run forgets old tickets and follows changes of the keys until the context ends.
func (i *Issuer) Run(ctx context.Context) {
	ticks := i.config.Timers.Every(upkeepPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.upkeep()
		case <-ctx.Done():
			return
		}
	}
}

// SettleClaims writes the ends of claims that an outage of the store has kept
// from being written, until the context ends.
func (i *Issuer) SettleClaims(ctx context.Context) {
	ticks := i.config.Timers.Every(upkeepPeriod)
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

func (i *Issuer) upkeep() {
	keys, err := keyring(i.config.Keys)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.Expire(i.config.Timers.Now())
	if err != nil {
		i.config.Log.Warn("keys cannot be used", zap.Error(err))
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

// Execute runs a request under its ticket, or returns what is known of it.
func (i *Issuer) Execute(ctx context.Context, request Request) (*peerpb.ExecuteAnswer, error) {
	i.mu.Lock()
	ticket, err := i.table.Verify(request.Ticket, request.Caller)
	if err != nil {
		i.mu.Unlock()
		return nil, refusalOr(request.Refusal, ticketError("execute", err))
	}
	incarnation, addr, known := i.config.Directory.Gateway(ticket.Node)
	issuer := container.None[uint64]()
	if known {
		issuer = container.Some(incarnation)
	}
	route := i.table.Route(ticket, issuer)
	i.mu.Unlock()
	if request.Refusal != nil && route != ticketer.RouteLocal {
		// Only its issuer knows whether the ticket has been used.
		return nil, request.Refusal.with(peerpb.Outcome_OUTCOME_UNKNOWN)
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
	return i.askSuccessor(ctx, ticket, request)
}

// execute decides on a ticket that this process has issued or adopted.
func (i *Issuer) execute(ctx context.Context, ticket ticketer.Ticket, request Request) (*peerpb.ExecuteAnswer, error) {
	e := request.Execute
	fingerprint := ticketer.FingerprintOf(e.Service, e.Operation, e.Payload)
	for {
		i.mu.Lock()
		decision := i.table.Begin(i.config.Timers.Now(), ticket, fingerprint)
		switch decision.Verdict {
		case ticketer.VerdictRun:
			if request.Refusal != nil {
				// The ticket ends here, so that a delayed copy cannot run either.
				i.table.Finish(i.config.Timers.Now(), ticket.ID, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
				i.mu.Unlock()
				return nil, request.Refusal
			}
			done := make(chan struct{})
			i.waiting[ticket.ID] = done
			i.running.Add(1)
			i.mu.Unlock()
			return i.run(ctx, ticket, request, done), nil
		case ticketer.VerdictWait:
			done := i.waiting[ticket.ID]
			i.mu.Unlock()
			if !waitFor(ctx, done) {
				return unknown(e.RequestId), nil
			}
		default:
			i.mu.Unlock()
			return settled(ticket, decision)
		}
	}
}

// run runs a request, also when its caller has gone: the ticket must end.
func (i *Issuer) run(ctx context.Context, ticket ticketer.Ticket, request Request, done chan struct{}) *peerpb.ExecuteAnswer {
	defer i.running.Done()
	e := request.Execute
	e.RequestId = requestID(ticket)
	result := i.config.Runner.Run(context.WithoutCancel(ctx), request.Caller, request.Deadline, e)
	i.mu.Lock()
	i.table.Finish(i.config.Timers.Now(), ticket.ID, result.Outcome, result.Output)
	delete(i.waiting, ticket.ID)
	i.mu.Unlock()
	close(done)
	return &peerpb.ExecuteAnswer{
		RequestId: e.RequestId, Outcome: result.Outcome, Failure: result.Failure, Result: result.Output,
	}
}

// requestID names the one run that a ticket allows, in the records of targets.
func requestID(ticket ticketer.Ticket) string {
	return fmt.Sprintf("%s/%d/%d", ticket.Node, ticket.Incarnation, ticket.ID)
}

func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// settled turns a decision that needs no run into an answer.
func settled(ticket ticketer.Ticket, decision ticketer.Decision) (*peerpb.ExecuteAnswer, error) {
	id := requestID(ticket)
	switch decision.Verdict {
	case ticketer.VerdictKnown:
		return known(id, decision.Answer)
	case ticketer.VerdictRefused:
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCodeTicketExpired, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN,
			Message: "the ticket has expired, was withdrawn or belongs to another request",
		}
	default:
		return unknown(id), nil
	}
}

// known returns a recorded answer. A result that was not kept is an error,
// because an empty one would look like the whole result.
func known(id string, answer ticketer.Answer) (*peerpb.ExecuteAnswer, error) {
	if answer.ResultDropped {
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCodeFailed, Outcome: answer.Outcome,
			Message: "the request ran, but its result was not kept",
		}
	}
	return &peerpb.ExecuteAnswer{RequestId: id, Outcome: answer.Outcome, Result: answer.Result}, nil
}

func unknown(id string) *peerpb.ExecuteAnswer {
	return &peerpb.ExecuteAnswer{RequestId: id, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
}

// ticketError gives the code and the outcome of a ticket that cannot be used.
// A tag that no key confirms may come from a key that this process does not
// hold during a rotation, so a request may have run under that ticket.
func ticketError(op string, err error) error {
	code, outcome := callerapi.ErrorCodeTicketInvalid, peerpb.Outcome_OUTCOME_NOT_RUN
	switch kindOfTicket(err) {
	case ticketer.KindFull, ticketer.KindFenced:
		code = callerapi.ErrorCodeOverloaded
	case ticketer.KindForged:
		outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return &Error{Op: op, Kind: code, Outcome: outcome, Message: err.Error()}
}

func kindOfTicket(err error) ticketer.Kind {
	var failure *ticketer.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ticketer.KindInvalid
}

// Stop withdraws the free tickets, waits for the running ones and hands the
// finished answers to a live gateway.
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
