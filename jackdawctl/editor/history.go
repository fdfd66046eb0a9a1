package editor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/storer"
)

const (
	historyPrefix     = "history/"
	maxHistoryEntries = 20
	// historyAttempts bounds the writes of the history when concurrent edits
	// change it too.
	historyAttempts = 5
)

// Replaced is one replaced document of a service.
type Replaced struct {
	Revision uint64 `json:"revision"`
	Edit     string `json:"edit,omitempty"`
	Text     string `json:"text"`
}

// history is the value of the key history/<service>. One value holds all replaced
// documents: the store has no delete operation, so a key for each revision could
// not be pruned. The history has a key of its own because nodes gossip the
// documents and have no use for replaced ones.
type history struct {
	Service string `json:"service"`
	// Replaced is in ascending order of revision.
	Replaced []Replaced `json:"replaced"`
}

// WrittenAt returns the time of the edit that wrote the document.
func (r Replaced) WrittenAt() (time.Time, bool) { return EditTime(r.Edit) }

func (r Replaced) toStored(service string) *StoredDocument {
	entry := storer.Entry{Key: servicesPrefix + service, Value: r.Text, Revision: r.Revision}
	return newStoredDocument(service, entry)
}

// EditTime returns the time encoded in an edit identifier.
func EditTime(editID string) (time.Time, bool) {
	id, err := uuid.Parse(editID[strings.LastIndexByte(editID, '/')+1:])
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()).UTC(), true
}

// History returns the replaced documents of a service, oldest first.
func (e *Editor) History(ctx context.Context, service string) ([]Replaced, error) {
	entry, err := e.store.Get(ctx, historyPrefix+service)
	if err != nil {
		return nil, &Error{Op: "history", Kind: KindNotRun, Err: err}
	}
	h, err := decodeHistory(service, entry)
	return h.Replaced, err
}

// Revision returns the document of a service at a revision, current or replaced.
func (e *Editor) Revision(ctx context.Context, service string, revision uint64) (*StoredDocument, error) {
	current, err := e.Read(ctx, service)
	if err != nil {
		return nil, err
	}
	if current.Revision == revision && revision != 0 {
		return current, nil
	}
	replaced, err := e.History(ctx, service)
	if err != nil {
		return nil, err
	}
	for _, r := range replaced {
		if r.Revision == revision {
			return r.toStored(service), nil
		}
	}
	err = fmt.Errorf("%s has no revision %d in its history", service, revision)
	return nil, &Error{Op: "revision", Kind: KindNotFound, Err: err}
}

func decodeHistory(service string, entry storer.Entry) (history, error) {
	h := history{Service: service}
	if entry.Revision == 0 {
		return h, nil
	}
	if err := json.Unmarshal([]byte(entry.Value), &h); err != nil {
		return h, &Error{Op: "history", Kind: KindInvalid, Err: err}
	}
	return h, nil
}

// addToHistory writes a document that is about to be replaced into the history. The
// entry stays correct if the edit fails later. Adding it is idempotent, so after a
// conflict or a lost answer the history is read and written again.
func (e *Editor) addToHistory(ctx context.Context, base *StoredDocument) error {
	var lastErr error
	for range historyAttempts {
		entry, err := e.store.Get(ctx, historyPrefix+base.Service)
		if err != nil {
			return err
		}
		h, err := decodeHistory(base.Service, entry)
		if err != nil {
			return err
		}
		if !h.add(base) {
			return nil
		}
		value, err := h.encode()
		if err != nil {
			return err
		}
		if _, lastErr = e.store.Put(ctx, historyPrefix+base.Service, value, entry.Revision); lastErr == nil {
			return nil
		}
		var failure *storer.Error
		if !errors.As(lastErr, &failure) || failure.Kind == storer.KindNotRun {
			return lastErr
		}
	}
	return lastErr
}

// add appends a document. It reports false if the history needs no write because
// its newest entry has the same or a later revision.
func (h *history) add(base *StoredDocument) bool {
	if n := len(h.Replaced); n > 0 && h.Replaced[n-1].Revision >= base.Revision {
		return false
	}
	replaced := Replaced{Revision: base.Revision, Text: base.Text}
	if base.Document != nil {
		replaced.Edit = base.Document.Edit
	}
	h.Replaced = append(h.Replaced, replaced)
	return true
}

// encode drops the oldest documents to stay within the limits of count and size. A
// last document that exceeds the size limit by itself is stored without its text.
func (h *history) encode() (string, error) {
	if extra := len(h.Replaced) - maxHistoryEntries; extra > 0 {
		h.Replaced = h.Replaced[extra:]
	}
	for {
		value, err := json.Marshal(h)
		if err != nil {
			return "", err
		}
		if len(value) <= parser.MaxBytes {
			return string(value), nil
		}
		if len(h.Replaced) == 1 {
			h.Replaced[0].Text = ""
			continue
		}
		h.Replaced = h.Replaced[1:]
	}
}
