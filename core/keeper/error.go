package keeper

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindConflict means that the entry is not at the expected revision.
	KindConflict Kind = "conflict"
	// KindNotFound means that the key or lease does not exist.
	KindNotFound Kind = "not-found"
	// KindUnreachable means that the platform did not answer and that the call
	// changed nothing.
	KindUnreachable Kind = "unreachable"
	// KindUnknownOutcome means that a write was sent but no usable answer was
	// received, so it may have taken effect.
	KindUnknownOutcome Kind = "unknown-outcome"
	// KindTooLarge means that a value or an answer exceeds its limit.
	KindTooLarge Kind = "too-large"
	// KindRefused means that the platform rejected the call.
	KindRefused Kind = "refused"
	// KindMalformed means that an answer or an argument is invalid.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Current is the entry in the store, or nil if it was not received.
	Current *Entry
}

// Error returns the message, prefixed with the package and the operation.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("keeper: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("keeper: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
