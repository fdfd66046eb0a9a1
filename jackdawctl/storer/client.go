// Package storer is a small client of the platform's key-value service. It
// sends each request once and never repeats a write.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// maxAnswerBytes bounds an answer. A list of all service documents can be far
// longer than the limit of 1 MB for one value.
const maxAnswerBytes = 256 << 20

// Entry is one key of the store. A revision of 0 says that it does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

type list struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

type put struct {
	Value            string `json:"value"`
	ExpectedRevision uint64 `json:"expected-revision"`
}

// Client sends requests to one address of the key-value service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client whose requests end after the given time.
func NewClient(address netip.AddrPort, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + address.String(),
		// A connection that went silent would lose the answer to a write.
		http: &http.Client{
			Timeout:   timeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Get reads one entry, which has revision 0 when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	status, body, err := c.send(ctx, "get", http.MethodGet, "/v1/kv/"+key, nil)
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	return decode[Entry]("get", status, body)
}

// List reads all entries whose keys start with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	path := "/v1/kv?prefix=" + url.QueryEscape(prefix)
	status, body, err := c.send(ctx, "list", http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	answer, err := decode[list]("list", status, body)
	return answer.Entries, err
}

// Put writes a value if the key still has the expected revision, where 0 says
// that it must not exist.
func (c *Client) Put(ctx context.Context, key, value string, expected uint64) (Entry, error) {
	request, err := json.Marshal(put{Value: value, ExpectedRevision: expected})
	if err != nil {
		return Entry{}, &Error{Op: "put", Kind: KindNotRun, Err: err}
	}
	status, body, err := c.send(ctx, "put", http.MethodPut, "/v1/kv/"+key, request)
	if err != nil {
		return Entry{}, err
	}
	if status != http.StatusConflict {
		return decode[Entry]("put", status, body)
	}
	current := c.current(ctx, key, body)
	err = fmt.Errorf("%s has revision %d, expected %d", key, current.Revision, expected)
	return Entry{}, &Error{Op: "put", Kind: KindConflict, Current: current, Err: err}
}

// current returns the entry in the body of a conflict, or reads it if the body
// has none, as for a key that does not exist.
func (c *Client) current(ctx context.Context, key string, body []byte) Entry {
	var entry Entry
	if err := json.Unmarshal(body, &entry); err == nil && entry.Key == key && entry.Revision != 0 {
		return entry
	}
	entry, err := c.Get(ctx, key)
	if err != nil {
		return Entry{Key: key}
	}
	return entry
}

func (c *Client) send(ctx context.Context, op, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: KindNotRun, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(answer) > maxAnswerBytes {
		err = fmt.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return response.StatusCode, answer, nil
}

// kindOf tells a request that could not be sent from one that lost its answer.
func kindOf(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindNotRun
	}
	return KindUnknown
}

// decode reads an answer. The request did not run if the service refused it
// with a status of 4xx, and may have run after one of 5xx.
func decode[T any](op string, status int, body []byte) (T, error) {
	var answer T
	if status >= http.StatusMultipleChoices {
		kind := KindUnknown
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			kind = KindNotRun
		}
		const shown = 200
		err := fmt.Errorf("status %d: %.*s", status, shown, bytes.TrimSpace(body))
		return answer, &Error{Op: op, Kind: kind, Err: err}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return answer, nil
}
