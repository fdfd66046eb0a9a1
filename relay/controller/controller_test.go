package controller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/controller"
	"jackdawcart.org/relay/publisher"
)

// incarnations is the last assigned incarnation; each started node gets its own.
var incarnations uint64

// convergenceTimeout is how long nodes may take to agree; a configuration change
// may take 7 s.
const convergenceTimeout = 7 * time.Second

const document = `{"service":"library","team":"sheets","sets":[{"name":"old","targets":[
	{"name":"t1","address":"127.0.0.1:9","failure-domain":"west","slots":2,"connections":24,"connect-time":"1ms"}]}],
	"answering":{"lead":"old","deadline":"100ms","minimum-coverage":0,"priority":"normal","hedge-budget":0.05}}`

// store is an in-memory key-value service shared by all nodes of a test.
type store struct {
	mu      sync.Mutex
	entry   keeper.Entry
	changed chan struct{}
	down    bool
	// readers counts the calls by node.
	readers map[string]int
}

func (s *store) put(value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = keeper.Entry{Key: "services/library", Value: []byte(value), Revision: s.entry.Revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.entry.Revision
}

func (s *store) read(node string) (keeper.Listing, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[node]++
	if s.down {
		return keeper.Listing{}, nil, errors.New("store is unavailable")
	}
	return keeper.Listing{Revision: s.entry.Revision, Entries: []keeper.Entry{s.entry}}, s.changed, nil
}

// nodeStore attributes the calls to the store to one node.
type nodeStore struct {
	*store
	node string
}

func (s nodeStore) List(context.Context, string) (keeper.Listing, error) {
	listing, _, err := s.read(s.node)
	return listing, err
}

func (s nodeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (keeper.Listing, error) {
	listing, changed, err := s.read(s.node)
	if err != nil || listing.Revision > after {
		return listing, err
	}
	select {
	case <-changed:
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	listing, _, err = s.read(s.node)
	if listing.Revision == after {
		listing.Entries = nil
	}
	return listing, err
}

func (nodeStore) VMs(context.Context) ([]keeper.VM, error) { return nil, nil }

type staticKey struct{}

func (staticKey) SharedKeys() [][]byte { return [][]byte{[]byte("key")} }

// node is a relay's controller that records the lost targets reported to it.
type node struct {
	*controller.Controller
	publisher *publisher.Publisher
	addr      netip.AddrPort
	stop      func()

	mu   sync.Mutex
	lost []string
}

func (n *node) HandleLost(lost *peerpb.LostTarget) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = append(n.lost, lost.Target)
}

func (n *node) HandleUpdate(*peerpb.QuarantineUpdate) {}

func (n *node) Entries() []*peerpb.QuarantineEntry { return nil }

// startNode runs a controller that knows only the given seed addresses.
func startNode(t *testing.T, s *store, name string, seeds ...netip.AddrPort) *node {
	t.Helper()
	incarnations++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n := &node{addr: netip.MustParseAddrPort(listener.Addr().String()), publisher: publisher.New(name), stop: cancel}
	settings := &loader.Settings{Node: name, FailureDomain: "east", SessionAddress: n.addr, Relays: seeds}
	hello := &peerpb.Hello{
		Node: name, Incarnation: incarnations, FailureDomain: "east", Role: peerpb.Role_ROLE_RELAY, SessionAddress: n.addr.String(),
	}
	timers, log := timer.NewService(), zap.NewNop()
	peers := messenger.NewPeers(staticKey{}, hello)
	t.Cleanup(peers.Close)
	n.Controller = controller.New(controller.Config{
		Settings: settings, Incarnation: incarnations, Timers: timers, Store: nodeStore{s, name}, Peers: peers, Publisher: n.publisher,
		Connector:  connector.New(name, 1, timers, dispatcher.New(timers, nil), n.publisher, tracer.Disabled(), log),
		Quarantine: n, Log: log,
	})
	serve := func(_ context.Context, peer *peerpb.Hello, stream *messenger.Stream) {
		first, err := stream.Receive()
		if err != nil {
			return
		}
		if wanted := first.GetSubscribe(); wanted != nil {
			n.publisher.Subscribe(stream, wanted)
			_, _ = stream.Receive() // Ends with the stream.
			return
		}
		n.Serve(peer, stream, first)
	}
	go acceptor.New(staticKey{}, hello, serve, log).Run(ctx, listener)
	go n.Run(ctx)
	return n
}

// state describes the alive members and the documents that a node knows. Members
// that are gone are omitted, because a new node never receives them.
func (n *node) state() string {
	v := n.View()
	var parts []string
	for _, m := range v.Members {
		if m.State == peerpb.MemberState_MEMBER_STATE_ALIVE {
			parts = append(parts, m.Node)
		}
	}
	slices.Sort(parts)
	for _, d := range v.Documents {
		parts = append(parts, fmt.Sprintf("%s@%d deleted=%t", d.Service, d.Revision, d.Deleted))
	}
	return strings.Join(parts, ", ")
}

// awaitState waits until all nodes have the wanted state.
func awaitState(t *testing.T, step, want string, nodes ...*node) {
	t.Helper()
	deadline := time.Now().Add(convergenceTimeout)
	var got []string
	for time.Now().Before(deadline) {
		got = nil
		for _, n := range nodes {
			got = append(got, n.state())
		}
		if !slices.ContainsFunc(got, func(s string) bool { return s != want }) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: nodes do not agree after %v (-want +got):\n%s", step, convergenceTimeout, cmp.Diff(want, strings.Join(got, "\n")))
}

// Nodes that know one seed each must discover each other and agree on members and
// configuration, with at most two of them reading the store. They must keep both
// during a store outage.
func TestNodesConverge(t *testing.T) {
	s := &store{changed: make(chan struct{}), readers: map[string]int{}}
	s.put(document)
	r1 := startNode(t, s, "r1")
	r2 := startNode(t, s, "r2", r1.addr)
	r3 := startNode(t, s, "r3", r2.addr)
	r4 := startNode(t, s, "r4", r2.addr)
	awaitState(t, "start", "r1, r2, r3, r4, library@1 deleted=false", r1, r2, r3, r4)

	// Watches that began before the nodes discovered each other may still end.
	time.Sleep(1500 * time.Millisecond)
	s.mu.Lock()
	clear(s.readers)
	s.mu.Unlock()
	s.put(strings.Replace(document, "sheets", "maps", 1))
	awaitState(t, "edit", "r1, r2, r3, r4, library@2 deleted=false", r1, r2, r3, r4)
	time.Sleep(1500 * time.Millisecond)
	s.mu.Lock()
	if len(s.readers) > 2 {
		t.Errorf("store was read by %v, want at most two nodes", s.readers)
	}
	s.mu.Unlock()

	r3.Leave()
	s.put(`{"service":"library","deleted":true,"edit":"e1"}`)
	awaitState(t, "leave and deletion", "r1, r2, r4, library@3 deleted=true", r1, r2, r4)

	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	r5 := startNode(t, s, "r5", r4.addr)
	awaitState(t, "start in an outage", "r1, r2, r4, r5, library@3 deleted=true", r1, r2, r4, r5)

	r5.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_LostTarget{LostTarget: &peerpb.LostTarget{Target: "t1"}}})
	deadline := time.Now().Add(convergenceTimeout)
	for _, n := range []*node{r1, r2, r4} {
		for received := false; !received; {
			n.mu.Lock()
			received = slices.Contains(n.lost, "t1")
			n.mu.Unlock()
			if time.Now().After(deadline) {
				t.Fatal("lost target was not reported to every node")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// A VM may be replaced under the same name before its failure is detected. Peers
// must subscribe at the new address, or they never receive the targets of the new
// process.
func TestSubscriptionMovesToReplacedNode(t *testing.T) {
	s := &store{changed: make(chan struct{}), readers: map[string]int{}}
	s.put(document)
	r1 := startNode(t, s, "r1")
	former := startNode(t, s, "r2", r1.addr)
	awaitState(t, "start", "r1, r2, library@1 deleted=false", r1, former)
	former.stop()
	r2 := startNode(t, s, "r2", r1.addr)
	awaitState(t, "replacement", "r1, r2, library@1 deleted=false", r1, r2)
	r2.publisher.PutTarget(&peerpb.TargetState{Service: "library", Set: "old", Target: "t1", Relay: "r2", Incarnation: incarnations, Sequence: 1})
	deadline := time.Now().Add(convergenceTimeout)
	for len(r1.publisher.Targets()) == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("target of the new process is not known after %v", convergenceTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}
