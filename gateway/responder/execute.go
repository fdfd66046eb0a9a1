package responder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/gateway/issuer"
)

// defaultExecuteDeadline applies if the caller sets no deadline. It is longer
// than that of a query, because a non-idempotent request is not hedged.
const defaultExecuteDeadline = 2 * time.Second

// maxExecuteDeadline limits how long a request may hold its ticket.
const maxExecuteDeadline = 10 * time.Second

// IssueTicket issues a ticket for one non-idempotent request.
func (r *Responder) IssueTicket(_ context.Context, params callerapi.IssueTicketParams) (*callerapi.Ticket, error) {
	if refusal := r.refuseUnlessServing("issue-ticket"); refusal != nil {
		return nil, refusal
	}
	ticket, err := r.config.Issuer.Issue(params.JackdawcartCaller)
	if err != nil {
		return nil, executeError(err)
	}
	r.config.Metrics.Counter("tickets").Inc(1)
	return &callerapi.Ticket{Ticket: ticket, ExpiresIn: r.config.TicketExpiry}, nil
}

// Execute runs a non-idempotent request at most once.
func (r *Responder) Execute(ctx context.Context, request *callerapi.ExecuteRequest, params callerapi.ExecuteParams) (*callerapi.ExecuteAnswer, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx = tracer.WithTraceparent(ctx, params.Traceparent.Or(""))
	ctx, span := r.config.Tracer.Start(ctx, "execute",
		attribute.String("service", request.Service), attribute.String("operation", request.Operation))
	defer span.End()
	prepared, err := r.prepareExecute(ctx, request, params.JackdawcartCaller)
	if err != nil {
		return nil, err
	}
	answer, err := r.runOnce(ctx, request, prepared)
	if err != nil {
		return nil, executeError(err)
	}
	r.config.Log.Info("request executed", zap.String("request-id", answer.RequestId), zap.String("service", request.Service),
		zap.String("operation", request.Operation), zap.Stringer("outcome", answer.Outcome), zap.Stringer("failure", answer.Failure))
	return executeReply(answer)
}

func (r *Responder) runOnce(ctx context.Context, request *callerapi.ExecuteRequest, prepared issuer.Request) (*peerpb.ExecuteAnswer, error) {
	if key, ok := request.IdempotencyKey.Get(); ok {
		return r.config.Issuer.ExecuteKey(ctx, key, prepared)
	}
	return r.config.Issuer.Execute(ctx, prepared)
}

// prepareExecute validates a request before any target is involved. If a request
// with a ticket is refused, the refusal is passed on to the issuer in the result
// instead of being returned as an error.
func (r *Responder) prepareExecute(ctx context.Context, request *callerapi.ExecuteRequest, caller string) (issuer.Request, error) {
	if request.Ticket.IsSet() == request.IdempotencyKey.IsSet() {
		return issuer.Request{}, notRunError("execute", callerapi.ErrorCodeMalformed, "name either a ticket or an idempotency key")
	}
	fingerprint := quarantiner.Fingerprint(request.Service, request.Operation, request.Payload)
	deadline := request.Deadline.Or(defaultExecuteDeadline)
	refusal := r.refuseExecute(request.Service, deadline, fingerprint)
	if refusal != nil && !request.Ticket.IsSet() {
		return issuer.Request{}, refusal
	}
	return issuer.Request{
		Refusal:  issuerRefusal(refusal),
		Ticket:   request.Ticket.Or(""),
		Caller:   caller,
		Deadline: r.config.Timers.Now().Add(min(deadline, maxExecuteDeadline)),
		Execute: &peerpb.Execute{
			RequestId: uuid.NewString(), Service: request.Service, Operation: request.Operation,
			Payload: []byte(request.Payload), Traceparent: tracer.Traceparent(ctx), Fingerprint: fingerprint,
		},
	}, nil
}

// issuerRefusal converts a refusal for the issuer, which knows whether the ticket
// has been used.
func issuerRefusal(refusal *Error) *issuer.Error {
	if refusal == nil {
		return nil
	}
	return &issuer.Error{
		Op: refusal.Op, Kind: refusal.Kind, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Message: refusal.Message,
	}
}

// refuseExecute returns the reason why a request is refused, or nil.
func (r *Responder) refuseExecute(service string, deadline time.Duration, fingerprint uint64) *Error {
	if refusal := r.refuseUnlessServing("execute"); refusal != nil {
		return refusal
	}
	_, known := r.config.Table.Service(service)
	switch {
	case !known:
		return notRunError("execute", callerapi.ErrorCodeUnknownService, fmt.Sprintf("no service is named %q", service))
	case deadline < minDeadline:
		return notRunError("execute", callerapi.ErrorCodeDeadlineTooLate, fmt.Sprintf("a deadline of %s leaves no time", deadline))
	case r.config.Control.Quarantined(fingerprint):
		return notRunError("execute", callerapi.ErrorCodeQuarantined, "this request has taken targets down and is refused for a time")
	}
	return nil
}

// refuseUnlessServing returns a refusal if the gateway is shutting down or has no
// configuration yet, and nil otherwise.
func (r *Responder) refuseUnlessServing(op string) *Error {
	if r.Stopping() {
		return notRunError(op, callerapi.ErrorCodeShuttingDown, "this gateway is stopping; try another")
	}
	if !r.config.Control.Ready() {
		return notRunError(op, callerapi.ErrorCodeNotReady, "no configuration is in force yet")
	}
	return nil
}

func executeReply(answer *peerpb.ExecuteAnswer) (*callerapi.ExecuteAnswer, error) {
	switch answer.Outcome {
	case peerpb.Outcome_OUTCOME_RAN:
		return &callerapi.ExecuteAnswer{RequestID: answer.RequestId, Result: string(answer.Result)}, nil
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return nil, notRunError("execute", refusalCode(answer.Failure), "the request was not run: "+answer.Failure.String())
	default:
		return nil, &Error{
			Op: "execute", Kind: callerapi.ErrorCodeOutcomeUnknown, Outcome: callerapi.OutcomeUnknown,
			Message: "the request may have run; ask again with the same ticket or key",
		}
	}
}

func refusalCode(failure peerpb.FailureKind) callerapi.ErrorCode {
	switch failure {
	case peerpb.FailureKind_FAILURE_OVERLOADED, peerpb.FailureKind_FAILURE_DEADLINE:
		return callerapi.ErrorCodeOverloaded
	case peerpb.FailureKind_FAILURE_QUARANTINED:
		return callerapi.ErrorCodeQuarantined
	default:
		return callerapi.ErrorCodeUnavailable
	}
}

// executeError converts an error of the issuer to an error of this package.
func executeError(err error) error {
	var failure *issuer.Error
	if !errors.As(err, &failure) {
		return err
	}
	return &Error{Op: failure.Op, Kind: failure.Kind, Outcome: callerOutcome(failure.Outcome), Message: failure.Message}
}

func callerOutcome(outcome peerpb.Outcome) callerapi.Outcome {
	switch outcome {
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return callerapi.OutcomeNotRun
	case peerpb.Outcome_OUTCOME_RAN:
		return callerapi.OutcomeRan
	default:
		return callerapi.OutcomeUnknown
	}
}
