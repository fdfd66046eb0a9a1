// Package storer is a client of the platform's key-value service. It sends each
// request once and never retries.
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

// maxAnswerBytes is far above the limit of 1 MB for one value, because a list holds
// all service documents.
const maxAnswerBytes = 256 << 20

// Entry is one key of the store. Revision is 0 if the key does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

type listAnswer struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

type putRequest struct {
	Value            string `json:"value"`
	ExpectedRevision uint64 `json:"expected-revision"`
}

// Client sends requests to one address of the key-value service.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client with a timeout for each request.
func NewClient(address netip.AddrPort, timeout time.Duration) *Client {
	return &Client{
		baseURL: "http://" + address.String(),
		// No connection is reused: an idle one may have failed unnoticed, which would
		// lose the answer to a write.
		http: &http.Client{
			Timeout:   timeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Get reads one entry. Its revision is 0 if the key does not exist.
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
	answer, err := decode[listAnswer]("list", status, body)
	return answer.Entries, err
}

// Put writes a value if the key still has the expected revision. An expected
// revision of 0 means that the key must not exist.
func (c *Client) Put(ctx context.Context, key, value string, expected uint64) (Entry, error) {
	request, err := json.Marshal(putRequest{Value: value, ExpectedRevision: expected})
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

// current returns the entry in the body of a conflict. If the body has none, as for
// a key that does not exist, it reads the entry.
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
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
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

// kindOf distinguishes a request that was not sent, because no connection could be
// opened, from one that may have run.
func kindOf(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindNotRun
	}
	return KindUnknown
}

// decode decodes an answer. A status of 4xx means that the service refused the
// request without running it; after any other failure, such as a 5xx, it may have
// run.
func decode[T any](op string, status int, body []byte) (T, error) {
	var answer T
	if status >= http.StatusMultipleChoices {
		kind := KindUnknown
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			kind = KindNotRun
		}
		const maxShownBytes = 200
		err := fmt.Errorf("status %d: %.*s", status, maxShownBytes, bytes.TrimSpace(body))
		return answer, &Error{Op: op, Kind: kind, Err: err}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return answer, nil
}
