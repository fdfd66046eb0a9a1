package claimer

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors. A Store returns only the first three.
const (
	KindConflict    Kind = "conflict"
	KindUnreachable Kind = "unreachable"
	KindAnswerLost  Kind = "answer-lost"
	KindMalformed   Kind = "malformed"
	KindNotRunning  Kind = "not-running"
)

// Errors of a Store. Any other error of Put is handled as a lost answer, because
// the value may have been written.
var (
	// ErrConflict means that the key does not have the expected revision.
	ErrConflict = &Error{Op: "store", Kind: KindConflict}
	// ErrUnreachable means that the call did not reach the store and cannot
	// reach it later.
	ErrUnreachable = &Error{Op: "store", Kind: KindUnreachable}
	// ErrAnswerLost means that the call may have reached the store or may still
	// reach it.
	ErrAnswerLost = &Error{Op: "store", Kind: KindAnswerLost}
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message with the package name and the operation.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("claimer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("claimer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an error of this package with the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

func isKind(err error, kind Kind) bool {
	return errors.Is(err, &Error{Kind: kind})
}
