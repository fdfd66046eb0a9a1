package launcher

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Mode determines how a proxy handles connections that cross the partition.
type Mode int

// Proxy modes.
const (
	// Forward passes bytes in both directions.
	Forward Mode = iota
	// Refuse resets open connections and each new one.
	Refuse
	// BlackHole keeps connections open without passing bytes, like a network
	// partition that drops packets.
	BlackHole
)

// Proxy forwards TCP connections to one address and can interrupt those between
// the partitioned failure domain and the rest.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	// crossesPartition reports whether the connection from client to server can be
	// interrupted.
	crossesPartition func(client, server netip.AddrPort) bool

	mu          sync.Mutex
	modeChanged *sync.Cond
	mode        Mode
	closed      bool
	// conns maps the open connections, on both sides, to their clients.
	conns map[*net.TCPConn]*client
}

// client is the process that opened a connection. It is classified only when
// the mode requires it, because finding the process is slow.
type client struct {
	// address and server are the two ends of its connection to the proxy.
	address, server              netip.AddrPort
	classified, crossesPartition bool
}

// NewProxy starts a proxy that listens on one address and forwards connections
// to target.
func NewProxy(listen, target netip.AddrPort, crossesPartition func(client, server netip.AddrPort) bool) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("launcher: proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener, crossesPartition: crossesPartition, conns: make(map[*net.TCPConn]*client)}
	p.modeChanged = sync.NewCond(&p.mu)
	go p.acceptConnections()
	return p, nil
}

// SetMode changes the mode. Connections that cross the partition are reset when
// BlackHole mode ends, because neither side can know what the other received.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return
	}
	for _, source := range p.conns {
		p.classify(source)
	}
	if mode == Refuse || p.mode == BlackHole {
		p.resetAll(func(source *client) bool { return source.crossesPartition })
	}
	p.mode = mode
	p.modeChanged.Broadcast()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll(func(*client) bool { return true })
	p.modeChanged.Broadcast()
}

func (p *Proxy) classify(source *client) {
	if !source.classified {
		source.crossesPartition, source.classified = p.crossesPartition(source.address, source.server), true
	}
}

func (p *Proxy) resetAll(match func(*client) bool) {
	for c, source := range p.conns {
		if match(source) {
			reset(c)
			delete(p.conns, c)
		}
	}
}

func reset(c *net.TCPConn) {
	// With a linger time of zero, Close sends RST.
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) acceptConnections() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(accepted.(*net.TCPConn))
	}
}

func (p *Proxy) serve(accepted *net.TCPConn) {
	source := &client{
		address: accepted.RemoteAddr().(*net.TCPAddr).AddrPort(),
		server:  accepted.LocalAddr().(*net.TCPAddr).AddrPort(),
	}
	if !p.add(accepted, source) {
		reset(accepted)
		return
	}
	defer p.remove(accepted)
	if !p.waitForwarding(accepted) {
		return
	}
	dialed, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.add(server, source) {
		reset(server)
		return
	}
	defer p.remove(server)
	copyDone := make(chan struct{}, 2)
	go p.copy(server, accepted, copyDone)
	go p.copy(accepted, server, copyDone)
	<-copyDone
}

func (p *Proxy) copy(to, from *net.TCPConn, copyDone chan<- struct{}) {
	defer func() { copyDone <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.waitForwarding(from) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitForwarding blocks while BlackHole mode applies to the connection, and
// reports whether the connection is still open.
func (p *Proxy) waitForwarding(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == BlackHole && p.conns[c] != nil && p.conns[c].crossesPartition && !p.closed {
		p.modeChanged.Wait()
	}
	_, open := p.conns[c]
	return open
}

func (p *Proxy) add(c *net.TCPConn, source *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != Forward {
		p.classify(source)
	}
	if p.closed || source.crossesPartition && p.mode == Refuse {
		return false
	}
	p.conns[c] = source
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	reset(c)
}
