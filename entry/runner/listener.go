package runner

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/router"
)

// limitedListener bounds how long a caller may stay idle or take for a head.
// The bounds change with the configuration, which the fields of http.Server
// cannot follow.
type limitedListener struct {
	net.Listener
	limits func() router.Limits
}

func (l *limitedListener) wrap(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, limits: l.limits}
}

// Accept waits for a connection and bounds its first head.
func (l *limitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: inner}, nil
}

// onState sets the deadline that fits the state of a connection.
func (l *limitedListener) onState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.bound.Store(int64(l.limits().IdleTimeout))
	case http.StateActive:
		conn.bound.Store(0)
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

// SetReadDeadline bounds reading.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if bound := time.Duration(c.bound.Load()); t.IsZero() && bound > 0 {
		t = time.Now().Add(bound)
	}
	return c.Conn.SetReadDeadline(t)
}
