package issuer

import (
	"errors"
	"fmt"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger/peerpb"
)

// Error is the error type of this package. Its kind is the stable code that
// callers see.
type Error struct {
	Op      string
	Kind    callerapi.ErrorCode
	Outcome peerpb.Outcome
	Message string
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("issuer: %s: %s: %s", e.Op, e.Kind, e.Message) }

// with returns the error with another outcome.
func (e *Error) with(outcome peerpb.Outcome) *Error {
	changed := *e
	changed.Outcome = outcome
	return &changed
}

// refusalOr returns the refusal, if there is one, with the outcome that the
// check of the ticket has given.
func refusalOr(refusal *Error, err error) error {
	var failure *Error
	if refusal == nil || !errors.As(err, &failure) {
		return err
	}
	return refusal.with(failure.Outcome)
}
