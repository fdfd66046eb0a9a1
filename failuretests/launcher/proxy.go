package launcher

import (
	"fmt"
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
	// conns holds the open connections with their clients.
	conns map[*net.TCPConn]*client
}

// client is the process that opened a connection. Whether its connection can
// be cut is looked up late, because the lookup is slow.
type client struct {
	address        netip.AddrPort
	known, crosses bool
}

// NewProxy starts a proxy that listens at an address.
func NewProxy(listen, target netip.AddrPort, crosses func(client netip.AddrPort) bool) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("launcher: proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener, crosses: crosses, conns: make(map[*net.TCPConn]*client)}
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
	for _, from := range p.conns {
		p.classify(from)
	}
	if mode == Refuse || p.mode == BlackHole {
		p.resetAll(func(from *client) bool { return from.crosses })
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
	p.resetAll(func(*client) bool { return true })
	p.changed.Broadcast()
}

func (p *Proxy) classify(from *client) {
	if !from.known {
		from.crosses, from.known = p.crosses(from.address), true
	}
}

func (p *Proxy) resetAll(which func(*client) bool) {
	for c, from := range p.conns {
		if which(from) {
			reset(c)
			delete(p.conns, c)
		}
	}
}

func reset(c *net.TCPConn) {
	// Without lingering, a close sends a reset.
	_ = c.SetLinger(0)
	_ = c.Close()
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

func (p *Proxy) serve(accepted *net.TCPConn) {
	from := &client{address: accepted.RemoteAddr().(*net.TCPAddr).AddrPort()}
	if !p.add(accepted, from) {
		reset(accepted)
		return
	}
	defer p.remove(accepted)
	if !p.pass(accepted) {
		return
	}
	dialed, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.add(server, from) {
		reset(server)
		return
	}
	defer p.remove(server)
	ends := make(chan struct{}, 2)
	go p.copy(server, accepted, ends)
	go p.copy(accepted, server, ends)
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
		if _, err := to.Write(block[:n]); err != nil {
			return
		}
	}
}

// pass waits while the proxy is a black hole, and reports whether the
// connection is still open.
func (p *Proxy) pass(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == BlackHole && p.conns[c] != nil && p.conns[c].crosses && !p.closed {
		p.changed.Wait()
	}
	_, open := p.conns[c]
	return open
}

func (p *Proxy) add(c *net.TCPConn, from *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != Forward {
		p.classify(from)
	}
	if p.closed || from.crosses && p.mode == Refuse {
		return false
	}
	p.conns[c] = from
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	reset(c)
}
