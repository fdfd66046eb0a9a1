// Package courier sends sub-requests to targets over pooled connections.
package courier

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/platform/decoder"
)

// Request is one sub-request.
type Request struct {
	Method    string
	RequestID string
	// Head returns the request line and the headers, with left as the remaining
	// time in the deadline header.
	Head func(left time.Duration) []byte
	Body []byte
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// MaxBodyBytes limits the body of the answer.
	MaxBodyBytes int64
	// AnyAnswer is set if every complete answer counts as answered, as that of another
	// entry VM or to a health check does. Others need a signature and no failure.
	AnyAnswer bool
}

// Reply is the outcome of a sub-request.
type Reply struct {
	Result placer.Result
	Status int
	Header http.Header
	Answer decoder.Answer
	Body   []byte
	// Err is the reason why there is no answer or why it cannot be used.
	Err error
}

// Broken reports whether the connection ended while the target may have been running the
// request, as when the target crashes.
func (r Reply) Broken() bool {
	var e *Error
	if r.Result == placer.Unsent || !errors.As(r.Err, &e) {
		return false
	}
	return e.Kind == KindClosed || errors.Is(e, io.ErrUnexpectedEOF) || errors.Is(e, syscall.ECONNRESET)
}

// GivenUp reports whether this process ended the connection while the target may have been
// running the request, and may still run it.
func (r Reply) GivenUp() bool {
	var e *Error
	return r.Result == placer.Lost && errors.As(r.Err, &e) && e.Kind == KindTimeout
}

// state is the progress of an exchange.
type state int

const (
	queued state = iota
	writing
	reading
	ended
)

// Exchange is a sub-request from Send until its reply.
type Exchange struct {
	request Request
	pool    *Pool
	done    func(Reply)

	// The fields below are guarded by the pool's mutex.
	state state
	conn  *connection
	sent  time.Time
}

// Abandon marks the answer as no longer needed. A queued request ends at once. One
// that is in flight has the grace period left to be answered, which keeps the
// connection reusable; after that the connection is closed.
func (e *Exchange) Abandon(now time.Time, grace time.Duration) {
	if e.endQueued(Reply{Result: placer.Abandoned}) {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if end := now.Add(grace); e.state != ended && end.Before(e.request.Deadline) {
		e.conn.setReadDeadline(end)
	}
}

// Cancel ends a request that has not been sent yet.
func (e *Exchange) Cancel() { e.endQueued(Reply{Result: placer.Unsent, Err: errCancelled}) }

// endQueued ends a request that has not been sent yet with a reply, and reports whether it
// did.
func (e *Exchange) endQueued(reply Reply) bool {
	p := e.pool
	p.mu.Lock()
	if e.state != queued {
		p.mu.Unlock()
		return false
	}
	p.removeQueued(e)
	e.state = ended
	p.mu.Unlock()
	e.done(reply)
	return true
}

// Hooks are called with what happens to connections. Each may be nil.
type Hooks struct {
	// Count is called with connection events: opened, lost, dial-failed, panicked.
	Count func(event string)
	// SetReachable is called whenever a target was found to be reachable or unreachable,
	// also if that is not new.
	SetReachable func(target string, reachable bool)
	// Ended is called when a target has ended an idle connection.
	Ended func(target string)
}

// withDefaults returns the hooks without nil ones.
func (h Hooks) withDefaults() Hooks {
	if h.Count == nil {
		h.Count = func(string) {}
	}
	if h.SetReachable == nil {
		h.SetReachable = func(string, bool) {}
	}
	if h.Ended == nil {
		h.Ended = func(string) {}
	}
	return h
}

// Pools holds the connection pools of all targets. It is safe for concurrent use.
type Pools struct {
	dial   Dialer
	hooks  Hooks
	memory *bodyMemory

	mu    sync.Mutex
	pools map[string]*Pool
}

// New returns the pools of a process, which are empty at first.
func New(dial Dialer, hooks Hooks) *Pools {
	return &Pools{dial: dial, hooks: hooks.withDefaults(), memory: newBodyMemory(), pools: make(map[string]*Pool)}
}

// Options limit the connections to a target.
type Options struct {
	// MaxOpen is the largest number of open connections.
	MaxOpen int
	// IdleTimeout is how long an idle connection stays open; 0 means until the
	// target closes it.
	IdleTimeout time.Duration
}

// Pool returns the pool of a target and applies the options to it. It replaces
// the pool if the address of the target has changed.
func (c *Pools) Pool(id string, address netip.AddrPort, options Options) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[id]
	if ok && p.address == address {
		p.setOptions(options)
		return p
	}
	if ok {
		go p.Close()
	}
	p = newPool(c.dial, id, c.hooks, c.memory, address, options)
	c.pools[id] = p
	return p
}

// Retire removes the pool of a target and closes its connections as they become
// idle.
func (c *Pools) Retire(id string) {
	c.mu.Lock()
	p, ok := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if ok {
		p.Close()
	}
}

// FailQueued fails the requests that wait for a connection to a target. Those that are being
// sent go on.
func (c *Pools) FailQueued(id string) {
	c.mu.Lock()
	p, ok := c.pools[id]
	c.mu.Unlock()
	if ok {
		p.failWaiting()
	}
}

// Close retires all targets.
func (c *Pools) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[string]*Pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.Close()
	}
}
