package runner

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/router"
)

// LimitedListener limits how long a caller may stay idle or take to send a request
// head. The limits change with the configuration, which the timeouts of http.Server
// cannot do while it runs.
type LimitedListener struct {
	net.Listener
	limits func() router.Limits
}

// NewLimitedListener returns a listener with the limits that the function returns.
func NewLimitedListener(limits func() router.Limits) *LimitedListener {
	return &LimitedListener{limits: limits}
}

// Wrap returns a listener that accepts connections from inner.
func (l *LimitedListener) Wrap(inner net.Listener) net.Listener {
	return &LimitedListener{Listener: inner, limits: l.limits}
}

// Accept waits for a connection. OnState sets its idle timeout.
func (l *LimitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: inner}, nil
}

// OnState sets the idle timeout for the new state of a connection. It is meant for
// the ConnState field of http.Server.
func (l *LimitedListener) OnState(c net.Conn, state http.ConnState) {
	if guarded, ok := c.(*guardedConn); ok {
		c = guarded.Conn
	}
	conn, ok := c.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		limits := l.limits()
		conn.idleTimeout.Store(int64(limits.IdleTimeout))
		conn.headerTimeout.Store(int64(limits.HeaderTimeout))
		conn.headDeadline.Store(nil)
		conn.resetReadDeadline()
	case http.StateActive:
		conn.headerTimeout.Store(0)
		conn.headDeadline.Store(nil)
		// While a request runs, the server reads to detect a disconnected caller. An
		// idle timeout would end that read.
		conn.idleTimeout.Store(0)
		conn.resetReadDeadline()
	case http.StateHijacked, http.StateClosed:
	}
}

// limitedConn sets the current idle timeout when the server removes the read
// deadline.
type limitedConn struct {
	net.Conn
	// idleTimeout and headerTimeout are of type time.Duration; 0 means no timeout.
	// headerTimeout is 0 as well once the first byte of a head has arrived.
	idleTimeout   atomic.Int64
	headerTimeout atomic.Int64
	// headDeadline is set while a head is being read.
	headDeadline atomic.Pointer[time.Time]
}

// Read starts the header timeout at the first byte of a head, so that a caller that
// sends one byte now and then doesn't hold the connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if timeout := time.Duration(c.headerTimeout.Swap(0)); timeout > 0 {
			deadline := time.Now().Add(timeout)
			c.headDeadline.Store(&deadline)
			_ = c.Conn.SetReadDeadline(deadline)
		}
	}
	return n, err
}

// resetReadDeadline replaces the read deadline by that of the new state.
func (c *limitedConn) resetReadDeadline() {
	// SetReadDeadline fails only on a closed connection, and then the server gets an
	// error too.
	_ = c.SetReadDeadline(time.Time{})
}

// SetReadDeadline sets the deadline for reads. The zero time means the deadline of the
// head that is being read, or the idle timeout, if there is one.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if head := c.headDeadline.Load(); t.IsZero() && head != nil {
		t = *head
	}
	if idleTimeout := time.Duration(c.idleTimeout.Load()); t.IsZero() && idleTimeout > 0 {
		t = time.Now().Add(idleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}
