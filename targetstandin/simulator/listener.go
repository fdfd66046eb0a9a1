package simulator

import (
	"net"
	"sync"
	"time"
)

// listener hands over connections after the target's connect time and closes
// those above its limit.
type listener struct {
	net.Listener
	target *Target
	ready  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newListener(raw net.Listener, t *Target) *listener {
	l := &listener{Listener: raw, target: t, ready: make(chan net.Conn), closed: make(chan struct{})}
	go l.acceptAll()
	return l
}

// Accept returns the next connection that is set up.
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
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *listener) acceptAll() {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return
		}
		c, ok := l.target.admitConn(raw)
		if !ok {
			reset(raw)
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

// admitConn registers a connection unless the target is at its limit.
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
	c := &conn{Conn: raw, target: t, closed: make(chan struct{}), thaw: t.thaw}
	t.conns.Add(c)
	return c, true
}

func (t *Target) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns.Remove(c)
}

// reset closes a connection with a reset instead of an orderly end, as the
// loss of the peer process does.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}
