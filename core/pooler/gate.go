package pooler

import (
	"context"
	"net"
	"sync"
)

// gate keeps the open connections to a target within an allotment that may
// change while they are in use.
type gate struct {
	mu        sync.Mutex
	allotment int
	open      int
	// freed is closed and replaced whenever room may have appeared.
	freed chan struct{}
}

func newGate(allotment int) *gate {
	return &gate{allotment: allotment, freed: make(chan struct{})}
}

// acquire waits for room for one connection beside the reserve. The first
// connection of a pool needs no reserve, so that a small allotment still serves.
func (g *gate) acquire(ctx context.Context, reserve int) error {
	for {
		g.mu.Lock()
		if g.open < g.allotment && (g.open == 0 || g.open+reserve < g.allotment) {
			g.open++
			g.mu.Unlock()
			return nil
		}
		freed := g.freed
		g.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.wake()
}

func (g *gate) set(allotment int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allotment = allotment
	g.wake()
}

func (g *gate) wake() {
	close(g.freed)
	g.freed = make(chan struct{})
}

// full reports whether no further connection may be opened.
func (g *gate) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open >= g.allotment
}

// excess reports whether more connections are open than allowed.
func (g *gate) excess() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open > g.allotment
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// gatedConn gives its place back when it is closed.
type gatedConn struct {
	net.Conn
	gate *gate
	once sync.Once
}

// Close closes the connection.
func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.gate.release)
	return err
}
