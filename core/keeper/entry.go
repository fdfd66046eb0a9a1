package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Entry is a key with its value and the store revision at which it was written.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Listing is the state, or the changes, of a range of keys at a store revision.
type Listing struct {
	Revision uint64
	Entries  []Entry
}

// Write is a conditional write of one key.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the entry must have; 0 means that the key must
	// have no entry.
	Expected uint64
	// Lease is the ID of the lease that the entry is bound to; empty means none.
	Lease string
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

type wireListing struct {
	Revision uint64      `json:"revision"`
	Entries  []wireEntry `json:"entries"`
}

type wireWrite struct {
	Value    string `json:"value"`
	Expected uint64 `json:"expected-revision"`
	Lease    string `json:"lease,omitempty"`
}

// Get reads the entry of key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	k := &call{op: "get", method: http.MethodGet, path: entryPath(key), maxAnswerBytes: maxEntryBytes}
	var w wireEntry
	if err := c.do(ctx, k, &w); err != nil {
		return Entry{}, err
	}
	return w.entry(k.op, key)
}

// List reads every entry whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	query := url.Values{"prefix": {prefix}}
	k := &call{op: "list", method: http.MethodGet, path: "/v1/kv", query: query, maxAnswerBytes: MaxListBytes}
	return c.listing(ctx, k, prefix)
}

// Watch waits up to wait for changes after a store revision. It returns a listing
// without entries if there is no change.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	query := url.Values{
		"prefix":         {prefix},
		"after-revision": {strconv.FormatUint(after, 10)},
		"wait":           {wait.String()},
	}
	k := &call{op: "watch", method: http.MethodGet, path: "/v1/watch", query: query, maxAnswerBytes: MaxListBytes, extraTimeout: wait}
	return c.listing(ctx, k, prefix)
}

// Put writes an entry if its key is at the expected revision, and returns it
// with its new revision.
func (c *Client) Put(ctx context.Context, w Write) (Entry, error) {
	k := &call{op: "put", method: http.MethodPut, path: entryPath(w.Key), maxAnswerBytes: maxEntryBytes}
	if err := checkValue(k.op, w.Value); err != nil {
		return Entry{}, err
	}
	k.body = wireWrite{Value: string(w.Value), Expected: w.Expected, Lease: w.Lease}
	var answer wireEntry
	if err := c.do(ctx, k, &answer); err != nil {
		return Entry{}, err
	}
	if answer.Revision <= w.Expected {
		return Entry{}, k.unusableAnswer(KindMalformed, errors.New("answer has no revision above the expected one"))
	}
	return Entry{Key: w.Key, Value: w.Value, Revision: answer.Revision}, nil
}

func (c *Client) listing(ctx context.Context, k *call, prefix string) (Listing, error) {
	var w wireListing
	if err := c.do(ctx, k, &w); err != nil {
		return Listing{}, err
	}
	listing := Listing{Revision: w.Revision, Entries: make([]Entry, 0, len(w.Entries))}
	for _, each := range w.Entries {
		if !strings.HasPrefix(each.Key, prefix) || each.Revision > w.Revision {
			return Listing{}, &Error{Op: k.op, Kind: KindMalformed, Err: fmt.Errorf("unexpected entry %q", each.Key)}
		}
		entry, err := each.entry(k.op, each.Key)
		if err != nil {
			return Listing{}, err
		}
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, nil
}

// entry validates and converts an entry that was read for key.
func (w wireEntry) entry(op, key string) (Entry, error) {
	if w.Key != key || w.Revision == 0 {
		return Entry{}, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("unexpected entry %q", w.Key)}
	}
	if len(w.Value) > MaxValueBytes {
		return Entry{}, &Error{Op: op, Kind: KindTooLarge, Err: fmt.Errorf("value of %q exceeds the size limit", w.Key)}
	}
	return Entry{Key: w.Key, Value: []byte(w.Value), Revision: w.Revision}, nil
}

// decodeCurrent decodes the entry in a conflict answer and returns nil if the key
// has no entry. The entry is either the whole answer or its member "current".
func decodeCurrent(text []byte) (*Entry, error) {
	var answer struct {
		wireEntry
		Current *wireEntry `json:"current"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return nil, err
	}
	w := answer.wireEntry
	if answer.Current != nil {
		w = *answer.Current
	}
	if w.Revision == 0 {
		return nil, nil
	}
	entry, err := w.entry("put", w.Key)
	if err != nil {
		return nil, err
	}
	return &entry, nil
}

func checkValue(op string, value []byte) error {
	if len(value) > MaxValueBytes {
		return &Error{Op: op, Kind: KindTooLarge, Err: fmt.Errorf("value of %d bytes exceeds the size limit", len(value))}
	}
	// Values are sent as JSON strings, whose encoding replaces invalid UTF-8.
	if !utf8.Valid(value) {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.New("value is not UTF-8")}
	}
	return nil
}

// entryPath escapes the key as one path segment.
func entryPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }
