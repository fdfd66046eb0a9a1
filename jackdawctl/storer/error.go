package storer

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindConflict says that the key has another revision than expected, and
	// that nothing was written.
	KindConflict Kind = "conflict"
	// KindNotRun says that the request did not run.
	KindNotRun Kind = "not-run"
	// KindUnknown says that the request may have run, as its answer was lost.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Current is the entry in the store for a conflict.
	Current Entry
	Err     error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("storer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
