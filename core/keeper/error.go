package keeper

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindConflict says that the entry is not at the expected revision.
	KindConflict Kind = "conflict"
	// KindNotFound says that the key has no entry.
	KindNotFound Kind = "not-found"
	// KindUnreachable says that the platform did not answer and that the call
	// changed nothing.
	KindUnreachable Kind = "unreachable"
	// KindUnknownOutcome says that a write was sent and its answer was lost.
	KindUnknownOutcome Kind = "unknown-outcome"
	// KindTooLarge says that a value or an answer exceeds its limit.
	KindTooLarge Kind = "too-large"
	// KindRefused says that the platform rejected the call.
	KindRefused Kind = "refused"
	// KindMalformed says that an answer or an argument cannot be understood.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Current is the entry in the store, when the store has shown it.
	Current *Entry
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("keeper: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("keeper: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
