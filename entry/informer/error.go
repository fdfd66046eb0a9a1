package informer

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no connection to the VM could be opened.
	KindUnreachable Kind = "unreachable"
	// KindUnanswered means that no usable answer came in time.
	KindUnanswered Kind = "unanswered"
	// KindNotReading means that the VM does not read from the store itself or has
	// lost it.
	KindNotReading Kind = "not-reading"
	// KindHistoryLost means that the VM no longer has the requested changes.
	KindHistoryLost Kind = "history-lost"
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
		return fmt.Sprintf("informer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("informer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func isKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
