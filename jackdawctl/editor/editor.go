// Package editor reads and changes the service documents in the platform's
// key-value service.
//
// An edit is a compare-and-swap against the revision that the operator saw. It
// takes two reads and two writes of the store: the document, the history, the
// history with the document that is about to be replaced, and the document.
// Because the history is written first, it never lacks a replaced document,
// whenever an edit is cut short.
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

// Store is what an editor needs of the key-value service. Errors are of the
// type *storer.Error.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) ([]storer.Entry, error)
	Put(ctx context.Context, key, value string, expected uint64) (storer.Entry, error)
}

// Stored is a document as it is in the store.
type Stored struct {
	Service string
	Text    string
	// Revision is 0 when the document does not exist.
	Revision uint64
	// Document is nil when there is none or when the text is invalid.
	Document *parser.Document
}

// Editor changes documents on behalf of one operator.
type Editor struct {
	store    Store
	operator string
	// readBack are the waits before each attempt to find out whether a write
	// whose answer was lost took effect. A write can reach the store late.
	readBack []time.Duration
}

// New returns an editor. The operator becomes part of the edit identifiers.
func New(store Store, operator string) *Editor {
	return &Editor{
		store:    store,
		operator: operator,
		readBack: []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second},
	}
}

// Read returns the document of a service, with revision 0 if there is none.
func (e *Editor) Read(ctx context.Context, service string) (*Stored, error) {
	entry, err := e.store.Get(ctx, servicesPrefix+service)
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindNotRun, Err: err}
	}
	return newStored(service, entry), nil
}

// List returns the documents of all services.
func (e *Editor) List(ctx context.Context) ([]*Stored, error) {
	entries, err := e.store.List(ctx, servicesPrefix)
	if err != nil {
		return nil, &Error{Op: "list", Kind: KindNotRun, Err: err}
	}
	var all []*Stored
	for _, entry := range entries {
		all = append(all, newStored(strings.TrimPrefix(entry.Key, servicesPrefix), entry))
	}
	return all, nil
}

func newStored(service string, entry storer.Entry) *Stored {
	stored := &Stored{Service: service, Text: entry.Value, Revision: entry.Revision}
	if entry.Revision == 0 {
		return stored
	}
	if doc, err := parser.ParseFile(entry.Key, []byte(entry.Value)); err == nil {
		stored.Document = doc
	}
	return stored
}

// Write replaces the document that the operator saw by the given text. The
// error is a *Conflict if the store has another revision than the one seen.
func (e *Editor) Write(ctx context.Context, seen *Stored, text []byte) (*Stored, error) {
	edit, stamped, err := e.stamp(seen, text)
	if err != nil {
		return nil, &Error{Op: "write", Kind: KindInvalid, Err: err}
	}
	if seen.Revision != 0 {
		if err := e.remember(ctx, seen); err != nil {
			return nil, &Error{Op: "write", Kind: KindNotRun, Err: fmt.Errorf("history: %w", err)}
		}
	}
	key := servicesPrefix + seen.Service
	entry, err := e.store.Put(ctx, key, string(stamped), seen.Revision)
	if err == nil {
		entry.Key, entry.Value = key, string(stamped)
		return newStored(seen.Service, entry), nil
	}
	var failure *storer.Error
	if !errors.As(err, &failure) {
		return nil, &Error{Op: "write", Kind: KindUnknown, Err: err}
	}
	switch failure.Kind {
	case storer.KindConflict:
		return e.resolve(ctx, seen, edit, newStored(seen.Service, failure.Current))
	case storer.KindUnknown:
		return e.readBackEdit(ctx, seen, edit, err)
	default:
		return nil, &Error{Op: "write", Kind: KindNotRun, Err: err}
	}
}

// stamp gives the text a unique edit identifier and checks the result.
func (e *Editor) stamp(seen *Stored, text []byte) (string, []byte, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", nil, err
	}
	edit := e.operator + "/" + id.String()
	stamped, err := parser.SetEdit(text, edit)
	if err != nil {
		return "", nil, err
	}
	doc, err := parser.ParseFile(seen.Service, stamped)
	if err != nil {
		return "", nil, err
	}
	if doc.Service != seen.Service {
		return "", nil, fmt.Errorf("document is of service %q, not of %q", doc.Service, seen.Service)
	}
	return edit, stamped, nil
}

// readBackEdit finds out whether a write whose answer was lost took effect. It
// never writes again, as the first write may still arrive.
func (e *Editor) readBackEdit(ctx context.Context, seen *Stored, edit string, lost error) (*Stored, error) {
	last := lost
	for _, wait := range e.readBack {
		select {
		case <-ctx.Done():
			return nil, unknown(edit, last)
		case <-time.After(wait):
		}
		current, err := e.Read(ctx, seen.Service)
		if err != nil {
			last = err
			continue
		}
		if current.Revision != seen.Revision {
			return e.resolve(ctx, seen, edit, current)
		}
	}
	return nil, unknown(edit, last)
}

func unknown(edit string, err error) error {
	return &Error{Op: "write", Kind: KindUnknown, Err: fmt.Errorf("edit %s: %w", edit, err)}
}

// resolve decides an edit after the store has left the revision seen. The edit
// took effect if the current document or a replaced one bears its identifier.
func (e *Editor) resolve(ctx context.Context, seen *Stored, edit string, current *Stored) (*Stored, error) {
	if current.Document != nil && current.Document.Edit == edit {
		return current, nil
	}
	history, err := e.History(ctx, seen.Service)
	if err != nil {
		return nil, unknown(edit, err)
	}
	for _, replaced := range history {
		if replaced.Edit == edit {
			return replaced.stored(seen.Service), nil
		}
	}
	return nil, newConflict(seen, current)
}

// CheckSeen returns a *Conflict unless the current document has the revision
// that the operator saw.
func (e *Editor) CheckSeen(ctx context.Context, revision uint64, current *Stored) error {
	if current.Revision == revision {
		return nil
	}
	seen := &Stored{Service: current.Service, Revision: revision}
	if history, err := e.History(ctx, current.Service); err == nil {
		for _, replaced := range history {
			if replaced.Revision == revision {
				seen = replaced.stored(current.Service)
			}
		}
	}
	return newConflict(seen, current)
}

func newConflict(seen, current *Stored) *Conflict {
	conflict := &Conflict{Service: seen.Service, Seen: seen.Revision, Current: current}
	if seen.Document == nil && seen.Revision != 0 {
		conflict.Unknown = true
		return conflict
	}
	if changes, err := parser.Diff(seen.Document, current.Document); err == nil {
		conflict.Changes = changes
	}
	return conflict
}
