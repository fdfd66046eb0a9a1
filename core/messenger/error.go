package messenger

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no session or link to the peer is open.
	KindUnreachable Kind = "unreachable"
	// KindUnauthenticated means that the TLS handshake failed, that the peer holds
	// no shared key or that this process has none.
	KindUnauthenticated Kind = "unauthenticated"
	// KindFull means that the stream's send queue is full.
	KindFull Kind = "full"
	// KindClosed means that the stream or session has ended.
	KindClosed Kind = "closed"
	// KindMalformed means that the peer sent a frame that cannot be decoded or
	// is not the expected one.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package, operation and kind.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("messenger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("messenger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
