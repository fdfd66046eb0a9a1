package loader

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreadable says that a file cannot be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid says that a file has mistakes. The cause is of the type
	// validator.Problems for a settings file.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("loader: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
