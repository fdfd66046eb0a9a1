package issuer

import (
	"errors"
	"fmt"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger/peerpb"
)

// Error is the error type of this package. Kind is the stable code that callers
// receive.
type Error struct {
	Op      string
	Kind    callerapi.ErrorCode
	Outcome peerpb.Outcome
	Message string
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("issuer: %s: %s: %s", e.Op, e.Kind, e.Message) }

// withOutcome returns a copy of the error with the given outcome.
func (e *Error) withOutcome(outcome peerpb.Outcome) *Error {
	changed := *e
	changed.Outcome = outcome
	return &changed
}

// preferRefusal returns err or, if there is a refusal, the refusal with the
// outcome of err.
func preferRefusal(refusal *Error, err error) error {
	var failure *Error
	if refusal == nil || !errors.As(err, &failure) {
		return err
	}
	return refusal.withOutcome(failure.Outcome)
}
