package courier

import "fmt"

// Kind classifies an error of this package.
type Kind string

// KindUnreachable means that there is no open link to the relay.
const KindUnreachable Kind = "unreachable"

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
