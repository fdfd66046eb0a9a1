package messenger

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// redialDelay is the minimum time between a failed dial and the next attempt to
// reach the same peer.
const redialDelay = 250 * time.Millisecond

// Peers is a pool with one session for each peer, opened on first use.
type Peers struct {
	keys  KeySource
	hello *peerpb.Hello

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peerEntry
	closed bool
}

type peerEntry struct {
	mu          sync.Mutex
	session     *Session
	lastFailure time.Time
}

// NewPeers returns an empty pool. The hello message identifies this process to
// its peers.
func NewPeers(keys KeySource, hello *peerpb.Hello) *Peers {
	return &Peers{keys: keys, hello: hello, peers: make(map[netip.AddrPort]*peerEntry)}
}

// Session returns the open session to addr, dialing the peer if there is none.
func (p *Peers) Session(ctx context.Context, addr netip.AddrPort) (*Session, error) {
	entry, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.session != nil && !entry.session.mux.IsClosed() {
		return entry.session, nil
	}
	if time.Since(entry.lastFailure) < redialDelay {
		return nil, &Error{Op: "dial", Kind: KindUnreachable}
	}
	session, err := Dial(ctx, addr, p.keys, p.hello)
	if err != nil {
		entry.lastFailure = time.Now()
		return nil, err
	}
	entry.session = session
	return session, nil
}

func (p *Peers) entry(addr netip.AddrPort) (*peerEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Error{Op: "dial", Kind: KindClosed}
	}
	entry, ok := p.peers[addr]
	if !ok {
		entry = &peerEntry{}
		p.peers[addr] = entry
	}
	return entry, nil
}

// Remove closes the session to a peer that has left and removes it from the pool.
func (p *Peers) Remove(addr netip.AddrPort) {
	p.mu.Lock()
	entry := p.peers[addr]
	delete(p.peers, addr)
	p.mu.Unlock()
	if entry != nil {
		entry.close()
	}
}

// Close closes all sessions and prevents new ones.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.peers {
		go entry.close()
	}
	clear(p.peers)
}

func (e *peerEntry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil {
		e.session.Close()
	}
}
