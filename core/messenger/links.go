package messenger

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	linkDialTimeout = time.Second
	// pendingFrames bounds what waits while a link is being opened.
	pendingFrames = 64
)

// LinkHandler takes what arrives on links.
type LinkHandler interface {
	// Received is called with each frame, in the order of its link.
	Received(node string, frame *peerpb.Frame)
	// Lost is called when the link to a node has ended.
	Lost(node string)
}

// Links keeps one stream to each node that is written to.
type Links struct {
	peers   *Peers
	handler LinkHandler

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

type link struct {
	addr    netip.AddrPort
	stream  *Stream
	dialing bool
	// tried says that the first attempt to open the link has ended.
	tried   bool
	failed  time.Time
	pending []*peerpb.Frame
}

// NewLinks returns links over the sessions of peers. SetHandler must follow.
func NewLinks(peers *Peers) *Links {
	return &Links{peers: peers, links: make(map[string]*link)}
}

// SetHandler names who takes what arrives.
func (l *Links) SetHandler(handler LinkHandler) { l.handler = handler }

// Send queues a frame on the open link to a node. An error means that nothing
// was sent; a link is then being opened for later frames.
func (l *Links) Send(node string, addr netip.AddrPort, frame *peerpb.Frame) error {
	l.mu.Lock()
	stream := l.open(node, addr)
	l.mu.Unlock()
	if stream == nil {
		return &Error{Op: "send", Kind: KindUnreachable}
	}
	return stream.Send(frame)
}

// Post queues a frame, also while the link is being opened. It may be lost.
func (l *Links) Post(node string, addr netip.AddrPort, frame *peerpb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.open(node, addr)
	if stream != nil {
		// A full or closed stream loses the frame, which callers allow for.
		_ = stream.Send(frame)
		return
	}
	if entry := l.links[node]; entry.dialing && len(entry.pending) < pendingFrames {
		entry.pending = append(entry.pending, frame)
	}
}

// Warm opens the link to a node ahead of the first frame.
func (l *Links) Warm(node string, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open(node, addr)
}

// Settled reports whether a link is open and none is being opened for the first
// time.
func (l *Links) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := false
	for _, entry := range l.links {
		if entry.dialing && !entry.tried {
			return false
		}
		open = open || entry.stream != nil
	}
	return open
}

// Drop closes the link to a node that has left.
func (l *Links) Drop(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.links[node]
	if !ok {
		return
	}
	delete(l.links, node)
	if entry.stream != nil {
		entry.stream.Close()
	}
	l.peers.Forget(entry.addr)
}

// Close ends all links.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, entry := range l.links {
		if entry.stream != nil {
			entry.stream.Close()
		}
	}
}

// open returns the stream to a node, or starts to open one. A node that has
// moved to another address gets a new link.
func (l *Links) open(node string, addr netip.AddrPort) *Stream {
	entry, ok := l.links[node]
	if !ok || entry.addr != addr {
		if ok && entry.stream != nil {
			entry.stream.Close()
		}
		entry = &link{addr: addr}
		l.links[node] = entry
	}
	if entry.stream != nil || entry.dialing || l.closed || time.Since(entry.failed) < redialDelay {
		return entry.stream
	}
	entry.dialing = true
	go l.dial(node, entry)
	return nil
}

func (l *Links) dial(node string, entry *link) {
	stream, err := l.stream(entry.addr)
	if err != nil {
		// A peer that was starting may be up now.
		time.Sleep(redialDelay)
		stream, err = l.stream(entry.addr)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.dialing, entry.tried = false, true
	pending := entry.pending
	entry.pending = nil
	if err != nil {
		entry.failed = time.Now()
		return
	}
	if l.closed || l.links[node] != entry {
		stream.Close()
		return
	}
	entry.stream = stream
	for _, frame := range pending {
		_ = stream.Send(frame)
	}
	go l.receive(node, entry, stream)
}

func (l *Links) stream(addr netip.AddrPort) (*Stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), linkDialTimeout)
	defer cancel()
	session, err := l.peers.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	return session.Open()
}

func (l *Links) receive(node string, entry *link, stream *Stream) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			break
		}
		l.handler.Received(node, frame)
	}
	stream.Close()
	l.mu.Lock()
	if entry.stream == stream {
		entry.stream = nil
	}
	l.mu.Unlock()
	l.handler.Lost(node)
}
