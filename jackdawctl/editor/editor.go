// Package editor reads and changes the service documents in the platform's
// key-value service.
//
// An edit is a compare-and-swap against its base: the revision that the operator
// edited. It takes two reads and two writes of the store, in this order: read the
// document, read the history, write the history with the document that is about to
// be replaced, write the new document. Because the history is written first, it
// holds every replaced document even if an edit is interrupted.
package editor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/storer"
)

const servicesPrefix = "services/"

// Store is the part of the key-value service that an editor uses. Its errors are
// of the type *storer.Error.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, key, value string, expected uint64) (storer.Entry, error)
}

// StoredDocument is a document as read from the store.
type StoredDocument struct {
	Service string
	Text    string
	// Revision is 0 when the document does not exist.
	Revision uint64
	// Document is nil when the document does not exist or its text is invalid.
	Document *parser.Document
}

// Editor changes documents on behalf of one operator.
type Editor struct {
	store    Store
	operator string
	// readBackDelays are the delays before the reads that check whether a write
	// whose answer was lost took effect. The write can reach the store late.
	readBackDelays []time.Duration
}

// New returns an editor. The operator's name becomes part of the edit identifiers.
func New(store Store, operator string) *Editor {
	return &Editor{
		store:          store,
		operator:       operator,
		readBackDelays: []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second},
	}
}

// Read returns the document of a service, with revision 0 if there is none.
func (e *Editor) Read(ctx context.Context, service string) (*StoredDocument, error) {
	entry, err := e.store.Get(ctx, servicesPrefix+service)
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindNotRun, Err: err}
	}
	return newStoredDocument(service, entry), nil
}

// List returns the documents of all services.
func (e *Editor) List(ctx context.Context) ([]*StoredDocument, error) {
	entries, err := e.store.List(ctx, servicesPrefix)
	if err != nil {
		return nil, &Error{Op: "list", Kind: KindNotRun, Err: err}
	}
	var all []*StoredDocument
	for _, entry := range entries {
		all = append(all, newStoredDocument(strings.TrimPrefix(entry.Key, servicesPrefix), entry))
	}
	return all, nil
}

func newStoredDocument(service string, entry storer.Entry) *StoredDocument {
	stored := &StoredDocument{Service: service, Text: entry.Value, Revision: entry.Revision}
	if entry.Revision == 0 {
		return stored
	}
	if doc, err := parser.ParseFile(entry.Key, []byte(entry.Value)); err == nil {
		stored.Document = doc
	}
	return stored
}

// Write replaces the base document by the given text. The error is a *Conflict if
// the store no longer has the base revision.
func (e *Editor) Write(ctx context.Context, base *StoredDocument, text []byte) (*StoredDocument, error) {
	editID, stamped, err := e.stamp(base, text)
	if err != nil {
		return nil, &Error{Op: "write", Kind: KindInvalid, Err: err}
	}
	if base.Revision != 0 {
		if err := e.addToHistory(ctx, base); err != nil {
			return nil, &Error{Op: "write", Kind: KindNotRun, Err: fmt.Errorf("history: %w", err)}
		}
	}
	key := servicesPrefix + base.Service
	entry, err := e.store.Put(ctx, key, string(stamped), base.Revision)
	if err == nil {
		entry.Key, entry.Value = key, string(stamped)
		return newStoredDocument(base.Service, entry), nil
	}
	var failure *storer.Error
	if !errors.As(err, &failure) {
		return nil, &Error{Op: "write", Kind: KindUnknown, Err: err}
	}
	switch failure.Kind {
	case storer.KindConflict:
		return e.resolveEdit(ctx, base, editID, newStoredDocument(base.Service, failure.Current))
	case storer.KindUnknown:
		return e.readBackEdit(ctx, base, editID, err)
	default:
		return nil, &Error{Op: "write", Kind: KindNotRun, Err: err}
	}
}

// stamp puts a new edit identifier into the text and validates the result.
func (e *Editor) stamp(base *StoredDocument, text []byte) (string, []byte, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", nil, err
	}
	editID := e.operator + "/" + id.String()
	stamped, err := parser.SetEdit(text, editID)
	if err != nil {
		return "", nil, err
	}
	doc, err := parser.ParseFile(base.Service, stamped)
	if err != nil {
		return "", nil, err
	}
	if doc.Service != base.Service {
		return "", nil, fmt.Errorf("document is for service %q, not for %q", doc.Service, base.Service)
	}
	return editID, stamped, nil
}

// readBackEdit reads the document to determine whether a write whose answer was
// lost took effect. It never repeats the write, as the first may still arrive.
func (e *Editor) readBackEdit(ctx context.Context, base *StoredDocument, editID string, writeErr error) (*StoredDocument, error) {
	lastErr := writeErr
	for _, wait := range e.readBackDelays {
		select {
		case <-ctx.Done():
			return nil, unknownOutcome(editID, lastErr)
		case <-time.After(wait):
		}
		current, err := e.Read(ctx, base.Service)
		if err != nil {
			lastErr = err
			continue
		}
		if current.Revision != base.Revision {
			return e.resolveEdit(ctx, base, editID, current)
		}
	}
	return nil, unknownOutcome(editID, lastErr)
}

func unknownOutcome(editID string, err error) error {
	return &Error{Op: "write", Kind: KindUnknown, Err: fmt.Errorf("edit %s: %w", editID, err)}
}

// resolveEdit determines the outcome of an edit once the store has a revision other
// than the base. The edit took effect if the current document or one in the history
// has its identifier.
func (e *Editor) resolveEdit(ctx context.Context, base *StoredDocument, editID string, current *StoredDocument) (*StoredDocument, error) {
	if current.Document != nil && current.Document.Edit == editID {
		return current, nil
	}
	history, err := e.History(ctx, base.Service)
	if err != nil {
		return nil, unknownOutcome(editID, err)
	}
	for _, replaced := range history {
		if replaced.Edit == editID {
			return replaced.toStored(base.Service), nil
		}
	}
	return nil, newConflict(base, current)
}

// CheckRevision returns a *Conflict unless the current document has the given base
// revision.
func (e *Editor) CheckRevision(ctx context.Context, revision uint64, current *StoredDocument) error {
	if current.Revision == revision {
		return nil
	}
	base := &StoredDocument{Service: current.Service, Revision: revision}
	if history, err := e.History(ctx, current.Service); err == nil {
		for _, replaced := range history {
			if replaced.Revision == revision {
				base = replaced.toStored(current.Service)
			}
		}
	}
	return newConflict(base, current)
}

func newConflict(base, current *StoredDocument) *Conflict {
	conflict := &Conflict{Service: base.Service, BaseRevision: base.Revision, Current: current}
	if base.Document == nil && base.Revision != 0 {
		conflict.BaseUnknown = true
		return conflict
	}
	if changes, err := parser.Diff(base.Document, current.Document); err == nil {
		conflict.Changes = changes
	}
	return conflict
}
