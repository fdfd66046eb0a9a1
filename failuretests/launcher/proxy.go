package launcher

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
)

// Mode is what a proxy does with connections and their bytes.
type Mode int

// Modes of a proxy.
const (
	// Forward passes bytes in both directions.
	Forward Mode = iota
	// Refuse resets open connections and each new one.
	Refuse
	// BlackHole keeps connections open and passes nothing, as a partition
	// that drops packets does.
	BlackHole
)

// Proxy forwards TCP connections to one address and can cut those that cross
// the border of the cut failure domain.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	// crosses tells whether a client's connection can be cut.
	crosses func(client netip.AddrPort) bool

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	closed  bool
	// conns holds the open connections, and whether they can be cut.
	conns map[*net.TCPConn]bool
}

// NewProxy starts a proxy that listens at an address.
func NewProxy(listen, target netip.AddrPort, crosses func(client netip.AddrPort) bool) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("launcher: proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener, crosses: crosses, conns: make(map[*net.TCPConn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.acceptAll()
	return p, nil
}

// Set changes the mode. Connections that a black hole has held are reset when
// it ends, as neither side can know what the other has received.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return
	}
	if mode == Refuse || p.mode == BlackHole {
		p.resetAll(func(crosses bool) bool { return crosses })
	}
	p.mode = mode
	p.changed.Broadcast()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll(func(bool) bool { return true })
	p.changed.Broadcast()
}

func (p *Proxy) resetAll(which func(crosses bool) bool) {
	for c, crosses := range p.conns {
		if which(crosses) {
			reset(c)
			delete(p.conns, c)
		}
	}
}

func reset(c *net.TCPConn) {
	// Without lingering, a close sends a reset.
	_ = c.SetLinger(0)
	c.Close()
}

func (p *Proxy) acceptAll() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(accepted.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	crosses := p.crosses(client.RemoteAddr().(*net.TCPAddr).AddrPort())
	if !p.add(client, crosses) {
		reset(client)
		return
	}
	defer p.remove(client)
	if !p.pass(client) {
		return
	}
	dialed, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.add(server, crosses) {
		reset(server)
		return
	}
	defer p.remove(server)
	ends := make(chan struct{}, 2)
	go p.copy(server, client, ends)
	go p.copy(client, server, ends)
	<-ends
}

func (p *Proxy) copy(to, from *net.TCPConn, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	block := make([]byte, 32<<10)
	for {
		n, err := from.Read(block)
		if err != nil || !p.pass(from) {
			return
		}
		if _, err := to.Write(block[:n]); err != nil && err != io.ErrShortWrite {
			return
		}
	}
}

// pass waits while the proxy is a black hole, and reports whether the
// connection is still open.
func (p *Proxy) pass(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == BlackHole && p.conns[c] && !p.closed {
		p.changed.Wait()
	}
	_, open := p.conns[c]
	return open
}

func (p *Proxy) add(c *net.TCPConn, crosses bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || crosses && p.mode == Refuse {
		return false
	}
	p.conns[c] = crosses
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	reset(c)
}
