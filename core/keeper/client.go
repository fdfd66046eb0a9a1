// Package keeper implements a client of the platform's key-value service and VM
// list.
package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"time"
)

// Limits on values sent to and answers read from the platform.
const (
	MaxValueBytes = 1 << 20
	MaxListBytes  = 64 << 20

	// JSON encodes one byte of a value as up to six bytes.
	maxEntryBytes = 6*MaxValueBytes + 8<<10
	maxErrorBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of an answer.
	maxHeadBytes = 64 << 10
)

const defaultCallTimeout = 2 * time.Second

// Client calls the platform.
type Client struct {
	base    url.URL
	http    http.Client
	timeout time.Duration
}

// Settings configures a client.
type Settings struct {
	Address netip.AddrPort
	// CallTimeout bounds each call. The wait of a watch is added to it.
	CallTimeout time.Duration
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

// NewClient returns a client of the platform at the address in s.
func NewClient(s Settings) *Client {
	if s.CallTimeout <= 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.Transport == nil {
		s.Transport = newTransport()
	}
	return &Client{
		base:    url.URL{Scheme: "http", Host: s.Address.String()},
		http:    http.Client{Transport: s.Transport, CheckRedirect: refuseRedirect},
		timeout: s.CallTimeout,
	}
}

// newTransport returns net/http's default transport with a lower limit on headers.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// refuseRedirect prevents net/http from sending a write a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// call is one request to the platform.
type call struct {
	op             string
	method         string
	path           string
	query          url.Values
	body           any
	maxAnswerBytes int64
	extraTimeout   time.Duration
	// connecting is set while a connection is being established. During that time
	// the platform cannot have run the call.
	connecting bool
}

// do sends the call and decodes its answer into answer.
func (c *Client) do(ctx context.Context, k *call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.extraTimeout)
	defer cancel()
	request, err := c.request(ctx, k)
	if err != nil {
		return &Error{Op: k.op, Kind: KindMalformed, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return k.lostAnswer(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return k.errorStatus(response)
	}
	body, err := k.read(response.Body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return k.unusableAnswer(KindMalformed, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, k *call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		encoded, err := json.Marshal(k.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { k.connecting = true },
		GotConn: func(httptrace.GotConnInfo) { k.connecting = false },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	target := c.base.String() + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (k *call) isWrite() bool { return k.method != http.MethodGet }

// lostAnswer classifies the error of a call without a complete answer. A write may
// have taken effect once a connection was established.
func (k *call) lostAnswer(err error) error {
	kind := KindUnreachable
	if k.isWrite() && !k.connecting {
		kind = KindUnknownOutcome
	}
	return &Error{Op: k.op, Kind: kind, Err: err}
}

// unusableAnswer classifies the error in an answer with a success status. A write
// may have taken effect.
func (k *call) unusableAnswer(kind Kind, err error) error {
	if k.isWrite() {
		kind = KindUnknownOutcome
	}
	return &Error{Op: k.op, Kind: kind, Err: err}
}

func (k *call) read(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, k.maxAnswerBytes+1))
	if err != nil {
		return nil, k.lostAnswer(err)
	}
	if int64(len(text)) > k.maxAnswerBytes {
		return nil, k.unusableAnswer(KindTooLarge, fmt.Errorf("answer exceeds %d bytes", k.maxAnswerBytes))
	}
	return text, nil
}

// errorStatus converts an answer with an error status to an error.
func (k *call) errorStatus(response *http.Response) error {
	cause := errors.New(response.Status)
	switch {
	case response.StatusCode == http.StatusConflict:
		return k.conflict(response.Body)
	case response.StatusCode == http.StatusNotFound:
		return &Error{Op: k.op, Kind: KindNotFound, Err: cause}
	case response.StatusCode == http.StatusRequestEntityTooLarge:
		return &Error{Op: k.op, Kind: KindTooLarge, Err: cause}
	case response.StatusCode >= http.StatusInternalServerError:
		// A proxy or a failing server may send this status after the write took
		// effect.
		return k.lostAnswer(cause)
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &Error{Op: k.op, Kind: KindRefused, Err: fmt.Errorf("%w: %q", cause, text)}
}

func (k *call) conflict(body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxEntryBytes))
	if err != nil {
		return &Error{Op: k.op, Kind: KindConflict, Err: err}
	}
	current, err := decodeCurrent(text)
	return &Error{Op: k.op, Kind: KindConflict, Err: err, Current: current}
}
