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
	// KindNotRun means that the document was not written.
	KindNotRun Kind = "not-run"
	// KindUnknown means that the edit may have taken effect: reading back did not
	// show its outcome.
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

// Conflict is the error of an edit whose base is no longer the current revision.
// The document was not written.
type Conflict struct {
	Service string
	// BaseRevision is the revision that the operator edited.
	BaseRevision uint64
	Current      *StoredDocument
	// Changes are the differences between the base and the current revision.
	Changes parser.Changes
	// BaseUnknown means that the base revision is not in the history, so that
	// Changes is empty.
	BaseUnknown bool
}

// Error returns a message with both revisions and the current edit.
func (c *Conflict) Error() string {
	editID := "unknown"
	if c.Current.Document != nil && c.Current.Document.Edit != "" {
		editID = c.Current.Document.Edit
	}
	return fmt.Sprintf("editor: conflict: %s is at revision %d by edit %s, not at revision %d; nothing was written",
		c.Service, c.Current.Revision, editID, c.BaseRevision)
}
