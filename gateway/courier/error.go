package courier

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no stream to the relay is open.
	KindUnreachable Kind = "unreachable"
	// KindFull means that the stream takes no more frames.
	KindFull Kind = "full"
)

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Relay string
	Err   error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("courier: %s %s: %s", e.Op, e.Relay, e.Kind)
	}
	return fmt.Sprintf("courier: %s %s: %s: %v", e.Op, e.Relay, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
