// Package pooler manages a relay's HTTP connections to one target.
package pooler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// maxAnswerBytes bounds the size of a response body.
	maxAnswerBytes = 1 << 20
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxStatus is the largest status that the protocol has.
	maxStatus      = 599
	connectTimeout = time.Second
	// cancelGrace is how long a cancelled request may take to end before its
	// connection is closed.
	cancelGrace = 50 * time.Millisecond
	// A connection that has not answered is silent after silenceLatencyFactor times
	// the mean latency, but not before minSilence, provided that other connections
	// to the target get answers.
	silenceLatencyFactor = 10
	minSilence           = 100 * time.Millisecond
	idleTimeout          = 90 * time.Second
	// maxIdleConnections exceeds any allotment, so only the connLimiter bounds
	// connections.
	maxIdleConnections = 1024
	// reservedConnections is the part of the allotment kept for requests that must
	// not use a pooled connection.
	reservedConnections = 1
	latencyWeight       = 0.1
)

// CancelMode selects how a running request is cancelled.
type CancelMode int

// Cancel modes.
const (
	// CancelByRequest sends a cancel request and keeps the connection.
	CancelByRequest CancelMode = iota
	// CancelByClose closes the connection, which must then be replaced.
	CancelByClose
)

// Config configures the connections to one target.
type Config struct {
	Address netip.AddrPort
	// Allotment is the maximum number of connections that this relay opens.
	Allotment int
	Cancel    CancelMode
}

// Search is the request for one sub-request of a query.
type Search struct {
	QueryID  string `json:"query-id"`
	SubID    string `json:"sub-id"`
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Text     string `json:"text"`
	Limit    int    `json:"limit"`

	Traceparent string `json:"-"`
}

// SearchAnswer is the response to a Search.
type SearchAnswer struct {
	QueryID  string `json:"query-id"`
	SubID    string `json:"sub-id"`
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Hits     []Hit  `json:"hits"`
}

// Hit is one search result.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title"`
}

// Execute is a non-idempotent request.
type Execute struct {
	RequestID string `json:"request-id"`
	Operation string `json:"operation"`
	Payload   string `json:"payload"`

	Traceparent string `json:"-"`
}

// ExecuteAnswer is the response to an Execute.
type ExecuteAnswer struct {
	RequestID string `json:"request-id"`
	Result    string `json:"result"`
}

// Status is a target's own report of its state; it may be stale or wrong.
type Status struct {
	Target    string     `json:"target"`
	State     string     `json:"state"`
	InFlight  int        `json:"in-flight"`
	Slots     int        `json:"slots"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is a version of the index known to a target.
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
	config             Config
	host               string
	connLimiter        *connLimiter
	pooledTransport    *http.Transport
	singleUseTransport *http.Transport
	answerCount        atomic.Int64
	latency            atomic.Int64
	refused            atomic.Int64
}

// New returns a pool without open connections.
func New(config Config) *Pool {
	p := &Pool{config: config, host: config.Address.String(), connLimiter: newConnLimiter(config.Allotment)}
	p.pooledTransport = p.newTransport(reservedConnections)
	p.singleUseTransport = p.newTransport(0)
	p.singleUseTransport.DisableKeepAlives = true
	return p
}

// newTransport returns a transport whose connections leave the reserve free.
func (p *Pool) newTransport(reserve int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return p.dial(ctx, dialer, reserve, network, addr)
		},
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func (p *Pool) dial(ctx context.Context, dialer *net.Dialer, reserve int, network, addr string) (net.Conn, error) {
	if reserve == 0 && p.connLimiter.atAllotment() {
		p.pooledTransport.CloseIdleConnections()
	}
	if err := p.connLimiter.acquire(ctx, reserve); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		p.connLimiter.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, connLimiter: p.connLimiter}, nil
}

// SetAllotment changes the maximum number of connections. Excess idle
// connections are closed immediately, busy ones as their requests end.
func (p *Pool) SetAllotment(allotment int) {
	p.connLimiter.setAllotment(allotment)
	p.closeExcess()
}

func (p *Pool) closeExcess() {
	if p.connLimiter.aboveAllotment() {
		p.pooledTransport.CloseIdleConnections()
	}
}

// Open returns the number of open connections.
func (p *Pool) Open() int { return p.connLimiter.count() }

// Refused returns the number of new connections that the target closed before
// any answer, as it does above its connection limit.
func (p *Pool) Refused() int64 { return p.refused.Load() }

// Close closes idle connections. Running requests are not interrupted.
func (p *Pool) Close() {
	p.pooledTransport.CloseIdleConnections()
	p.singleUseTransport.CloseIdleConnections()
}

// Search sends a sub-request. The request is cancelled when ctx ends.
func (p *Pool) Search(ctx context.Context, deadline time.Time, search *Search) (*SearchAnswer, error) {
	started := time.Now()
	var answer SearchAnswer
	err := p.runWatched(ctx, deadline, search, &answer)
	if err != nil {
		return nil, err
	}
	p.recordAnswer(time.Since(started))
	if answer.QueryID != search.QueryID || answer.SubID != search.SubID {
		p.pooledTransport.CloseIdleConnections()
		return nil, &Error{Op: "search", Kind: KindCrossed, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	}
	return &answer, nil
}

// runWatched sends a search and cancels it if its connection goes silent.
func (p *Pool) runWatched(ctx context.Context, deadline time.Time, search *Search, answer *SearchAnswer) error {
	requestCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(cancelGrace))
	defer cancel()
	w := &watchdog{pool: p, search: search, cancel: cancel, done: make(chan struct{}), answersAtStart: p.answerCount.Load()}
	w.start()
	stop := context.AfterFunc(ctx, w.cancelSearch)
	err := p.post(requestCtx, p.pooledTransport, "/v1/search", deadline, search.Traceparent, search, answer, &w.connTrace)
	close(w.done)
	silent := w.stop()
	switch {
	case !stop():
		return &Error{Op: "search", Kind: KindCancelled, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	case silent:
		p.pooledTransport.CloseIdleConnections()
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
	// If the cancel request fails, the target stops the work at its deadline.
	_ = p.post(ctx, p.pooledTransport, "/v1/cancel", time.Now().Add(cancelGrace), "", body, nil, &connTrace{})
}

// Execute sends a non-idempotent request on a connection of its own, so that it
// neither uses a silent connection nor is resent by the transport.
func (p *Pool) Execute(ctx context.Context, deadline time.Time, execute *Execute) (*ExecuteAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var trace connTrace
	var answer ExecuteAnswer
	err := p.post(ctx, p.singleUseTransport, "/v1/execute", deadline, execute.Traceparent, execute, &answer, &trace)
	if err == nil && answer.RequestID != execute.RequestID {
		err = &Error{Op: "execute", Kind: KindCrossed, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}
	}
	if err == nil {
		return &answer, nil
	}
	var failure *Error
	// As soon as the request has a connection, bytes may have been sent.
	if errors.As(err, &failure) && !trace.gotConn() {
		failure.Outcome = peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return nil, err
}

// Status fetches the state of the target.
func (p *Pool) Status(ctx context.Context) (*Status, error) {
	request := &http.Request{Method: http.MethodGet, URL: p.address("/v1/status"), Header: http.Header{}}
	var status Status
	if err := p.do(ctx, p.pooledTransport, request, &status, &connTrace{}); err != nil {
		return nil, err
	}
	return &status, nil
}

// contentType is shared by all requests; it must not be modified.
var contentType = []string{"application/json"}

func (p *Pool) post(ctx context.Context, transport *http.Transport, path string, deadline time.Time, traceparent string, body, answer any, trace *connTrace) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "encode", Kind: KindMalformed, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Err: err}
	}
	timeLeft := time.Until(deadline)
	if timeLeft <= 0 {
		return &Error{Op: "send", Kind: KindDeadline, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
	}
	header := http.Header{"Content-Type": contentType, "Deadline": {timeLeft.String()}}
	if traceparent != "" {
		header.Set("Traceparent", traceparent)
	}
	return p.do(ctx, transport, &http.Request{
		Method: http.MethodPost, URL: p.address(path), Header: header, ContentLength: int64(len(encoded)),
		Body: io.NopCloser(bytes.NewReader(encoded)),
		// GetBody lets the transport retry on another connection if a pooled one was
		// closed before anything was written.
		GetBody: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(encoded)), nil },
	}, answer, trace)
}

func (p *Pool) address(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: p.host, Path: path}
}

func (p *Pool) do(ctx context.Context, transport *http.Transport, request *http.Request, answer any, trace *connTrace) error {
	defer p.closeExcess()
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.onGotConn})))
	if err != nil {
		if trace.isNew.Load() && ctx.Err() == nil {
			p.refused.Add(1)
		}
		return connectionError(err)
	}
	defer response.Body.Close()
	// The transport has skipped informational answers. The body after another status is not
	// read, as it may not end.
	if status := response.StatusCode; status < http.StatusOK || status > maxStatus {
		return &Error{Op: "receive", Kind: KindMalformed, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Err: fmt.Errorf("status %03d is not final", status)}
	}
	body := bodyPool.Get().(*bytes.Buffer)
	defer putBody(body)
	if _, err := body.ReadFrom(io.LimitReader(response.Body, maxAnswerBytes+1)); err != nil {
		return connectionError(err)
	}
	if body.Len() > maxAnswerBytes {
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

func (p *Pool) recordAnswer(latency time.Duration) {
	p.answerCount.Add(1)
	// Concurrent updates may lose a sample, which is acceptable for an average.
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(latency))
		return
	}
	p.latency.Store(int64(latencyWeight*float64(latency) + (1-latencyWeight)*float64(old)))
}

func (p *Pool) silenceTimeout() time.Duration {
	return max(silenceLatencyFactor*time.Duration(p.latency.Load()), minSilence)
}
