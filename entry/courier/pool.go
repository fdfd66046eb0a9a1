package courier

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jackdawcart.org/core/placer"
)

// Dialer opens connections to targets.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// keepAliveShare is the part of a target's keep-alive timeout during which an idle
// connection is reused, so that no request is sent while the target closes it.
const keepAliveShare = 0.7

// dialTimeout limits the time to open a connection. A target that takes longer
// counts as unreachable.
const dialTimeout = time.Second

// Pool holds the connections to one target.
type Pool struct {
	dial    Dialer
	target  string
	hooks   Hooks
	memory  *bodyMemory
	address netip.AddrPort

	mu      sync.Mutex
	options Options
	closed  bool
	total   int
	dialing int
	// consecutiveFailures counts the connections that failed since the last one
	// that was confirmed.
	consecutiveFailures int
	// nextDialAt is the earliest time to open a connection after one failed.
	nextDialAt time.Time
	// keepConnected is set if a connection to the target is always kept open.
	keepConnected bool
	idle          []*connection
	queue         []*Exchange
}

func newPool(dial Dialer, target string, hooks Hooks, memory *bodyMemory, address netip.AddrPort, options Options) *Pool {
	options.MaxOpen = max(options.MaxOpen, 1)
	return &Pool{dial: dial, target: target, hooks: hooks, memory: memory, address: address, options: options}
}

func (p *Pool) setOptions(options Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	options.MaxOpen = max(options.MaxOpen, 1)
	if options == p.options {
		return
	}
	p.options = options
	p.keepConnected = p.keepConnected && options.IdleTimeout == 0
	p.trimIdle()
}

// trimIdle applies options that have changed to the idle connections: it drops those
// beyond MaxOpen, the ones unused for longest first, and applies a shorter IdleTimeout.
// Until a process knows the number of entry VMs it may have opened more.
func (p *Pool) trimIdle() {
	for len(p.idle) > 0 && p.total > p.options.MaxOpen {
		p.drop(p.idle[0])
	}
	if p.options.IdleTimeout == 0 {
		return
	}
	end := p.idleDeadline(time.Now())
	for _, c := range p.idle {
		if c.idleUntil.IsZero() || end.Before(c.idleUntil) {
			c.setIdleUntil(end)
		}
	}
}

// Send sends a request on an idle connection, or queues it until one is free. done
// is called exactly once, either from another goroutine or within this call.
func (p *Pool) Send(now time.Time, request Request, done func(Reply)) *Exchange {
	e := &Exchange{request: request, pool: p, done: done}
	p.mu.Lock()
	if p.closed {
		e.state = ended
		p.mu.Unlock()
		done(Reply{Result: placer.Unsent, Err: errRetired})
		return e
	}
	if c := p.takeIdle(now); c != nil {
		p.assign(now, c, e)
		p.mu.Unlock()
		c.write(e)
		return e
	}
	p.queue = append(p.queue, e)
	p.dialIfNeeded()
	p.mu.Unlock()
	return e
}

// preconnectJitter is the period over which connections are opened before they
// are needed. All entry VMs receive the registration of a target at the same time,
// and each new connection occupies a slot of the target for a moment.
const preconnectJitter = 2 * time.Second

// Preconnect opens a connection shortly if there is none, and reopens it whenever
// the target closes it for being idle.
func (p *Pool) Preconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepConnected = true
	p.schedulePreconnect()
}

func (p *Pool) schedulePreconnect() {
	if p.keepConnected && !p.closed && p.total == 0 && !time.Now().Before(p.nextDialAt) {
		time.AfterFunc(rand.N(preconnectJitter), p.probe)
	}
}

// probe opens a connection if none is open.
func (p *Pool) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && p.total == 0 {
		p.startDial()
	}
}

// takeIdle returns the most recently used idle connection, nil if there is none.
// It drops those that the target may be about to close.
func (p *Pool) takeIdle(now time.Time) *connection {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.reusableUntil.IsZero() || now.Before(c.reusableUntil) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// assign gives an exchange to a connection, whose goroutine then waits for the
// answer until the deadline.
func (p *Pool) assign(now time.Time, c *connection, e *Exchange) {
	c.exchange = e
	e.conn = c
	e.state = writing
	e.sent = now
	c.setReadDeadline(e.request.Deadline)
}

func (p *Pool) dialIfNeeded() {
	if p.dialing < len(p.queue) && p.total < p.options.MaxOpen && !time.Now().Before(p.nextDialAt) {
		p.startDial()
	}
}

func (p *Pool) startDial() {
	p.total++
	p.dialing++
	p.hooks.Count("opened")
	go p.dialAndRead()
}

// confirmDelay is how long a new connection has to stay open before its target
// counts as reachable and below its connection limit: several round trips between
// failure domains.
const confirmDelay = 20 * time.Millisecond

// dialAndRead opens a connection and reads from it until it is closed.
func (p *Pool) dialAndRead() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	raw, err := p.dial(ctx, p.address)
	cancel()
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.total--
		p.hooks.Count("dial-failed")
		p.mu.Unlock()
		p.refused(&Error{Op: "dial", Kind: KindUnreachable, Err: err})
		return
	}
	c := newConnection(p, raw)
	next := p.release(time.Now(), c)
	p.mu.Unlock()
	time.AfterFunc(confirmDelay, func() { p.confirm(c) })
	if next != nil {
		c.write(next)
	}
	c.read()
}

// confirm reports the target as reachable if the connection is still open, and
// ends the pause between dials.
func (p *Pool) confirm(c *connection) {
	p.mu.Lock()
	alive := !c.dropped && !p.closed
	if alive {
		p.consecutiveFailures, p.nextDialAt = 0, time.Time{}
	}
	p.mu.Unlock()
	if alive {
		p.hooks.SetReachable(p.target, true)
	}
}

// refused handles a connection that could not be opened, or that closed before its
// first answer, as it does when the target is at its connection limit. No
// connection is opened during the pause that follows; without an open connection
// the target is unreachable.
func (p *Pool) refused(err error) {
	p.mu.Lock()
	pause := min(minRedialPause<<min(p.consecutiveFailures, maxDoublings), maxRedialPause)
	p.consecutiveFailures++
	p.nextDialAt = time.Now().Add(pause)
	unsent, unreachable := p.failQueued()
	probe := p.probe
	if p.options.IdleTimeout > 0 && !isTimeout(err) {
		// The next request tests at no cost whether the target accepts connections
		// again.
		probe = p.reportReachable
	}
	p.mu.Unlock()
	if unreachable {
		p.hooks.SetReachable(p.target, false)
		time.AfterFunc(pause, probe)
	}
	for _, e := range unsent {
		e.done(Reply{Result: placer.Unsent, Err: err})
	}
}

// reportReachable reports the target as reachable, unless it has left meanwhile.
func (p *Pool) reportReachable() {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if !closed {
		p.hooks.SetReachable(p.target, true)
	}
}

// isTimeout reports whether a connection failed because the target did not
// respond.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// failQueued removes and returns the queued exchanges if no connection is left to
// send them, and reports whether the target is therefore unreachable.
func (p *Pool) failQueued() (unsent []*Exchange, unreachable bool) {
	if p.total > 0 || p.closed {
		return nil, false
	}
	return p.takeQueue(), true
}

// Pauses before an unreachable target is dialed again.
const (
	minRedialPause = 100 * time.Millisecond
	maxRedialPause = 800 * time.Millisecond
	// maxDoublings keeps the shift from overflowing before the pause is limited.
	maxDoublings = 10
)

// release assigns the next queued exchange to a free connection, makes the
// connection idle, or drops it. It returns the exchange to write, if any.
func (p *Pool) release(now time.Time, c *connection) *Exchange {
	if p.closed || (c.used && p.total > p.options.MaxOpen) {
		p.drop(c)
		return nil
	}
	if len(p.queue) == 0 {
		c.setIdleUntil(p.idleDeadline(now))
		p.idle = append(p.idle, c)
		return nil
	}
	e := p.queue[0]
	p.queue = p.queue[1:]
	p.assign(now, c, e)
	return e
}

// idleDeadline returns the time at which an idle connection is closed, the zero
// time for never.
func (p *Pool) idleDeadline(now time.Time) time.Time {
	if p.options.IdleTimeout == 0 {
		return time.Time{}
	}
	return now.Add(p.options.IdleTimeout)
}

// drop closes a connection and opens another one if it is needed.
func (p *Pool) drop(c *connection) {
	if c.dropped {
		return
	}
	c.dropped = true
	p.total--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	c.raw.Close()
	if !p.closed {
		p.dialIfNeeded()
		p.schedulePreconnect()
	}
}

// dropUnusedSince drops the idle connections that were last used before the given
// time. It is called when another connection to the target turned out to be dead,
// because these may be dead as well.
func (p *Pool) dropUnusedSince(since time.Time) {
	for _, c := range slices.Clone(p.idle) {
		if c.usedAt.Before(since) {
			p.drop(c)
		}
	}
}

func (p *Pool) removeQueued(e *Exchange) {
	if i := slices.Index(p.queue, e); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// failWaiting fails the queued exchanges.
func (p *Pool) failWaiting() {
	p.mu.Lock()
	unsent := p.takeQueue()
	p.mu.Unlock()
	for _, e := range unsent {
		e.done(Reply{Result: placer.Unsent, Err: errPaused})
	}
}

// takeQueue ends and returns the queued exchanges. The caller holds mu.
func (p *Pool) takeQueue() []*Exchange {
	unsent := p.queue
	p.queue = nil
	for _, e := range unsent {
		e.state = ended
	}
	return unsent
}

// Close closes idle connections now and the others after their exchange, and fails
// the queued exchanges.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range slices.Clone(p.idle) {
		p.drop(c)
	}
	unsent := p.takeQueue()
	p.mu.Unlock()
	for _, e := range unsent {
		e.done(Reply{Result: placer.Unsent, Err: errRetired})
	}
}
