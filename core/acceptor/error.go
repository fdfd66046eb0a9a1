package acceptor

import "fmt"

// Kind classifies an error of this package.
type Kind string

// KindAddress means that the process cannot listen on the address.
const KindAddress Kind = "address"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package name.
func (e *Error) Error() string { return fmt.Sprintf("acceptor: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
