package ticketer

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindMalformed   Kind = "malformed"
	KindForged      Kind = "forged"
	KindWrongCaller Kind = "wrong-caller"
	KindInvalid     Kind = "invalid"
	KindFull        Kind = "full"
	KindFenced      Kind = "fenced"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message with the package name and the operation.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("ticketer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("ticketer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an error of this package with the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}
