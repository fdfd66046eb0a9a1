// Package pooler holds the HTTP connections of a relay to one target.
package pooler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// maxAnswerSize bounds what is read from a target, in bytes.
	maxAnswerSize  = 1 << 20
	connectTimeout = time.Second
	// cancelGrace is how long a cancelled request may take to end before its
	// connection is closed.
	cancelGrace = 50 * time.Millisecond
	// silentFactor and shortestSilence say when a connection without an answer is
	// taken for silent, provided that others of the same target answer.
	silentFactor    = 10
	shortestSilence = 100 * time.Millisecond
	idleTimeout     = 90 * time.Second
	// maxIdleConnections is above any allotment; the gate is what limits.
	maxIdleConnections = 1024
	// executeConnections of the allotment are kept for requests that must not
	// use a pooled connection.
	executeConnections = 1
	latencyWeight      = 0.1
)

// CancelMode is a way to give up a running request.
type CancelMode int

// Cancel modes.
const (
	// CancelByRequest sends a cancel request and keeps the connection.
	CancelByRequest CancelMode = iota
	// CancelByClose closes the connection, which then has to be replaced.
	CancelByClose
)

// Config describes the connections to one target.
type Config struct {
	Address netip.AddrPort
	// Allotment is the most connections that this relay opens.
	Allotment int
	Cancel    CancelMode
}

// Search is one sub-request as sent to a target.
type Search struct {
	QueryID  string `json:"query-id"`
	SubID    string `json:"sub-id"`
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Text     string `json:"text"`
	Limit    int    `json:"limit"`

	Traceparent string `json:"-"`
}

// SearchAnswer is a target's answer to a Search.
type SearchAnswer struct {
	QueryID  string `json:"query-id"`
	SubID    string `json:"sub-id"`
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Hits     []Hit  `json:"hits"`
}

// Hit is one result.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title"`
}

// Execute is a non-idempotent request as sent to a target.
type Execute struct {
	RequestID string `json:"request-id"`
	Operation string `json:"operation"`
	Payload   string `json:"payload"`

	Traceparent string `json:"-"`
}

// ExecuteAnswer is a target's answer to an Execute.
type ExecuteAnswer struct {
	RequestID string `json:"request-id"`
	Result    string `json:"result"`
}

// Status is what a target says of itself; it may lag or mislead.
type Status struct {
	Target    string     `json:"target"`
	State     string     `json:"state"`
	InFlight  int        `json:"in-flight"`
	Slots     int        `json:"slots"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is a version of the index that a target knows.
type Snapshot struct {
	ID       string   `json:"id"`
	Sequence uint64   `json:"sequence"`
	Shards   []Shard  `json:"shards"`
	Held     []string `json:"held"`
}

// Shard is one part of a snapshot.
type Shard struct {
	Name   string `json:"name"`
	Weight uint64 `json:"weight"`
}

// Pool sends requests to one target. It is safe for concurrent use.
type Pool struct {
	config  Config
	host    string
	gate    *gate
	pooled  *http.Transport
	single  *http.Transport
	answers atomic.Int64
	latency atomic.Int64
	refused atomic.Int64
}

// New returns a pool without open connections.
func New(config Config) *Pool {
	p := &Pool{config: config, host: config.Address.String(), gate: newGate(config.Allotment)}
	p.pooled = p.transport(executeConnections)
	p.single = p.transport(0)
	p.single.DisableKeepAlives = true
	return p
}

// transport returns a transport whose connections leave the reserve free.
func (p *Pool) transport(reserve int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return p.dial(ctx, dialer, reserve, network, addr)
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func (p *Pool) dial(ctx context.Context, dialer *net.Dialer, reserve int, network, addr string) (net.Conn, error) {
	if reserve == 0 && p.gate.full() {
		p.pooled.CloseIdleConnections()
	}
	if err := p.gate.acquire(ctx, reserve); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		p.gate.release()
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: p.gate}, nil
}

// SetAllotment changes the most connections that may be open. Idle ones are
// closed at once when there are too many, busy ones as their requests end.
func (p *Pool) SetAllotment(allotment int) {
	p.gate.set(allotment)
	p.closeExcess()
}

func (p *Pool) closeExcess() {
	if p.gate.excess() {
		p.pooled.CloseIdleConnections()
	}
}

// Open returns the number of open connections.
func (p *Pool) Open() int { return p.gate.count() }

// Refused returns the number of new connections that the target closed before
// it answered anything, as it does above its limit.
func (p *Pool) Refused() int64 { return p.refused.Load() }

// Close closes the idle connections; running requests end first.
func (p *Pool) Close() {
	p.pooled.CloseIdleConnections()
	p.single.CloseIdleConnections()
}

// Search runs a sub-request. When ctx ends the request is cancelled.
func (p *Pool) Search(ctx context.Context, deadline time.Time, search *Search) (*SearchAnswer, error) {
	started := time.Now()
	var answer SearchAnswer
	err := p.guarded(ctx, deadline, search, &answer)
	if err != nil {
		return nil, err
	}
	p.answered(time.Since(started))
	if answer.QueryID != search.QueryID || answer.SubID != search.SubID {
		p.pooled.CloseIdleConnections()
		return nil, &Error{Op: "search", Kind: KindCrossed, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	}
	return &answer, nil
}

// guarded runs a search and watches for a connection that has gone silent.
func (p *Pool) guarded(ctx context.Context, deadline time.Time, search *Search, answer *SearchAnswer) error {
	request, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(cancelGrace))
	defer cancel()
	g := &guard{pool: p, search: search, cancel: cancel, done: make(chan struct{}), before: p.answers.Load()}
	g.start()
	stop := context.AfterFunc(ctx, g.giveUp)
	err := p.post(request, p.pooled, "/v1/search", deadline, search.Traceparent, search, answer, &g.connection)
	close(g.done)
	silent := g.stop()
	switch {
	case !stop():
		return &Error{Op: "search", Kind: KindCancelled, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	case silent:
		p.pooled.CloseIdleConnections()
		return &Error{Op: "search", Kind: KindSilent, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	default:
		return err
	}
}

func (p *Pool) cancelRequest(search *Search) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	body := struct {
		QueryID string `json:"query-id"`
		SubID   string `json:"sub-id"`
	}{search.QueryID, search.SubID}
	// A cancel that fails leaves the work to its deadline.
	_ = p.post(ctx, p.pooled, "/v1/cancel", time.Now().Add(cancelGrace), "", body, nil, &connection{})
}

// Execute runs a non-idempotent request on a connection of its own, so that it
// can neither meet a silent connection nor be sent twice by the transport.
func (p *Pool) Execute(ctx context.Context, deadline time.Time, execute *Execute) (*ExecuteAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var used connection
	var answer ExecuteAnswer
	err := p.post(ctx, p.single, "/v1/execute", deadline, execute.Traceparent, execute, &answer, &used)
	if err == nil && answer.RequestID != execute.RequestID {
		err = &Error{Op: "execute", Kind: KindCrossed, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	}
	if err == nil {
		return &answer, nil
	}
	var failure *Error
	// Once a connection is handed over, bytes may leave at any moment.
	if errors.As(err, &failure) && !used.handedOver() {
		failure.Outcome = peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return nil, err
}

// Status asks the target for its state.
func (p *Pool) Status(ctx context.Context) (*Status, error) {
	request := &http.Request{Method: http.MethodGet, URL: p.address("/v1/status"), Header: http.Header{}}
	var status Status
	if err := p.do(ctx, p.pooled, request, &status, &connection{}); err != nil {
		return nil, err
	}
	return &status, nil
}

// contentType is shared by all requests, which do not modify it.
var contentType = []string{"application/json"}

func (p *Pool) post(ctx context.Context, via *http.Transport, path string, deadline time.Time, traceparent string, body, answer any, used *connection) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "encode", Kind: KindMalformed, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Err: err}
	}
	left := time.Until(deadline)
	if left <= 0 {
		return &Error{Op: "send", Kind: KindDeadline, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
	}
	header := http.Header{"Content-Type": contentType, "Deadline": {left.String()}}
	if traceparent != "" {
		header.Set("Traceparent", traceparent)
	}
	return p.do(ctx, via, &http.Request{
		Method: http.MethodPost, URL: p.address(path), Header: header, ContentLength: int64(len(encoded)),
		Body: io.NopCloser(bytes.NewReader(encoded)),
		// With it the transport can use another connection when a pooled one was
		// closed before anything was written.
		GetBody: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(encoded)), nil },
	}, answer, used)
}

func (p *Pool) address(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: p.host, Path: path}
}

func (p *Pool) do(ctx context.Context, via *http.Transport, request *http.Request, answer any, used *connection) error {
	defer p.closeExcess()
	response, err := via.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got})))
	if err != nil {
		if used.fresh.Load() && ctx.Err() == nil {
			p.refused.Add(1)
		}
		return connectionError(err)
	}
	defer response.Body.Close()
	body := bodies.Get().(*bytes.Buffer)
	defer keep(body)
	if _, err := body.ReadFrom(io.LimitReader(response.Body, maxAnswerSize+1)); err != nil {
		return connectionError(err)
	}
	if body.Len() > maxAnswerSize {
		return &Error{Op: "receive", Kind: KindMalformed, Outcome: peerpb.Outcome_OUTCOME_RAN}
	}
	if response.StatusCode != http.StatusOK {
		return targetError(response.StatusCode, body.Bytes())
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body.Bytes(), answer); err != nil {
		return &Error{Op: "receive", Kind: KindMalformed, Outcome: peerpb.Outcome_OUTCOME_RAN, Err: err}
	}
	return nil
}

func (p *Pool) answered(latency time.Duration) {
	p.answers.Add(1)
	// Concurrent updates may lose a sample, which does not matter here.
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(latency))
		return
	}
	p.latency.Store(int64(latencyWeight*float64(latency) + (1-latencyWeight)*float64(old)))
}

func (p *Pool) silentAfter() time.Duration {
	return max(silentFactor*time.Duration(p.latency.Load()), shortestSilence)
}
