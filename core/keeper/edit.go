package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/tailscale/hujson"
)

const (
	readBackAttempts = 5
	readBackPause    = 200 * time.Millisecond
)

// Edit is a change of a document against the revision that its author saw.
type Edit struct {
	Key   string
	Value []byte
	// Seen is the revision that the author saw; 0 means no entry.
	Seen uint64
	// ID is unique to this edit and stands in the value as its "edit" member.
	ID string
}

// marks are the members of a document that the store's clients read.
type marks struct {
	Service string `json:"service,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	Edit    string `json:"edit,omitempty"`
}

// Tombstone returns the value that marks a service as deleted.
func Tombstone(service, edit string) []byte {
	value, _ := json.Marshal(marks{Service: service, Deleted: true, Edit: edit})
	return value
}

// IsTombstone reports whether a value marks a service as deleted.
func IsTombstone(value []byte) bool { return readMarks(value).Deleted }

func readMarks(value []byte) marks {
	var m marks
	standard, err := hujson.Standardize(bytes.Clone(value))
	if err != nil {
		return marks{}
	}
	if err := json.Unmarshal(standard, &m); err != nil {
		return marks{}
	}
	return m
}

// Edit writes e once. When the answer is lost it reads the entry back instead
// of writing again. A conflict, and an outcome that stays unknown, carry the
// current entry.
func (c *Client) Edit(ctx context.Context, e Edit) (Entry, error) {
	if e.ID == "" || readMarks(e.Value).Edit != e.ID {
		return Entry{}, &Error{Op: "edit", Kind: KindMalformed, Err: errors.New("value does not carry the edit identifier")}
	}
	entry, err := c.Put(ctx, Write{Key: e.Key, Value: e.Value, Expected: e.Seen})
	var failure *Error
	if !errors.As(err, &failure) {
		return entry, err
	}
	switch failure.Kind {
	case KindConflict:
		return c.raced(e, failure)
	case KindUnknownOutcome:
		return c.readBack(ctx, e, failure)
	}
	return Entry{}, failure
}

// raced finds the edit in force when it was sent before, for instance by an
// operator who repeats it with the same identifier.
func (c *Client) raced(e Edit, conflict *Error) (Entry, error) {
	if conflict.Current != nil && readMarks(conflict.Current.Value).Edit == e.ID {
		return *conflict.Current, nil
	}
	return Entry{}, &Error{Op: "edit", Kind: KindConflict, Err: conflict.Err, Current: conflict.Current}
}

// readBack looks for the edit in the store. An entry that is still at the seen
// revision is read again, because the write may yet arrive. An entry of
// another edit leaves the outcome unknown: it may have replaced this one.
func (c *Client) readBack(ctx context.Context, e Edit, lost *Error) (Entry, error) {
	unknown := &Error{Op: "edit", Kind: KindUnknownOutcome, Err: lost.Err}
	for range readBackAttempts {
		entry, err := c.Get(ctx, e.Key)
		if err == nil {
			unknown.Current = &entry
			if readMarks(entry.Value).Edit == e.ID {
				return entry, nil
			}
			if entry.Revision != e.Seen {
				return Entry{}, unknown
			}
		}
		if !sleep(ctx, readBackPause) {
			return Entry{}, unknown
		}
	}
	return Entry{}, unknown
}

func sleep(ctx context.Context, d time.Duration) bool {
	pause := time.NewTimer(d)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
