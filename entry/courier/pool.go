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

// keepShare is the part of the time for which a target keeps an idle
// connection that it is used, so that no request crosses the target's close.
const keepShare = 0.7

// dialTimeout bounds the opening of a connection. A target that takes longer is
// out of reach.
const dialTimeout = time.Second

// Pool holds the connections to one target.
type Pool struct {
	dial    Dialer
	count   func(event string)
	reach   func(opened bool)
	address netip.AddrPort

	mu      sync.Mutex
	terms   Terms
	closed  bool
	total   int
	dialing int
	// misses counts the failed connections in a row.
	misses int
	// hold is until when no connection is opened, after one failed.
	hold time.Time
	// keep is true for a target to which a connection is kept open.
	keep  bool
	idle  []*connection
	queue []*Exchange
}

func newPool(dial Dialer, count func(string), reach func(bool), address netip.AddrPort, terms Terms) *Pool {
	terms.Limit = max(terms.Limit, 1)
	return &Pool{dial: dial, count: count, reach: reach, address: address, terms: terms}
}

func (p *Pool) setTerms(terms Terms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	terms.Limit = max(terms.Limit, 1)
	p.terms = terms
	p.keep = p.keep && terms.IdleTimeout == 0
}

// Send carries a job; done is called exactly once, from another goroutine or
// from this call.
func (p *Pool) Send(now time.Time, job Job, done func(Reply)) *Exchange {
	e := &Exchange{job: job, pool: p, done: done}
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

// warmSpread is the time over which connections are opened ahead of need. All
// entry VMs hear of a target at once, and each new connection takes a slot of it
// for a moment.
const warmSpread = 2 * time.Second

// Warm opens a connection within a short time if there is none, and another one
// whenever the target ends it for being idle.
func (p *Pool) Warm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep = true
	p.warmLater()
}

func (p *Pool) warmLater() {
	if p.keep && !p.closed && p.total == 0 && !time.Now().Before(p.hold) {
		time.AfterFunc(rand.N(warmSpread), p.look)
	}
}

// look opens a connection if there is none.
func (p *Pool) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && p.total == 0 {
		p.startDial()
	}
}

// takeIdle returns the connection that was used last, and closes those that
// the target may be about to close.
func (p *Pool) takeIdle(now time.Time) *connection {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.keepUntil.IsZero() || now.Before(c.keepUntil) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// assign hands an exchange to a connection. Its goroutine then waits for the
// answer.
func (p *Pool) assign(now time.Time, c *connection, e *Exchange) {
	c.exchange = e
	e.conn = c
	e.state = writing
	e.sent = now
	c.setReadDeadline(e.job.Deadline)
}

func (p *Pool) dialIfNeeded() {
	if p.dialing < len(p.queue) && p.total < p.terms.Limit && !time.Now().Before(p.hold) {
		p.startDial()
	}
}

func (p *Pool) startDial() {
	p.total++
	p.dialing++
	p.count("opened")
	go p.open()
}

// settleTime is how long a new connection has to live to show that its target is
// there and has room: several round trips between failure domains.
const settleTime = 20 * time.Millisecond

// open dials a connection and then reads from it until it ends.
func (p *Pool) open() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	raw, err := p.dial(ctx, p.address)
	cancel()
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.total--
		p.count("dial-failed")
		p.mu.Unlock()
		p.refused(&Error{Op: "dial", Kind: KindUnreachable, Err: err})
		return
	}
	c := newConnection(p, raw)
	next := p.offer(time.Now(), c)
	p.mu.Unlock()
	time.AfterFunc(settleTime, func() { p.settled(c) })
	if next != nil {
		c.write(next)
	}
	c.read()
}

// settled takes that a connection has lived for a while.
func (p *Pool) settled(c *connection) {
	p.mu.Lock()
	alive := !c.dropped
	if alive {
		p.misses, p.hold = 0, time.Time{}
	}
	p.mu.Unlock()
	if alive {
		p.reach(true)
	}
}

// refused takes that a connection could not be opened, or ended before its
// first answer, as it does when the target has no room for one more. No further
// one is opened for a while; without any the target is out of reach.
func (p *Pool) refused(err error) {
	p.mu.Lock()
	pause := min(firstLook<<min(p.misses, maxDoublings), lastLook)
	p.misses++
	p.hold = time.Now().Add(pause)
	unsent, lost := p.failWaiting()
	look := p.look
	if p.terms.IdleTimeout > 0 && !isSilence(err) {
		// The next request finds out at no cost whether there is room now.
		look = func() { p.reach(true) }
	}
	p.mu.Unlock()
	if lost {
		p.reach(false)
		time.AfterFunc(pause, look)
	}
	for _, e := range unsent {
		e.done(Reply{Result: placer.Unsent, Err: err})
	}
}

// isSilence reports whether a connection failed because nothing answered.
func isSilence(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// failWaiting takes the exchanges that no connection will carry, and reports
// whether the target is out of reach.
func (p *Pool) failWaiting() (unsent []*Exchange, lost bool) {
	if p.total > 0 || p.closed {
		return nil, false
	}
	unsent = p.queue
	p.queue = nil
	for _, e := range unsent {
		e.state = ended
	}
	return unsent, true
}

// Pauses before a target that is down is looked for again.
const (
	firstLook = 100 * time.Millisecond
	lastLook  = 800 * time.Millisecond
	// maxDoublings keeps the pause from overflowing before it is bounded.
	maxDoublings = 10
)

// offer gives a free connection the next waiting exchange, keeps it idle, or
// closes it. It returns the exchange that is to be written.
func (p *Pool) offer(now time.Time, c *connection) *Exchange {
	if p.closed || (c.used && p.total > p.terms.Limit) {
		p.drop(c)
		return nil
	}
	if len(p.queue) == 0 {
		c.setReadDeadline(p.idleUntil(now))
		p.idle = append(p.idle, c)
		return nil
	}
	e := p.queue[0]
	p.queue = p.queue[1:]
	p.assign(now, c, e)
	return e
}

// idleUntil returns when an idle connection is closed, the zero time for never.
func (p *Pool) idleUntil(now time.Time) time.Time {
	if p.terms.IdleTimeout == 0 {
		return time.Time{}
	}
	return now.Add(p.terms.IdleTimeout)
}

// drop closes a connection and lets another one take its place.
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
		p.warmLater()
	}
}

// dropSilent closes the idle connections that were last used before the given
// time, after one beside them was found to be dead.
func (p *Pool) dropSilent(since time.Time) {
	for _, c := range slices.Clone(p.idle) {
		if c.usedAt.Before(since) {
			p.drop(c)
		}
	}
}

func (p *Pool) removeWaiting(e *Exchange) {
	if i := slices.Index(p.queue, e); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// Close ends idle connections now and the others after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range slices.Clone(p.idle) {
		p.drop(c)
	}
	unsent := p.queue
	p.queue = nil
	for _, e := range unsent {
		e.state = ended
	}
	p.mu.Unlock()
	for _, e := range unsent {
		e.done(Reply{Result: placer.Unsent, Err: errRetired})
	}
}
