package messenger

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no session could be opened.
	KindUnreachable Kind = "unreachable"
	// KindUnauthenticated means that the peer does not hold a shared key.
	KindUnauthenticated Kind = "unauthenticated"
	// KindFull means that the stream's ring of outgoing frames is full.
	KindFull Kind = "full"
	// KindClosed means that the stream or session has ended.
	KindClosed Kind = "closed"
	// KindMalformed means that the peer sent something unreadable.
	KindMalformed Kind = "malformed"
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
		return fmt.Sprintf("messenger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("messenger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
