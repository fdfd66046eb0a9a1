package main

import (
	"net"
	"sync"
	"time"
)

// proxy is the path from one machine to one back end. While it is cut, bytes of open
// connections are held, and new connections are accepted but lead nowhere, as a proxy cannot
// keep the kernel from accepting them.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newProxy(upstream string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	p := &proxy{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// begin begins the cut: nothing passes any more.
func (p *proxy) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
}

// end ends the cut. Connections from the cut are reset.
func (p *proxy) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		conn.Close()
	}()
	for p.isCut() {
		time.Sleep(10 * time.Millisecond)
	}
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		p.copy(conn, server)
		conn.Close()
	}()
	p.copy(server, conn)
}

// copy passes bytes on until either side closes or a cut begins; then the bytes are lost.
func (p *proxy) copy(dst, src net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		if p.isCut() {
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
