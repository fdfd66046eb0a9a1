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
	// maxPendingFrames bounds the frames queued for a link that is being opened.
	maxPendingFrames = 64
)

// LinkHandler receives the frames and the loss of links.
type LinkHandler interface {
	// Received is called for each frame. Frames of one link arrive in order.
	Received(node string, frame *peerpb.Frame)
	// Lost is called once when an open link to a node ends.
	Lost(node string)
}

// Links maintains one stream to each node that this process sends frames to.
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
	// firstDialDone is true after the first attempt to open the link, whether it
	// succeeded or failed.
	firstDialDone bool
	lastFailure   time.Time
	pending       []*peerpb.Frame
}

// NewLinks returns links over the sessions of peers. SetHandler must be called
// before the first link is opened.
func NewLinks(peers *Peers) *Links {
	return &Links{peers: peers, links: make(map[string]*link)}
}

// SetHandler sets the handler of received frames and lost links.
func (l *Links) SetHandler(handler LinkHandler) { l.handler = handler }

// Send queues a frame on the open link to a node. An error means that the frame
// was not queued. Without an open link, Send starts to open one for later frames.
func (l *Links) Send(node string, addr netip.AddrPort, frame *peerpb.Frame) error {
	l.mu.Lock()
	stream := l.streamOrDial(node, addr)
	l.mu.Unlock()
	if stream == nil {
		return &Error{Op: "send", Kind: KindUnreachable}
	}
	return stream.Send(frame)
}

// SendBestEffort queues a frame, even while the link is still being opened. The
// frame may be lost without an error.
func (l *Links) SendBestEffort(node string, addr netip.AddrPort, frame *peerpb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamOrDial(node, addr)
	if stream != nil {
		// Delivery is best-effort: a full or closed stream drops the frame.
		_ = stream.Send(frame)
		return
	}
	if entry := l.links[node]; entry.dialing && len(entry.pending) < maxPendingFrames {
		entry.pending = append(entry.pending, frame)
	}
}

// Preconnect starts to open the link to a node before the first frame is sent.
func (l *Links) Preconnect(node string, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streamOrDial(node, addr)
}

// Ready reports whether at least one link is open and no first attempt to open
// a link is still in progress.
func (l *Links) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := false
	for _, entry := range l.links {
		if entry.dialing && !entry.firstDialDone {
			return false
		}
		open = open || entry.stream != nil
	}
	return open
}

// Remove closes the link and the session to a node that has left.
func (l *Links) Remove(node string) {
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
	l.peers.Remove(entry.addr)
}

// Close closes all links and prevents new ones.
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

// streamOrDial returns the open stream to a node. If there is none, it starts to
// open one in the background and returns nil. A node whose address has changed
// gets a new link.
func (l *Links) streamOrDial(node string, addr netip.AddrPort) *Stream {
	entry, ok := l.links[node]
	if !ok || entry.addr != addr {
		if ok && entry.stream != nil {
			entry.stream.Close()
		}
		entry = &link{addr: addr}
		l.links[node] = entry
	}
	if entry.stream != nil || entry.dialing || l.closed || time.Since(entry.lastFailure) < redialDelay {
		return entry.stream
	}
	entry.dialing = true
	go l.dial(node, entry)
	return nil
}

func (l *Links) dial(node string, entry *link) {
	stream, err := l.openStream(entry.addr)
	if err != nil {
		// Retries once, because the peer may still have been starting.
		time.Sleep(redialDelay)
		stream, err = l.openStream(entry.addr)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.dialing, entry.firstDialDone = false, true
	pending := entry.pending
	entry.pending = nil
	if err != nil {
		entry.lastFailure = time.Now()
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
	go l.receiveLoop(node, entry, stream)
}

func (l *Links) openStream(addr netip.AddrPort) (*Stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), linkDialTimeout)
	defer cancel()
	session, err := l.peers.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	return session.Open()
}

func (l *Links) receiveLoop(node string, entry *link, stream *Stream) {
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
