package simulator

import (
	"context"
	"net"
	"sync"
)

// conn is a connection that can be made silent: it stays open but transfers no
// data in either direction.
type conn struct {
	net.Conn
	target    *Target
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// resumed is non-nil while the connection is silent; closing it resumes
	// traffic.
	resumed chan struct{}
}

type connContextKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connContextKey{}).(*conn)
	return c
}

// Read reads from the connection and blocks while it is silent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitWhileSilent(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write writes to the connection and blocks while it is silent.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitWhileSilent(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the target's connection
// count.
func (c *conn) Close() error {
	c.target.removeConn(c)
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// abort resets the connection without removing it from the target's
// connections. The target's mutex must be held.
func (c *conn) abort() {
	c.closeOnce.Do(func() { close(c.closed) })
	resetConn(c.Conn)
}

// silence blocks reads and writes until resumed is closed.
func (c *conn) silence(resumed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = resumed
}

// waitWhileSilent blocks until the connection is not silent. It returns
// net.ErrClosed if the connection is closed first.
func (c *conn) waitWhileSilent() error {
	for {
		c.mu.Lock()
		resumed := c.resumed
		c.mu.Unlock()
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
			c.endSilence(resumed)
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// endSilence ends the silence that belongs to resumed, unless another silence has
// replaced it.
func (c *conn) endSilence(resumed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed == resumed {
		c.resumed = nil
	}
}
