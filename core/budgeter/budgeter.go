// Package budgeter decides how much memory each accepted connection of a process may
// take, and which connections are closed if memory or descriptors run short.
package budgeter

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the limits of a budget.
type Config struct {
	// MaxBytes limits the memory of all connections; zero means no limit.
	MaxBytes int
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// ConnectionBytes is the memory of a connection without a request.
	ConnectionBytes int
}

const (
	// freeFraction is the part of the budget that is freed when it is used up, so that not
	// every reservation after that has to search for connections to close.
	freeFraction = 8
	// closingFraction is the part by which the budget may be exceeded while closed
	// connections still hold memory.
	closingFraction = 4
)

// Phase is what a connection does.
type Phase int

// Phases of a connection.
const (
	// Waiting connections have no request.
	Waiting Phase = iota
	// Receiving connections have sent a part of a request.
	Receiving
	// Running connections have sent a whole request, and may have run it.
	Running
	// Sending connections have an answer of which the client has not read everything.
	Sending
)

// String returns the name of the phase for metrics.
func (p Phase) String() string {
	return [...]string{"waiting", "receiving", "running", "sending"}[p]
}

// Connection is the account of one connection.
type Connection struct {
	// Evict ends the connection. This package does not call it.
	Evict func()

	phase Phase
	// served is set once a request has been answered.
	served bool
	// since is the time from which the connection counts as slow.
	since time.Time
	// phaseBefore and sinceBefore are those before a part of an answer is sent.
	phaseBefore Phase
	sinceBefore time.Time
	// head, body and answer are the reserved bytes.
	head, body, answer int
	evicted            bool
	index              int
}

// Budget tracks the memory of connections. It is not safe for concurrent use.
type Budget struct {
	config      Config
	connections []*Connection
	used        int
	// closing and closingBytes are the connections that have been chosen to be closed and
	// are still open, and what they hold.
	closing, closingBytes int
}

// New returns a budget without connections.
func New(config Config) *Budget { return &Budget{config: config} }

// Usage returns the number of open connections and the memory that is reserved.
func (b *Budget) Usage() (connections, bytes int) { return len(b.connections), b.used }

// Open adds a connection. It returns the connections that must be closed for it, and
// false if it must not be opened.
func (b *Budget) Open(now time.Time, c *Connection) (victims []*Connection, ok bool) {
	if limit := b.config.MaxConnections; limit > 0 {
		if len(b.connections)-b.closing >= limit {
			victims = b.evict(now, nil, func() bool { return len(b.connections)-b.closing < limit })
		}
		if len(b.connections)-b.closing >= limit || len(b.connections) >= limit+max(limit/closingFraction, 1) {
			return victims, false
		}
	}
	more, ok := b.makeRoom(now, nil, b.config.ConnectionBytes)
	victims = append(victims, more...)
	if !ok {
		return victims, false
	}
	c.phase, c.since, c.index = Waiting, now, len(b.connections)
	b.connections = append(b.connections, c)
	b.used += b.config.ConnectionBytes
	return victims, true
}

// Close removes a connection. A second call has no effect.
func (b *Budget) Close(c *Connection) {
	if c.index >= len(b.connections) || b.connections[c.index] != c {
		return
	}
	last := len(b.connections) - 1
	b.connections[c.index] = b.connections[last]
	b.connections[c.index].index = c.index
	b.connections[last] = nil
	b.connections = b.connections[:last]
	b.used -= b.held(c)
	if c.evicted {
		b.closing--
		b.closingBytes -= b.held(c)
	}
}

// ReserveHead reserves memory for a part of a request head, and records that a request is
// being received.
func (b *Budget) ReserveHead(now time.Time, c *Connection, n int) ([]*Connection, bool) {
	if c.phase == Waiting {
		c.phase = Receiving
		if c.served {
			c.since = now
		}
	}
	return b.reserve(now, c, &c.head, n)
}

// ReserveBody reserves memory for a part of a request that is being received.
func (b *Budget) ReserveBody(now time.Time, c *Connection, n int) ([]*Connection, bool) {
	if c.phase == Waiting && c.served {
		c.since = now
	}
	c.phase = Receiving
	return b.reserve(now, c, &c.body, n)
}

// ReserveRun reserves memory for running a request.
func (b *Budget) ReserveRun(now time.Time, c *Connection, n int) ([]*Connection, bool) {
	c.phase = Running
	return b.reserve(now, c, &c.body, n)
}

// Receiving records that the head of a request is complete and its body is not.
func (b *Budget) Receiving(c *Connection) { c.phase = Receiving }

// Received records that a request is complete, and reports whether it may run. If not, the
// connection has been chosen to be closed.
func (b *Budget) Received(c *Connection) bool {
	c.phase = Running
	return !c.evicted
}

// BeginSending records memory that an answer holds until it is written. As it is in use
// already, this does not fail.
func (b *Budget) BeginSending(now time.Time, c *Connection, n int) (victims []*Connection) {
	if c.phase != Sending {
		c.phaseBefore, c.sinceBefore = c.phase, c.since
	}
	c.phase, c.since = Sending, now
	if n > 0 {
		victims, _ = b.makeRoom(now, c, n)
		b.add(c, &c.answer, n)
	}
	return victims
}

// EndSending releases the memory of the answer. The request may still be received, if what
// was sent is an informational answer.
func (b *Budget) EndSending(c *Connection) {
	if c.phase == Sending {
		c.phase, c.since = c.phaseBefore, c.sinceBefore
	}
	b.add(c, &c.answer, -c.answer)
}

// ReleaseBody releases the memory of a request body.
func (b *Budget) ReleaseBody(c *Connection) { b.add(c, &c.body, -c.body) }

// Completed records that a request has been answered, and releases its memory. readAhead
// is reserved for a part of the next request that has been read already.
func (b *Budget) Completed(now time.Time, c *Connection, readAhead int) ([]*Connection, bool) {
	c.phase, c.served, c.since = Waiting, true, now
	b.add(c, &c.head, -c.head)
	b.add(c, &c.body, -c.body)
	if readAhead == 0 {
		return nil, true
	}
	return b.reserve(now, c, &c.head, readAhead)
}

func (b *Budget) held(c *Connection) int {
	return b.config.ConnectionBytes + c.head + c.body + c.answer
}

func (b *Budget) add(c *Connection, field *int, n int) {
	*field += n
	b.used += n
	if c.evicted {
		b.closingBytes += n
	}
}

func (b *Budget) reserve(now time.Time, c *Connection, field *int, n int) ([]*Connection, bool) {
	if c.evicted {
		return nil, false
	}
	victims, ok := b.makeRoom(now, c, n)
	if ok {
		b.add(c, field, n)
	}
	return victims, ok
}

// makeRoom reports whether n more bytes are in the budget, and returns the connections that
// must be closed for them. It is false also if the requesting connection is the slowest.
func (b *Budget) makeRoom(now time.Time, requester *Connection, n int) (victims []*Connection, ok bool) {
	limit := b.config.MaxBytes
	if limit == 0 {
		return nil, true
	}
	fits := func(limit int) bool { return b.used-b.closingBytes+n <= limit }
	if !fits(limit) {
		victims = b.evict(now, requester, func() bool { return fits(limit - limit/freeFraction) })
	}
	return victims, fits(limit) && b.used+n <= limit+limit/closingFraction
}

// evict chooses the slowest connections until there is enough room. It stops at the
// requester, which is refused instead.
func (b *Budget) evict(now time.Time, requester *Connection, enough func() bool) []*Connection {
	type candidate struct {
		connection *Connection
		slowness   float64
	}
	candidates := make([]candidate, 0, len(b.connections))
	for _, c := range b.connections {
		if s := b.slowness(now, c); s > 0 && !c.evicted {
			candidates = append(candidates, candidate{c, s})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.slowness, x.slowness) })
	var victims []*Connection
	for _, next := range candidates {
		c := next.connection
		if enough() || c == requester {
			break
		}
		c.evicted = true
		b.closing++
		b.closingBytes += b.held(c)
		victims = append(victims, c)
	}
	return victims
}

// weights make clients that stop within a request or an answer slower than those that
// keep a connection between requests. A request that runs is never ended.
const (
	receivingWeight = 4
	sendingWeight   = 2
	waitingWeight   = 1
)

// slowness returns the memory of a connection times the time for which it makes no
// progress, weighted by its phase; 0 if it must not be closed.
func (b *Budget) slowness(now time.Time, c *Connection) float64 {
	product := float64(max(b.held(c), 1)) * max(now.Sub(c.since), 1).Seconds()
	switch {
	case c.phase == Running:
		return 0
	case c.phase == Receiving, !c.served:
		return receivingWeight * product
	case c.phase == Sending:
		return sendingWeight * product
	default:
		return waitingWeight * product
	}
}

// Phase returns what a connection does.
func (c *Connection) Phase() Phase { return c.phase }
