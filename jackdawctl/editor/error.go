package editor

import (
	"fmt"

	"jackdawcart.org/core/parser"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"
	KindNotFound Kind = "not-found"
	// KindNotRun says that nothing was written to the document.
	KindNotRun Kind = "not-run"
	// KindUnknown says that reading back did not show whether the edit took
	// effect.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("editor: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conflict is the error of an edit that lost a race. Nothing of it was
// written.
type Conflict struct {
	Service string
	// Seen is the revision that the operator saw.
	Seen    uint64
	Current *Stored
	// Changes lead from the revision seen to the current one.
	Changes parser.Changes
	// Unknown says that the revision seen is not in the history, so that there
	// are no changes to show.
	Unknown bool
}

// Error names the revisions and the edit that won.
func (c *Conflict) Error() string {
	edit := "unknown"
	if c.Current.Document != nil && c.Current.Document.Edit != "" {
		edit = c.Current.Document.Edit
	}
	return fmt.Sprintf("editor: conflict: %s is at revision %d by edit %s, not at revision %d; nothing was written",
		c.Service, c.Current.Revision, edit, c.Seen)
}
