package issuer

import (
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
