package pooler

import (
	"context"
	"net"
	"sync"
)

// connLimiter keeps the open connections to a target within an allotment that
// may change while they are in use.
type connLimiter struct {
	mu        sync.Mutex
	allotment int
	open      int
	// freed is closed and replaced whenever a connection may have become available.
	freed chan struct{}
}

func newConnLimiter(allotment int) *connLimiter {
	return &connLimiter{allotment: allotment, freed: make(chan struct{})}
}

// acquire waits until a connection may be opened that leaves the reserve free.
// The first connection needs no reserve, so that a small allotment still serves
// requests.
func (l *connLimiter) acquire(ctx context.Context, reserve int) error {
	for {
		l.mu.Lock()
		if l.open < l.allotment && (l.open == 0 || l.open+reserve < l.allotment) {
			l.open++
			l.mu.Unlock()
			return nil
		}
		freed := l.freed
		l.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *connLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.notifyWaiters()
}

func (l *connLimiter) setAllotment(allotment int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotment = allotment
	l.notifyWaiters()
}

func (l *connLimiter) notifyWaiters() {
	close(l.freed)
	l.freed = make(chan struct{})
}

// atAllotment reports whether no further connection may be opened.
func (l *connLimiter) atAllotment() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.allotment
}

// aboveAllotment reports whether more connections are open than the allotment
// permits.
func (l *connLimiter) aboveAllotment() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.allotment
}

func (l *connLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// limitedConn is a connection that releases its slot in the limiter when closed.
type limitedConn struct {
	net.Conn
	connLimiter *connLimiter
	once        sync.Once
}

// Close closes the connection and releases its slot once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.connLimiter.release)
	return err
}
