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
	readBackInterval = 200 * time.Millisecond
)

// Edit is a change of a document, conditional on the revision that its author saw.
type Edit struct {
	Key   string
	Value []byte
	// SeenRevision is the revision that the author saw; 0 means no entry.
	SeenRevision uint64
	// ID is unique to this edit and must be the "edit" member of the value.
	ID string
}

// documentMetadata holds the members of a document that clients of the store
// interpret.
type documentMetadata struct {
	Service string `json:"service,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	Edit    string `json:"edit,omitempty"`
}

// Tombstone returns the value that marks a service as deleted.
func Tombstone(service, edit string) []byte {
	value, _ := json.Marshal(documentMetadata{Service: service, Deleted: true, Edit: edit})
	return value
}

// IsTombstone reports whether a value marks a service as deleted.
func IsTombstone(value []byte) bool { return readMetadata(value).Deleted }

func readMetadata(value []byte) documentMetadata {
	var m documentMetadata
	standard, err := hujson.Standardize(bytes.Clone(value))
	if err != nil {
		return documentMetadata{}
	}
	if err := json.Unmarshal(standard, &m); err != nil {
		return documentMetadata{}
	}
	return m
}

// Edit writes e once. If the answer is lost, it reads the entry back instead of
// writing again. Errors for a conflict or an unknown outcome contain the current
// entry.
func (c *Client) Edit(ctx context.Context, e Edit) (Entry, error) {
	if e.ID == "" || readMetadata(e.Value).Edit != e.ID {
		return Entry{}, &Error{Op: "edit", Kind: KindMalformed, Err: errors.New("value does not carry the edit identifier")}
	}
	entry, err := c.Put(ctx, Write{Key: e.Key, Value: e.Value, Expected: e.SeenRevision})
	var failure *Error
	if !errors.As(err, &failure) {
		return entry, err
	}
	switch failure.Kind {
	case KindConflict:
		return c.resolveConflict(e, failure)
	case KindUnknownOutcome:
		return c.readBack(ctx, e, failure)
	}
	return Entry{}, failure
}

// resolveConflict treats a conflict as success if the current entry is this edit,
// as when an operator repeats it with the same identifier.
func (c *Client) resolveConflict(e Edit, conflict *Error) (Entry, error) {
	if conflict.Current != nil && readMetadata(conflict.Current.Value).Edit == e.ID {
		return *conflict.Current, nil
	}
	return Entry{}, &Error{Op: "edit", Kind: KindConflict, Err: conflict.Err, Current: conflict.Current}
}

// readBack looks for the edit in the store. An entry still at the seen revision is
// read again, because the write may be delayed. An entry of another edit leaves
// the outcome unknown, because it may have replaced this one.
func (c *Client) readBack(ctx context.Context, e Edit, lost *Error) (Entry, error) {
	unknown := &Error{Op: "edit", Kind: KindUnknownOutcome, Err: lost.Err}
	for range readBackAttempts {
		entry, err := c.Get(ctx, e.Key)
		if err == nil {
			unknown.Current = &entry
			if readMetadata(entry.Value).Edit == e.ID {
				return entry, nil
			}
			if entry.Revision != e.SeenRevision {
				return Entry{}, unknown
			}
		}
		if !sleep(ctx, readBackInterval) {
			return Entry{}, unknown
		}
	}
	return Entry{}, unknown
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
