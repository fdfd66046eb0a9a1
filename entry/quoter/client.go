package quoter

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"jackdawcart.org/core/granter"
	"jackdawcart.org/entry/quoter/quoterpb"
)

// Dialer opens connections to other VMs.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

const (
	// dialTimeout covers opening a connection between failure domains.
	dialTimeout = 200 * time.Millisecond
	// clientIdle is how long an unused connection stays open. serverIdle is longer, so that
	// it is the client that closes it.
	clientIdle = 30 * time.Second
	serverIdle = 45 * time.Second
	// maxInFlight bounds the requests that wait for one VM.
	maxInFlight = 256
)

// outcome is called once with the answer to a request, or with why there is none.
type outcome func(answer granter.Answer, err error)

// client holds a connection to each VM that is asked.
type client struct {
	dial Dialer

	mu     sync.Mutex
	links  map[string]*link
	closed bool
	// dials waits for goroutines of links.
	goroutines sync.WaitGroup
}

func newClient(dial Dialer) *client { return &client{dial: dial, links: make(map[string]*link)} }

// send sends a request to a VM. done is called once, at the latest after the timeout.
func (c *client) send(vm string, address netip.AddrPort, r granter.Request, timeout time.Duration, done outcome) {
	c.mu.Lock()
	if c.closed || !address.IsValid() {
		c.mu.Unlock()
		done(granter.Answer{}, &Error{Op: "send", Kind: KindUnreachable})
		return
	}
	l, ok := c.links[vm]
	if !ok || l.address != address {
		l = &link{client: c, vm: vm, address: address, pending: make(map[uint64]*pending)}
		c.links[vm] = l
		c.goroutines.Go(l.run)
	}
	c.mu.Unlock()
	l.send(r, timeout, done)
}

// forget removes a link that has ended.
func (c *client) forget(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.vm] == l {
		delete(c.links, l.vm)
	}
}

// keep ends the links to all but the given VMs.
func (c *client) keep(addresses map[string]netip.AddrPort) {
	c.mu.Lock()
	var gone []*link
	for vm, l := range c.links {
		if addresses[vm] != l.address {
			gone = append(gone, l)
		}
	}
	c.mu.Unlock()
	for _, l := range gone {
		l.end(&Error{Op: "send", Kind: KindClosed})
	}
}

func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	for _, l := range links {
		l.end(&Error{Op: "send", Kind: KindClosed})
	}
	c.goroutines.Wait()
}

// link is a connection to a VM, on which several requests may be in flight.
type link struct {
	client  *client
	vm      string
	address netip.AddrPort

	mu   sync.Mutex
	conn *frameConn
	// ended is set once the link takes no more requests.
	ended   error
	lastID  uint64
	pending map[uint64]*pending
	// heard is the id that had been given out last when the last message arrived.
	heard  uint64
	cancel context.CancelFunc
}

// pending is a request without an answer yet.
type pending struct {
	message *quoterpb.Request
	timer   *time.Timer
	done    outcome
}

func (l *link) send(r granter.Request, timeout time.Duration, done outcome) {
	l.mu.Lock()
	if l.ended != nil || len(l.pending) >= maxInFlight {
		err := l.ended
		if err == nil {
			err = &Error{Op: "send", Kind: KindFull}
		}
		l.mu.Unlock()
		done(granter.Answer{}, err)
		return
	}
	l.lastID++
	id := l.lastID
	p := &pending{message: toRequest(id, r), done: done}
	p.timer = time.AfterFunc(timeout, func() { l.expire(id) })
	l.pending[id] = p
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		// A failure closes the connection, which run notices.
		_ = conn.write(p.message)
	}
}

// take removes a pending request, and returns nil if it has ended.
func (l *link) take(id uint64) *pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	delete(l.pending, id)
	return p
}

// expire ends a request without an answer. If nothing has arrived since it was sent, the
// connection is given up: after a loss of packets, TCP may repeat them only after seconds.
func (l *link) expire(id uint64) {
	p := l.take(id)
	if p == nil {
		return
	}
	l.mu.Lock()
	silent := l.conn != nil && l.heard < id
	l.mu.Unlock()
	err := &Error{Op: "ask", Kind: KindUnanswered}
	if silent {
		l.end(err)
	}
	p.done(granter.Answer{}, err)
}

// end closes the link. Its requests fail.
func (l *link) end(err error) {
	l.client.forget(l)
	l.mu.Lock()
	if l.ended == nil {
		l.ended = err
	}
	failed := l.pending
	l.pending = make(map[uint64]*pending)
	conn, cancel := l.conn, l.cancel
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	if cancel != nil {
		cancel()
	}
	for _, p := range failed {
		p.timer.Stop()
		p.done(granter.Answer{}, err)
	}
}

// run opens the connection and reads answers until it ends.
func (l *link) run() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l.mu.Lock()
	l.cancel = cancel
	l.mu.Unlock()
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		l.end(&Error{Op: "dial", Kind: KindUnreachable, Err: err})
		return
	}
	framed := newFrameConn(conn)
	defer framed.Close()
	if !l.connected(framed) {
		return
	}
	l.end(l.readAnswers(framed))
}

// connected sends the requests that wait for the connection.
func (l *link) connected(conn *frameConn) bool {
	l.mu.Lock()
	if l.ended != nil {
		l.mu.Unlock()
		return false
	}
	l.conn = conn
	waiting := make([]*quoterpb.Request, 0, len(l.pending))
	for _, p := range l.pending {
		waiting = append(waiting, p.message)
	}
	l.mu.Unlock()
	for _, m := range waiting {
		if conn.write(m) != nil {
			break
		}
	}
	return true
}

func (l *link) readAnswers(conn *frameConn) error {
	for {
		var m quoterpb.Answer
		if err := conn.read(&m, clientIdle); err != nil {
			return &Error{Op: "ask", Kind: KindClosed, Err: err}
		}
		l.mu.Lock()
		l.heard = l.lastID
		l.mu.Unlock()
		// An answer whose request has timed out is dropped.
		if p := l.take(m.GetId()); p != nil {
			p.timer.Stop()
			p.done(fromAnswer(&m), nil)
		}
	}
}
