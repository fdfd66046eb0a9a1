package loader

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreadable means that the file cannot be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that the file has mistakes. For a settings file, the
	// wrapped error is a validator.Problems.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with the package, operation and kind.
func (e *Error) Error() string {
	return fmt.Sprintf("loader: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
