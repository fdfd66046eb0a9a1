// Package courier carries sub-requests to targets over kept connections.
package courier

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/platform/decoder"
)

// Job is one sub-request.
type Job struct {
	Method    string
	RequestID string
	// Head returns the request line and the headers with the time that is left.
	Head func(left time.Duration) []byte
	Body []byte
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// MaxBody bounds the body of the answer.
	MaxBody int64
}

// Reply is the end of a sub-request.
type Reply struct {
	Result placer.Result
	Status int
	Header http.Header
	Answer decoder.Answer
	Body   []byte
	// Err says why there is no answer, or why it cannot be used.
	Err error
}

// state is the course of an exchange.
type state int

const (
	waiting state = iota
	writing
	reading
	ended
)

// Exchange is a sub-request on its way.
type Exchange struct {
	job  Job
	pool *Pool
	done func(Reply)

	// The pool's mutex guards the fields below.
	state state
	conn  *connection
	sent  time.Time
}

// Abandon gives the answer up. What is in flight may still arrive within the
// grace, which keeps the connection; then the connection is closed.
func (e *Exchange) Abandon(now time.Time, grace time.Duration) {
	p := e.pool
	p.mu.Lock()
	switch e.state {
	case waiting:
		p.removeWaiting(e)
		e.state = ended
		p.mu.Unlock()
		e.done(Reply{Result: placer.Abandoned})
		return
	case writing, reading:
		if end := now.Add(grace); end.Before(e.job.Deadline) {
			e.conn.setReadDeadline(end)
		}
	case ended:
	}
	p.mu.Unlock()
}

// Couriers holds the pools of all targets. It is safe for concurrent use.
type Couriers struct {
	dial  Dialer
	count func(event string)
	// reach hears whether a connection to a target opened.
	reach func(target string, opened bool)

	mu    sync.Mutex
	pools map[string]*Pool
}

// New returns the couriers of a process; count hears of opened and lost
// connections, reach of whether targets can be reached.
func New(dial Dialer, count func(event string), reach func(target string, opened bool)) *Couriers {
	return &Couriers{dial: dial, count: count, reach: reach, pools: make(map[string]*Pool)}
}

// Terms bound the connections to a target.
type Terms struct {
	// Limit is the largest number of connections.
	Limit int
	// IdleTimeout is how long an idle connection stays open; 0 leaves it to the
	// target.
	IdleTimeout time.Duration
}

// Pool returns the pool of a target, which keeps to the terms.
func (c *Couriers) Pool(id string, address netip.AddrPort, terms Terms) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[id]
	if ok && p.address == address {
		p.setTerms(terms)
		return p
	}
	if ok {
		go p.Close()
	}
	p = newPool(c.dial, c.count, func(opened bool) { c.reach(id, opened) }, address, terms)
	c.pools[id] = p
	return p
}

// Retire closes the connections to a target as they become idle.
func (c *Couriers) Retire(id string) {
	c.mu.Lock()
	p, ok := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if ok {
		p.Close()
	}
}

// Close retires every target.
func (c *Couriers) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[string]*Pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.Close()
	}
}
