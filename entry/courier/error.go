package courier

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no connection could be opened.
	KindUnreachable Kind = "unreachable"
	// KindClosed means that the connection closed before the answer.
	KindClosed Kind = "closed"
	// KindTimeout means that no answer arrived before the read deadline.
	KindTimeout Kind = "timeout"
	// KindGarbled means that an answer arrived that cannot be used.
	KindGarbled Kind = "garbled"
	// KindPanic means that the code that handled the answer panicked. The error holds
	// the stack.
	KindPanic Kind = "panic"
	// KindRetired means that the pool of the target was closed, because the target
	// was retired or has a new address, or the process stops.
	KindRetired Kind = "retired"
	// KindPaused means that the target wants no requests for a while.
	KindPaused Kind = "paused"
	// KindCancelled means that no connection was free in the time that the sender waited.
	KindCancelled Kind = "cancelled"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package, operation and kind.
func (e *Error) Error() string { return fmt.Sprintf("courier: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errClosedBeforeAnswer = errors.New("the connection ended before its first answer")

var errCancelled = &Error{Op: "send", Kind: KindCancelled, Err: errors.New("no connection in time")}

var errRetired = &Error{Op: "send", Kind: KindRetired, Err: errors.New("the connection pool of the target is closed")}

var errPaused = &Error{Op: "send", Kind: KindPaused, Err: errors.New("the target has asked for a pause")}
