package simulator

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindAddress Kind = "address"
	KindFault   Kind = "fault"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package, operation and kind.
func (e *Error) Error() string {
	return fmt.Sprintf("simulator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
