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
	historyPrefix = "history/"
	// maxHistory is the number of replaced documents that are kept.
	maxHistory = 20
	// historyAttempts bounds the retries when other edits change the history
	// at the same time.
	historyAttempts = 5
)

// Replaced is one replaced document of a service.
type Replaced struct {
	Revision uint64 `json:"revision"`
	Edit     string `json:"edit,omitempty"`
	Text     string `json:"text"`
}

// history is the value under history/<service>. One value holds all replaced
// documents, because the store has no deletion with which keys for single
// revisions could be pruned. It is apart from the document, because nodes
// receive documents by gossip and have no use for old ones.
type history struct {
	Service string `json:"service"`
	// Replaced is in ascending order of revisions.
	Replaced []Replaced `json:"replaced"`
}

// At returns the time of the edit that wrote the document.
func (r Replaced) At() (time.Time, bool) { return EditTime(r.Edit) }

func (r Replaced) stored(service string) *Stored {
	entry := storer.Entry{Key: servicesPrefix + service, Value: r.Text, Revision: r.Revision}
	return newStored(service, entry)
}

// EditTime returns the time in an edit identifier.
func EditTime(edit string) (time.Time, bool) {
	id, err := uuid.Parse(edit[strings.LastIndexByte(edit, '/')+1:])
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

// Revision returns the document that a service had at a revision.
func (e *Editor) Revision(ctx context.Context, service string, revision uint64) (*Stored, error) {
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
			return r.stored(service), nil
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

// remember puts a document that is about to be replaced into the history. An
// entry stays true if the edit fails later, and repeating it has no effect, so
// that a lost answer is resolved by reading again.
func (e *Editor) remember(ctx context.Context, seen *Stored) error {
	var last error
	for range historyAttempts {
		entry, err := e.store.Get(ctx, historyPrefix+seen.Service)
		if err != nil {
			return err
		}
		h, err := decodeHistory(seen.Service, entry)
		if err != nil {
			return err
		}
		if !h.add(seen) {
			return nil
		}
		value, err := h.encode()
		if err != nil {
			return err
		}
		if _, last = e.store.Put(ctx, historyPrefix+seen.Service, value, entry.Revision); last == nil {
			return nil
		}
		var failure *storer.Error
		if !errors.As(last, &failure) || failure.Kind == storer.KindNotRun {
			return last
		}
	}
	return last
}

// add appends a document and reports false if there is nothing to write,
// because the history has it or has newer ones only.
func (h *history) add(seen *Stored) bool {
	if n := len(h.Replaced); n > 0 && h.Replaced[n-1].Revision >= seen.Revision {
		return false
	}
	replaced := Replaced{Revision: seen.Revision, Text: seen.Text}
	if seen.Document != nil {
		replaced.Edit = seen.Document.Edit
	}
	h.Replaced = append(h.Replaced, replaced)
	return true
}

// encode drops the oldest documents over the limits of number and size. A
// single document that fills a value by itself is kept without its text.
func (h *history) encode() (string, error) {
	if extra := len(h.Replaced) - maxHistory; extra > 0 {
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
