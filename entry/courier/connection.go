package courier

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"time"

	"jackdawcart.org/core/placer"
)

// readBufferBytes is large enough for the head and the body of most answers.
const readBufferBytes = 4 << 10

// maxSkippedAnswers limits the answers to other requests that are skipped
// while waiting for an answer.
const maxSkippedAnswers = 4

// singleWriteBytes is the size up to which a body is sent in a single write,
// together with the head.
const singleWriteBytes = 4 << 10

// connection is an open connection to a target. Its own goroutine reads
// continuously, so that a close or an unexpected byte is noticed while the
// connection is idle.
//
// It doesn't use net/http's client, which would accept a duplicate answer that
// arrives late as the answer to the next request on the connection. Answers are
// still parsed by net/http.
type connection struct {
	pool   *Pool
	raw    net.Conn
	reader *headReader
	buffer *bufio.Reader

	// The fields below are guarded by the pool's mutex.
	exchange      *Exchange
	reusableUntil time.Time
	// idleUntil is the time at which the connection is closed if it stays idle, the zero
	// time for never.
	idleUntil time.Time
	usedAt    time.Time
	openedAt  time.Time
	used      bool
	dropped   bool
}

func newConnection(p *Pool, raw net.Conn) *connection {
	reader := &headReader{raw: raw}
	return &connection{pool: p, raw: raw, reader: reader, buffer: bufio.NewReaderSize(reader, readBufferBytes), openedAt: time.Now()}
}

// setReadDeadline sets the deadline for reads; the zero time removes it.
func (c *connection) setReadDeadline(t time.Time) {
	// SetReadDeadline fails only on a closed connection, which the reader reports.
	_ = c.raw.SetReadDeadline(t)
}

// setIdleUntil sets the time at which the connection, which is idle, is closed.
func (c *connection) setIdleUntil(t time.Time) {
	c.idleUntil = t
	c.setReadDeadline(t)
}

// write sends the request of the exchange. A request of which no byte could be
// written did not reach the target. The head is built here because a request that
// was queued for a connection has less time left than when it was queued.
func (c *connection) write(e *Exchange) {
	_ = c.raw.SetWriteDeadline(e.request.Deadline)
	n, err := c.writeAll(e.request.Head(time.Until(e.request.Deadline)), e.request.Body)
	if err == nil {
		c.pool.mu.Lock()
		if e.state == writing {
			e.state = reading
		}
		c.pool.mu.Unlock()
		return
	}
	result := placer.Lost
	if n == 0 {
		result = placer.Unsent
	}
	c.fail(e, result, &Error{Op: "write", Kind: KindClosed, Err: err})
}

func (c *connection) writeAll(head, body []byte) (int64, error) {
	if len(body) == 0 {
		n, err := c.raw.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.raw)
}

// read handles answers until the connection is closed. A panic, which bytes of a
// target may cause, ends the connection and its exchange, and not the process.
func (c *connection) read() {
	defer func() {
		if v := recover(); v != nil {
			c.endAfterPanic(v)
		}
	}()
	for {
		_, err := c.buffer.Peek(1)
		e := c.current()
		if e == nil {
			c.closeIdle(err)
			return
		}
		if err != nil {
			c.failRead(e, err)
			return
		}
		reply, reusable := c.readAnswer(e)
		if !c.finish(e, reply, reusable) {
			return
		}
	}
}

// deliver calls back with a reply. The connection may serve another exchange by then,
// so a panic of the callback must not end it.
func (c *connection) deliver(e *Exchange, reply Reply) {
	defer func() {
		if v := recover(); v != nil {
			c.pool.hooks.Count("panicked")
			fmt.Fprintf(os.Stderr, "callback of request %s panicked: %v\n%s", e.request.RequestID, v, debug.Stack())
		}
	}()
	e.done(reply)
}

// endAfterPanic ends the connection and the exchange whose answer it was reading.
func (c *connection) endAfterPanic(v any) {
	c.pool.hooks.Count("panicked")
	err := &Error{Op: "read", Kind: KindPanic, Err: fmt.Errorf("%v at %s", v, debug.Stack())}
	if e := c.current(); e != nil {
		c.fail(e, placer.Lost, err)
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

func (c *connection) current() *Exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.exchange
}

// closeIdle closes an idle connection after its idle timeout, after the target
// closed it, or after bytes arrived that belong to no request.
func (c *connection) closeIdle(err error) {
	c.pool.mu.Lock()
	byTarget := !c.dropped && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	refused := c.newAndUnused() && !errors.Is(err, os.ErrDeadlineExceeded)
	c.pool.drop(c)
	c.pool.mu.Unlock()
	if byTarget {
		c.pool.hooks.Ended(c.pool.target)
	}
	if refused {
		c.pool.refused(&Error{Op: "read", Kind: KindClosed, Err: errClosedBeforeAnswer})
	}
}

// maxRefusalAge is the age up to which a connection that closed without an answer
// counts as refused by the target; an older one was idle for too long.
const maxRefusalAge = time.Second

// newAndUnused reports whether the connection was opened less than maxRefusalAge
// ago and has received no answer yet.
func (c *connection) newAndUnused() bool {
	return !c.used && !c.dropped && time.Since(c.openedAt) < maxRefusalAge
}

func (c *connection) failRead(e *Exchange, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.pool.mu.Lock()
		c.pool.dropUnusedSince(e.sent)
		c.pool.mu.Unlock()
		c.fail(e, placer.Lost, &Error{Op: "read", Kind: KindTimeout, Err: err})
		return
	}
	c.fail(e, placer.Lost, &Error{Op: "read", Kind: KindClosed, Err: err})
}

// fail ends an exchange that got no answer and closes the connection.
func (c *connection) fail(e *Exchange, result placer.Result, err error) {
	c.pool.mu.Lock()
	refused := c.newAndUnused()
	c.pool.drop(c)
	pending := e.state != ended
	e.state = ended
	c.exchange = nil
	c.pool.mu.Unlock()
	if refused {
		c.pool.refused(err)
	}
	if pending {
		c.pool.hooks.Count("lost")
		c.deliver(e, Reply{Result: result, Err: err})
	}
}

// finish ends an exchange and reports whether the connection stays open.
func (c *connection) finish(e *Exchange, reply Reply, reusable bool) bool {
	now := time.Now()
	c.pool.mu.Lock()
	pending := e.state != ended
	// A target may answer before it has read a long body. The next request must
	// not follow the rest of that body on the same connection.
	written := e.state != writing || len(e.request.Body) <= singleWriteBytes
	e.state = ended
	c.exchange = nil
	c.used, c.usedAt = true, now
	c.reusableUntil = time.Time{}
	if keep := reply.Answer.KeepAliveTimeout; keep > 0 {
		c.reusableUntil = now.Add(time.Duration(keepAliveShare * float64(keep)))
	}
	var next *Exchange
	if reusable && written {
		next = c.pool.release(now, c)
	} else {
		c.pool.drop(c)
	}
	alive := !c.dropped
	c.pool.mu.Unlock()
	if pending {
		c.deliver(e, reply)
	}
	if next != nil {
		c.write(next)
	}
	return alive
}
