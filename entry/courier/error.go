package courier

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable says that no connection could be opened.
	KindUnreachable Kind = "unreachable"
	// KindClosed says that the connection ended before the answer.
	KindClosed Kind = "closed"
	// KindTimeout says that no answer came in time.
	KindTimeout Kind = "timeout"
	// KindGarbled says that an answer cannot be used.
	KindGarbled Kind = "garbled"
	// KindRetired says that the target has left.
	KindRetired Kind = "retired"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("courier: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errNoRoom = errors.New("the connection ended before its first answer")

var errRetired = &Error{Op: "send", Kind: KindRetired, Err: errors.New("the target has left")}
