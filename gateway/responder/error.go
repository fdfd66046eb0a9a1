package responder

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	"jackdawcart.org/core/callerapi"
)

// Error is the error type of this package. Kind is the stable code that callers
// receive.
type Error struct {
	Op      string
	Kind    callerapi.ErrorCode
	Outcome callerapi.Outcome
	Message string
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("responder: %s: %s: %s", e.Op, e.Kind, e.Message)
}

func notRunError(op string, kind callerapi.ErrorCode, message string) *Error {
	return &Error{Op: op, Kind: kind, Outcome: callerapi.OutcomeNotRun, Message: message}
}

// httpStatuses maps each error code to its HTTP status.
var httpStatuses = map[callerapi.ErrorCode]int{
	callerapi.ErrorCodeMalformed:        http.StatusBadRequest,
	callerapi.ErrorCodeTooLarge:         http.StatusRequestEntityTooLarge,
	callerapi.ErrorCodeUnknownService:   http.StatusNotFound,
	callerapi.ErrorCodeDeadlineTooLate:  http.StatusBadRequest,
	callerapi.ErrorCodeOverloaded:       http.StatusTooManyRequests,
	callerapi.ErrorCodeNotReady:         http.StatusServiceUnavailable,
	callerapi.ErrorCodeShuttingDown:     http.StatusServiceUnavailable,
	callerapi.ErrorCodeQuarantined:      http.StatusUnprocessableEntity,
	callerapi.ErrorCodeUnavailable:      http.StatusServiceUnavailable,
	callerapi.ErrorCodeCoverageTooLow:   http.StatusServiceUnavailable,
	callerapi.ErrorCodeTicketInvalid:    http.StatusForbidden,
	callerapi.ErrorCodeTicketExpired:    http.StatusGone,
	callerapi.ErrorCodeStoreUnreachable: http.StatusServiceUnavailable,
	callerapi.ErrorCodeOutcomeUnknown:   http.StatusBadGateway,
	callerapi.ErrorCodeFailed:           http.StatusBadGateway,
	callerapi.ErrorCodeInternal:         http.StatusInternalServerError,
}

// NewError converts an error of a handler to the caller's response.
func (r *Responder) NewError(_ context.Context, err error) *callerapi.ErrorStatusCode {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = requestError(err)
	}
	r.errors.Counter(string(failure.Kind)).Inc(1)
	return &callerapi.ErrorStatusCode{
		StatusCode: httpStatuses[failure.Kind],
		Response:   callerapi.Error{Code: failure.Kind, Message: failure.Message, Outcome: failure.Outcome},
	}
}

// WriteError responds to a request that could not be decoded. The server calls
// no handler for it.
func (r *Responder) WriteError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	failure := r.NewError(ctx, err)
	body, err := failure.Response.MarshalJSON()
	if err != nil {
		http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(failure.StatusCode)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(body)
}

// requestError classifies an error that ogen reports before it calls a handler.
func requestError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunError("decode", callerapi.ErrorCodeTooLarge, "the request is larger than this gateway accepts")
	}
	var decode ogenerrors.Error
	if errors.As(err, &decode) && decode.Code() < http.StatusInternalServerError {
		return notRunError("decode", callerapi.ErrorCodeMalformed, err.Error())
	}
	return &Error{
		Op: "handle", Kind: callerapi.ErrorCodeInternal,
		Outcome: callerapi.OutcomeUnknown, Message: "internal error",
	}
}
