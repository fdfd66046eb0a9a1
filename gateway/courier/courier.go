// Package courier carries the frames of queries and executes to relays and
// hands their answers on.
package courier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	dialTimeout = time.Second
	// redialDelay spaces attempts to open a stream to a relay.
	redialDelay = 200 * time.Millisecond
)

// Sessions opens sessions to relays.
type Sessions interface {
	Session(ctx context.Context, addr netip.AddrPort) (*messenger.Session, error)
}

// Directory knows where relays accept sessions.
type Directory interface {
	RelayAddress(node string) (netip.AddrPort, bool)
}

// Receiver takes what relays answer.
type Receiver interface {
	Deliver(answer *peerpb.SubAnswer)
	DeliverExecute(answer *peerpb.ExecuteAnswer)
	// Lost is told when the stream to a relay has ended, so that its answers
	// will not come.
	Lost(relay string)
}

// Courier keeps one stream to each relay.
type Courier struct {
	sessions  Sessions
	directory Directory
	receiver  Receiver
	log       *zap.Logger

	mu      sync.Mutex
	streams map[string]*link
	closed  bool
}

type link struct {
	stream  *messenger.Stream
	dialing bool
	failed  time.Time
}

// New returns a courier without streams. SetReceiver must follow.
func New(sessions Sessions, directory Directory, log *zap.Logger) *Courier {
	return &Courier{sessions: sessions, directory: directory, log: log, streams: make(map[string]*link)}
}

// SetReceiver names the receiver of answers.
func (c *Courier) SetReceiver(receiver Receiver) { c.receiver = receiver }

// Send hands a batch to a relay. An error means that nothing was sent; a
// stream is then being opened for later batches.
func (c *Courier) Send(relay string, batch *peerpb.Batch) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Batch{Batch: batch}})
}

// Cancel asks a relay to give up a sub-request; a lost cancel only costs work.
func (c *Courier) Cancel(relay string, cancel *peerpb.Cancel) {
	_ = c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: cancel}})
}

// Execute hands a non-idempotent request to a relay. An error means that
// nothing was sent.
func (c *Courier) Execute(relay string, execute *peerpb.Execute) error {
	return c.send(relay, &peerpb.Frame{Kind: &peerpb.Frame_Execute{Execute: execute}})
}

// Warm opens the stream to a relay ahead of the first batch.
func (c *Courier) Warm(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link(relay)
}

// Close ends all streams.
func (c *Courier) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.streams {
		if l.stream != nil {
			l.stream.Close()
		}
	}
}

func (c *Courier) send(relay string, frame *peerpb.Frame) error {
	c.mu.Lock()
	stream := c.link(relay)
	c.mu.Unlock()
	if stream == nil {
		return &Error{Op: "send", Kind: KindUnreachable, Relay: relay}
	}
	if err := stream.Send(frame); err != nil {
		return &Error{Op: "send", Kind: KindFull, Relay: relay, Err: err}
	}
	return nil
}

// link returns the open stream to a relay, or starts to open one.
func (c *Courier) link(relay string) *messenger.Stream {
	l, ok := c.streams[relay]
	if !ok {
		l = &link{}
		c.streams[relay] = l
	}
	if l.stream != nil || l.dialing || c.closed || time.Since(l.failed) < redialDelay {
		return l.stream
	}
	l.dialing = true
	go c.open(relay, l)
	return nil
}

func (c *Courier) open(relay string, l *link) {
	stream, err := c.dial(relay)
	c.mu.Lock()
	defer c.mu.Unlock()
	l.dialing = false
	if err != nil {
		l.failed = time.Now()
		c.log.Warn("relay cannot be reached", zap.String("relay", relay), zap.Error(err))
		return
	}
	l.stream = stream
	go c.receive(relay, l, stream)
}

func (c *Courier) dial(relay string) (*messenger.Stream, error) {
	addr, ok := c.directory.RelayAddress(relay)
	if !ok {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Relay: relay}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	session, err := c.sessions.Session(ctx, addr)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Relay: relay, Err: err}
	}
	stream, err := session.Open()
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Relay: relay, Err: err}
	}
	return stream, nil
}

func (c *Courier) receive(relay string, l *link, stream *messenger.Stream) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			break
		}
		switch kind := frame.Kind.(type) {
		case *peerpb.Frame_SubAnswer:
			c.receiver.Deliver(kind.SubAnswer)
		case *peerpb.Frame_ExecuteAnswer:
			c.receiver.DeliverExecute(kind.ExecuteAnswer)
		}
	}
	stream.Close()
	c.mu.Lock()
	if l.stream == stream {
		l.stream = nil
	}
	c.mu.Unlock()
	c.receiver.Lost(relay)
}
