package storer

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package. It is also the code of the answer.
type Kind string

// Kinds of errors.
const (
	KindNotFound     Kind = "not-found"
	KindMismatch     Kind = "revision-mismatch"
	KindTooLarge     Kind = "too-large"
	KindLeaseExpired Kind = "lease-expired"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("storer: %s: %s", e.Op, e.Kind) }

// KindOf returns the kind of an error of this package, or an empty one.
func KindOf(err error) Kind {
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	return ""
}
