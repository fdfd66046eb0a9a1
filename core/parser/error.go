package parser

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindMalformed means that the text cannot be parsed.
	KindMalformed Kind = "malformed"
	// KindInvalid means that the document violates the schema or a semantic rule.
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
	return fmt.Sprintf("parser: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
