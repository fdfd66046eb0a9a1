package quoter

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindMalformed means that a message cannot be used.
	KindMalformed Kind = "malformed"
	// KindUnreachable means that no connection to the VM could be opened.
	KindUnreachable Kind = "unreachable"
	// KindUnanswered means that no answer came in time.
	KindUnanswered Kind = "unanswered"
	// KindFull means that too many requests wait for the VM.
	KindFull Kind = "full"
	// KindClosed means that the connection has ended.
	KindClosed Kind = "closed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("quoter: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("quoter: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
