package runner

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/budgeter"
)

// guardedConn is an accepted connection in the budget.
type guardedConn struct {
	net.Conn
	guard   *Guard
	account *budgeter.Connection
	// inHead is set while what is read belongs to the head of a request.
	inHead atomic.Bool
	// readAhead is the memory that the fields after the last blank line need, which may
	// belong to the next request.
	readAhead atomic.Int64
	// evicted is set once the connection must end. A request that was being received may
	// still be refused. cutOff is set if nothing may be written either.
	evicted, cutOff atomic.Bool
	// writeDeadline is used by the writer only.
	writeDeadline time.Time
}

// evict ends the reads of the connection, and its writes if the client does not read them.
// The guard holds mu.
func (c *guardedConn) evict() {
	c.evicted.Store(true)
	// Setting a deadline fails only on a closed connection.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	if c.account.Phase() == budgeter.Sending {
		c.cutOff.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// blankLine is the end of a head.
var blankLine = []byte("\r\n\r\n")

// fieldsMemory returns the memory of the header fields in a text, beyond the text itself.
func fieldsMemory(text []byte) int { return fieldBytes * bytes.Count(text, []byte{'\n'}) }

// Read reserves memory for heads.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, errNoMemory
	}
	n, err := c.Conn.Read(p)
	if c.evicted.Load() {
		return 0, errNoMemory
	}
	if n == 0 {
		return n, err
	}
	text := p[:n]
	// More than a buffer is read into the memory of the handler.
	ahead := 0
	if n <= bufferBytes {
		rest := text
		if end := bytes.LastIndex(text, blankLine); end >= 0 {
			rest = text[end+len(blankLine):]
		}
		ahead = fieldsMemory(rest)
	}
	c.readAhead.Store(int64(ahead))
	if c.inHead.Load() {
		head := text
		if end := bytes.Index(text, blankLine); end >= 0 {
			head = text[:end]
		}
		needed, now := n+fieldsMemory(head), time.Now()
		if !c.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) {
			return b.ReserveHead(now, c.account, needed)
		}) {
			return 0, errNoMemory
		}
	}
	return n, err
}

// Write writes in pieces, each of which the client must take in time.
func (c *guardedConn) Write(p []byte) (int, error) {
	answer := len(p)
	if answer <= bufferBytes {
		// It is in the buffer of the connection, which is in the budget already.
		answer = 0
	}
	now := time.Now()
	c.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) {
		return b.BeginSending(now, c.account, answer), true
	})
	defer func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.budget.EndSending(c.account)
	}()
	for written := 0; ; now = time.Now() {
		c.setWriteDeadline(now)
		if c.cutOff.Load() {
			return written, errNoMemory
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// setWriteDeadline sets the deadline for a piece of an answer, unless three quarters of the
// time are left of a former one. Setting it for each write made a request on a kept
// connection about 3 us slower (BenchmarkKeptConnection).
func (c *guardedConn) setWriteDeadline(now time.Time) {
	timeout := c.guard.writeTimeout()
	if c.evicted.Load() {
		timeout = evictedWriteTimeout
	} else if c.writeDeadline.Sub(now) > timeout*3/4 {
		return
	}
	c.writeDeadline = now.Add(timeout)
	// This fails only on a closed connection.
	_ = c.SetWriteDeadline(c.writeDeadline)
}

// Close returns the memory to the budget.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.Close(c.account)
	return err
}

// CloseWrite lets the server end a connection so that the client can read the last answer.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Reserve reserves memory for a message that is being received.
func (c *guardedConn) Reserve(n int) bool {
	now := time.Now()
	return c.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) {
		return b.ReserveBody(now, c.account, n)
	})
}

// reserveRun reserves memory for the work on a request.
func (c *guardedConn) reserveRun(n int) bool {
	now := time.Now()
	return c.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) {
		return b.ReserveRun(now, c.account, n)
	})
}

// receiving records that the body of a request is to come. It is not known to run until all
// of it has been read.
func (c *guardedConn) receiving() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.Receiving(c.account)
}

// Received records that a message is complete, and reports whether it may be used.
func (c *guardedConn) Received() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.budget.Received(c.account)
}

// Completed records that a request has been answered.
func (c *guardedConn) Completed() {
	now := time.Now()
	if !c.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) {
		return b.Completed(now, c.account, int(c.readAhead.Load()))
	}) {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.evict()
	}
}

func (c *guardedConn) releaseBody() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.ReleaseBody(c.account)
}
