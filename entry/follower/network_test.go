package follower_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"jackdawcart.org/entry/informer"
)

// network connects VMs in virtual time.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeConn is a pipe whose other end has an address.
type pipeConn struct {
	net.Conn
	remote net.Addr
}

func (c pipeConn) RemoteAddr() net.Addr { return c.remote }

func (n *network) listen(address netip.AddrPort) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dial(from netip.AddrPort) informer.Dialer {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("refused")
		}
		near, far := net.Pipe()
		select {
		case l.conns <- pipeConn{far, net.TCPAddrFromAddrPort(from)}:
			return pipeConn{near, net.TCPAddrFromAddrPort(address)}, nil
		case <-l.closed:
			return nil, errors.New("refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
