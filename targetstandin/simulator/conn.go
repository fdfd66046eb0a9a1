package simulator

import (
	"context"
	"net"
	"sync"
)

// conn is a connection that can go silent: it then passes no byte in either
// direction while it stays open.
type conn struct {
	net.Conn
	target *Target
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// thaw is not nil while the connection is silent, and closed at the end.
	thaw chan struct{}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read passes on bytes unless the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write passes on bytes unless the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its place in the target's limit.
func (c *conn) Close() error {
	c.target.removeConn(c)
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// abort resets the connection. The caller holds the target's lock.
func (c *conn) abort() {
	c.once.Do(func() { close(c.closed) })
	reset(c.Conn)
}

// silence stops the connection until thaw is closed.
func (c *conn) silence(thaw chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.thaw = thaw
}

func (c *conn) wait() error {
	for {
		c.mu.Lock()
		thaw := c.thaw
		c.mu.Unlock()
		if thaw == nil {
			return nil
		}
		select {
		case <-thaw:
			c.clear(thaw)
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

func (c *conn) clear(thaw chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.thaw == thaw {
		c.thaw = nil
	}
}
