// Package acceptor accepts sessions from other processes and passes each of their
// streams to a handler.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// maxHandshakes limits the connections that are not yet authenticated.
const maxHandshakes = 256

// Handler serves one stream. The stream is closed when the handler returns.
type Handler func(ctx context.Context, peer *peerpb.Hello, stream *messenger.Stream)

// Acceptor listens for sessions.
type Acceptor struct {
	keys    messenger.KeySource
	hello   *peerpb.Hello
	handler Handler
	log     *zap.Logger

	handshakes chan struct{}
	goroutines sync.WaitGroup
}

// New returns an acceptor that passes streams to handler.
func New(keys messenger.KeySource, hello *peerpb.Hello, handler Handler, log *zap.Logger) *Acceptor {
	return &Acceptor{
		keys: keys, hello: hello, handler: handler, log: log,
		handshakes: make(chan struct{}, maxHandshakes),
	}
}

// Listen opens a TCP listener on addr.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindAddress, Err: err}
	}
	return listener, nil
}

// Run accepts sessions until the context ends, then waits for their handlers.
func (a *Acceptor) Run(ctx context.Context, listener net.Listener) {
	defer a.goroutines.Wait()
	Each(ctx, listener, a.log, func(conn net.Conn) {
		select {
		case a.handshakes <- struct{}{}:
			a.goroutines.Go(func() { a.serve(ctx, conn) })
		default:
			a.log.Warn("too many handshakes, connection refused", zap.Stringer("peer", conn.RemoteAddr()))
			conn.Close()
		}
	})
}

// Pauses after a failed accept. It fails again at once while the process has no free
// file descriptor.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Each calls handle for each connection of a listener until the context ends, and then
// closes the listener.
func Each(ctx context.Context, listener net.Listener, log *zap.Logger, handle func(net.Conn)) {
	// The second call closes the listener if the context ends during a pause.
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	defer listener.Close()
	pause := minAcceptPause
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			pause = minAcceptPause
			handle(conn)
			continue
		}
		log.Warn("accept failed", zap.Duration("pause", pause), zap.Error(err))
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxAcceptPause)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Acceptor) serve(ctx context.Context, conn net.Conn) {
	session, err := messenger.Accept(ctx, conn, a.keys, a.hello)
	<-a.handshakes
	if err != nil {
		a.log.Warn("session refused", zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
		return
	}
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	defer session.Close()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		a.goroutines.Go(func() {
			defer stream.Close()
			a.handler(ctx, session.Peer(), stream)
		})
	}
}
