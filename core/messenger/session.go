package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// handshakeTimeout bounds how long a connection may stay unauthenticated.
	handshakeTimeout = 3 * time.Second
	// The keep-alive interval and writeTimeout together bound how long a dead
	// connection stays in use. The interval grows with the number of open sessions:
	// a process in a large failure domain, with about 900 sessions, sends some 50
	// pings a second instead of 450.
	minKeepAlive        = 2 * time.Second
	keepAlivePerSession = 100 * time.Millisecond
	writeTimeout        = 2 * time.Second
	// ProtocolVersion is the version of the frame protocol that this build sends.
	ProtocolVersion = 1
)

// openSessions is the number of open sessions in this process.
var openSessions atomic.Int64

// Session is an authenticated connection between two processes that multiplexes
// any number of streams.
type Session struct {
	mux  *yamux.Session
	peer *peerpb.Hello
}

// Peer returns the hello message that the peer sent.
func (s *Session) Peer() *peerpb.Hello { return s.peer }

// Open opens a stream to the peer.
func (s *Session) Open() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, &Error{Op: "open-stream", Kind: KindClosed, Err: err}
	}
	return newStream(conn), nil
}

// Accept waits for the peer to open a stream.
func (s *Session) Accept() (*Stream, error) {
	conn, err := s.mux.Accept()
	if err != nil {
		return nil, &Error{Op: "accept-stream", Kind: KindClosed, Err: err}
	}
	return newStream(conn), nil
}

// Closed returns a channel that is closed when the session ends.
func (s *Session) Closed() <-chan struct{} { return s.mux.CloseChan() }

// Close closes the session and its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Dial opens a session to the process at addr.
func Dial(ctx context.Context, addr netip.AddrPort, keys KeySource, hello *peerpb.Hello) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config, err := tlsConfig(keys)
	if err != nil {
		return nil, err
	}
	config.ServerName = serverName
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
	}
	return handshake(ctx, tls.Client(conn, config), hello, yamux.Client)
}

// Accept performs the server side of the handshake on an accepted connection and
// returns the session. It closes the connection on failure.
func Accept(ctx context.Context, conn net.Conn, keys KeySource, hello *peerpb.Hello) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config, err := tlsConfig(keys)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return handshake(ctx, tls.Server(conn, config), hello, yamux.Server)
}

type newMuxFunc func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

func handshake(ctx context.Context, conn *tls.Conn, hello *peerpb.Hello, newMux newMuxFunc) (*Session, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, &Error{Op: "handshake", Kind: KindUnauthenticated, Err: err}
	}
	peer, err := exchangeHello(ctx, conn, hello)
	if err != nil {
		conn.Close()
		return nil, err
	}
	session, err := newMux(&frameCoalescer{Conn: conn}, muxConfig())
	if err != nil {
		conn.Close()
		return nil, &Error{Op: "open-session", Kind: KindClosed, Err: err}
	}
	openSessions.Add(1)
	go func() {
		<-session.CloseChan()
		openSessions.Add(-1)
	}()
	return &Session{mux: session, peer: peer}, nil
}

func exchangeHello(ctx context.Context, conn net.Conn, hello *peerpb.Hello) (*peerpb.Hello, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, &Error{Op: "exchange-hello", Kind: KindClosed, Err: err}
	}
	if err := writeFrame(conn, &peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: hello}}); err != nil {
		return nil, &Error{Op: "exchange-hello", Kind: KindClosed, Err: err}
	}
	frame, err := readFrame(byteReader{conn})
	if err != nil {
		return nil, err
	}
	peer := frame.GetHello()
	if peer == nil {
		return nil, &Error{Op: "exchange-hello", Kind: KindMalformed}
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, &Error{Op: "exchange-hello", Kind: KindClosed, Err: err}
	}
	return peer, nil
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = max(minKeepAlive, time.Duration(openSessions.Load())*keepAlivePerSession)
	config.ConnectionWriteTimeout = writeTimeout
	return config
}
