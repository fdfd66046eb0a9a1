package messenger_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// eventRecorder is a LinkHandler that records its calls as text.
type eventRecorder chan string

func (e eventRecorder) Received(node string, frame *peerpb.Frame) {
	e <- fmt.Sprint(node, " ", frame.GetProbe().GetSequence())
}

func (e eventRecorder) Lost(node string) { e <- node + " lost" }

func (e eventRecorder) next(t *testing.T) string {
	t.Helper()
	select {
	case event := <-e:
		return event
	case <-time.After(5 * time.Second):
		t.Fatal("no event within 5s")
		return ""
	}
}

// serveUntilClosed starts a server that echoes frames until closeAll closes its
// listener and connections.
func serveUntilClosed(t *testing.T, keys messenger.KeySource) (addr netip.AddrPort, closeAll func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(conns)
				return
			}
			conns <- conn
			go echoFrames(conn, keys)
		}
	}()
	closeAll = func() {
		listener.Close()
		for conn := range conns {
			conn.Close()
		}
	}
	return netip.MustParseAddrPort(listener.Addr().String()), closeAll
}

func probe(sequence uint64) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_Probe{Probe: &peerpb.Probe{Sequence: sequence}}}
}

// Guards against three failures: a frame that is delivered although Send returned
// an error, so that the gateway also sends the request to another relay; a link
// whose loss is not reported exactly once, so that its requests wait until their
// deadline; and a best-effort frame that is dropped while the link is being opened.
func TestLinks(t *testing.T) {
	keys := fixedKeys{[]byte("k")}
	peers := messenger.NewPeers(keys, &peerpb.Hello{Node: "client"})
	defer peers.Close()
	links, got := messenger.NewLinks(peers), make(eventRecorder, 16)
	links.SetHandler(got)
	defer links.Close()
	first, closeFirst := serveUntilClosed(t, keys)
	second, closeSecond := serveUntilClosed(t, keys)
	defer closeSecond()

	if links.Send("r1", first, probe(1)) == nil {
		t.Error("a frame was accepted before the link was open")
	}
	links.SendBestEffort("r1", first, probe(2))
	var seen []string
	seen = append(seen, got.next(t))
	if err := links.Send("r1", first, probe(3)); err != nil || !links.Ready() {
		t.Errorf("send on an open link: %v; ready %t", err, links.Ready())
	}
	seen = append(seen, got.next(t))
	closeFirst()
	seen = append(seen, got.next(t))
	if links.Send("r1", first, probe(4)) == nil {
		t.Error("a frame was accepted on a lost link")
	}
	// The node restarts at another address.
	links.SendBestEffort("r1", second, probe(5))
	seen = append(seen, got.next(t))
	if diff := cmp.Diff([]string{"r1 2", "r1 3", "r1 lost", "r1 5"}, seen); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if len(got) != 0 {
		t.Errorf("further event %q", <-got)
	}
}

// Guards against a dial to an unresponsive peer that blocks sessions to other
// peers: one hung relay would stop the whole gateway.
func TestSilentPeerDoesNotBlockOthers(t *testing.T) {
	keys := fixedKeys{[]byte("k")}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	peers := messenger.NewPeers(keys, &peerpb.Hello{Node: "client"})
	defer peers.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = peers.Session(ctx, netip.MustParseAddrPort(silent.Addr().String())) }()
	time.Sleep(50 * time.Millisecond)
	within, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	if _, err := peers.Session(within, serveEcho(t, keys)); err != nil {
		t.Errorf("session to another peer: %v", err)
	}
}
