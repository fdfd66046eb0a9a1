package storer

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindConflict means that the key does not have the expected revision and
	// nothing was written.
	KindConflict Kind = "conflict"
	// KindNotRun means that the request did not run.
	KindNotRun Kind = "not-run"
	// KindUnknown means that the request may have run, because its answer was lost
	// or unusable.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Current is the stored entry, set for a conflict only.
	Current Entry
	Err     error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("storer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
