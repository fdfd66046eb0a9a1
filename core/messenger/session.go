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
	// handshakeTimeout bounds how long an unauthenticated peer can hold a connection.
	handshakeTimeout = 3 * time.Second
	// The keep-alive period and writeTimeout together bound how long a connection
	// that has gone silent stays in use. The period grows with the number of open
	// sessions, so that a process of a large failure domain, with about 900
	// sessions, sends some 50 pings a second rather than 450.
	minKeepAlive        = 2 * time.Second
	keepAlivePerSession = 100 * time.Millisecond
	writeTimeout        = 2 * time.Second
	// ProtocolVersion is the version of the frames that this build writes.
	ProtocolVersion = 1
)

// openSessions counts the sessions of this process.
var openSessions atomic.Int64

// Session joins two processes and carries any number of streams.
type Session struct {
	mux  *yamux.Session
	peer *peerpb.Hello
}

// Peer returns how the other end has named itself.
func (s *Session) Peer() *peerpb.Hello { return s.peer }

// Open starts a stream to the peer.
func (s *Session) Open() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, &Error{Op: "open-stream", Kind: KindClosed, Err: err}
	}
	return newStream(conn), nil
}

// Accept waits for the peer to start a stream.
func (s *Session) Accept() (*Stream, error) {
	conn, err := s.mux.Accept()
	if err != nil {
		return nil, &Error{Op: "accept-stream", Kind: KindClosed, Err: err}
	}
	return newStream(conn), nil
}

// Closed returns a channel that is closed when the session ends.
func (s *Session) Closed() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and its streams.
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

// Accept turns an accepted connection into a session.
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

type muxFunc func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

func handshake(ctx context.Context, conn *tls.Conn, hello *peerpb.Hello, mux muxFunc) (*Session, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, &Error{Op: "handshake", Kind: KindUnauthenticated, Err: err}
	}
	peer, err := exchangeHello(ctx, conn, hello)
	if err != nil {
		conn.Close()
		return nil, err
	}
	session, err := mux(&joiner{Conn: conn}, muxConfig())
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
