package storer

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package. It is also the error code in answers.
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

// Error returns the message, prefixed with the package and operation.
func (e *Error) Error() string { return fmt.Sprintf("storer: %s: %s", e.Op, e.Kind) }

// KindOf returns the kind of an error of this package, or an empty kind for any
// other error or nil.
func KindOf(err error) Kind {
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Kind
	}
	return ""
}
