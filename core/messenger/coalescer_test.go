package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// countingConn counts the writes to the underlying connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against separate writes of the yamux header and the frame, which cost
// two TLS records and two system calls for each flushed frame.
func TestFrameIsOneWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	shared := fixedKeys{[]byte("key")}
	hello := &peerpb.Hello{Node: "a"}
	accepted := make(chan *countingConn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		counted := &countingConn{Conn: conn}
		session, err := messenger.Accept(context.Background(), counted, shared, hello)
		if err != nil {
			return
		}
		accepted <- counted
		stream, err := session.Accept()
		if err != nil {
			return
		}
		for {
			frame, err := stream.Receive()
			if err != nil {
				return
			}
			_ = stream.Send(frame)
		}
	}()
	session, err := messenger.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), shared, hello)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		t.Fatal(err)
	}
	exchange := func() {
		frame := &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{QueryId: "q"}}}
		if err := stream.Send(frame); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Receive(); err != nil {
			t.Fatal(err)
		}
	}
	exchange()
	counted := <-accepted
	before := counted.writes.Load()
	const frames = 200
	for range frames {
		exchange()
	}
	// Allows for a yamux keep-alive during the exchange.
	if writes := counted.writes.Load() - before; writes > frames+2 {
		t.Errorf("%d frames took %d writes", frames, writes)
	}
}
