package runner

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/router"
)

// LimitedListener bounds how long a caller may stay idle or take for a head.
// The bounds change with the configuration, which the fields of http.Server
// cannot follow.
type LimitedListener struct {
	net.Listener
	limits func() router.Limits
}

// NewLimitedListener returns a listener whose bounds are those of limits.
func NewLimitedListener(limits func() router.Limits) *LimitedListener {
	return &LimitedListener{limits: limits}
}

// Wrap returns a listener that takes connections from inner.
func (l *LimitedListener) Wrap(inner net.Listener) net.Listener {
	return &LimitedListener{Listener: inner, limits: l.limits}
}

// Accept waits for a connection and bounds its first head.
func (l *LimitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: inner}, nil
}

// OnState sets the deadline that fits the state of a connection.
func (l *LimitedListener) OnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.bound.Store(int64(l.limits().IdleTimeout))
		conn.lift()
	case http.StateActive:
		// The bound on idleness would end the wait for the caller's leaving.
		conn.bound.Store(0)
		conn.lift()
	case http.StateHijacked, http.StateClosed:
	}
}

// limitedConn turns the lifting of a read deadline into the bound that holds in
// the state of the connection.
type limitedConn struct {
	net.Conn
	// bound is a time.Duration, 0 for none.
	bound atomic.Int64
}

// lift puts the bound of the new state in place of the former one.
func (c *limitedConn) lift() {
	// It fails on a closed connection only, of which the server hears itself.
	_ = c.SetReadDeadline(time.Time{})
}

// SetReadDeadline bounds reading.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if bound := time.Duration(c.bound.Load()); t.IsZero() && bound > 0 {
		t = time.Now().Add(bound)
	}
	return c.Conn.SetReadDeadline(t)
}
