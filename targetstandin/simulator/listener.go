package simulator

import (
	"net"
	"sync"
	"time"
)

// listener delays each connection by the target's connect time and resets
// connections above the target's limit.
type listener struct {
	net.Listener
	target    *Target
	ready     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newListener(raw net.Listener, t *Target) *listener {
	l := &listener{Listener: raw, target: t, ready: make(chan net.Conn), closed: make(chan struct{})}
	go l.acceptLoop()
	return l
}

// Accept returns the next connection whose connect time has elapsed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *listener) acceptLoop() {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return
		}
		c, ok := l.target.admitConn(raw)
		if !ok {
			resetConn(raw)
			continue
		}
		go l.setUp(c)
	}
}

func (l *listener) setUp(c *conn) {
	time.Sleep(time.Duration(l.target.description.ConnectTime))
	select {
	case l.ready <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// admitConn registers a connection unless the target is down, closed or at its
// connection limit.
func (t *Target) admitConn(raw net.Conn) (*conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.closed {
		return nil, false
	}
	if len(t.conns) >= t.description.Connections {
		t.refusals["connection-limit"]++
		return nil, false
	}
	c := &conn{Conn: raw, target: t, closed: make(chan struct{}), resumed: t.resumed}
	t.conns.Add(c)
	return c, true
}

func (t *Target) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns.Remove(c)
}

// resetConn closes a connection with a TCP reset instead of a FIN, as when the
// peer process crashes.
func resetConn(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}
