package messenger_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

type fixedKeys [][]byte

func (k fixedKeys) SharedKeys() [][]byte { return k }

// serveEcho starts a server that echoes every frame of every stream.
func serveEcho(t *testing.T, keys messenger.KeySource) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echoFrames(conn, keys)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func echoFrames(conn net.Conn, keys messenger.KeySource) {
	session, err := messenger.Accept(context.Background(), conn, keys, &peerpb.Hello{Node: "server"})
	if err != nil {
		return
	}
	defer session.Close()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go func() {
			for {
				frame, err := stream.Receive()
				if err != nil || stream.Send(frame) != nil {
					return
				}
			}
		}()
	}
}

// Guards against frames that are lost, altered or reordered on a stream.
func TestFramesAreEchoedInOrder(t *testing.T) {
	keys := fixedKeys{[]byte("first key")}
	session, err := messenger.Dial(t.Context(), serveEcho(t, keys), keys, &peerpb.Hello{Node: "client"})
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	if diff := cmp.Diff(&peerpb.Hello{Node: "server"}, session.Peer(), protocmp.Transform()); diff != "" {
		t.Errorf("peer (-want +got):\n%s", diff)
	}
	stream, err := session.Open()
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(100) {
		if err := stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Probe{Probe: &peerpb.Probe{Sequence: i}}}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range uint64(100) {
		frame, err := stream.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if got := frame.GetProbe().GetSequence(); got != i {
			t.Fatalf("frame %d: got sequence %d", i, got)
		}
	}
}

// Guards against a session with a process that holds no shared key, and against
// a key rotation that rejects peers while the old and the new key are both in use.
func TestAuthentication(t *testing.T) {
	old, current := []byte("old key"), []byte("new key")
	tests := []struct {
		name           string
		server, client fixedKeys
		want           bool
	}{
		{"same key", fixedKeys{old}, fixedKeys{old}, true},
		{"rotation in progress", fixedKeys{old, current}, fixedKeys{current, old}, true},
		{"server without the client's key", fixedKeys{current}, fixedKeys{old}, false},
		{"client without the server's key", fixedKeys{old, current}, fixedKeys{current}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			session, err := messenger.Dial(t.Context(), serveEcho(t, test.server), test.client, &peerpb.Hello{})
			if (err == nil) != test.want {
				t.Fatalf("session opened: %v, want %v (error %v)", err == nil, test.want, err)
			}
			if err == nil {
				session.Close()
			}
		})
	}
}

// Guards against a dial that hangs on a peer that accepts the connection but never
// answers the handshake.
func TestDialTimesOutOnSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = messenger.Dial(ctx, netip.MustParseAddrPort(listener.Addr().String()), fixedKeys{[]byte("k")}, &peerpb.Hello{})
	var failure *messenger.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a messenger error", err)
	}
}
