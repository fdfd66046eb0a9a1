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

// incarnations makes each node a new process.
var incarnations uint64

// bound is the time within which the nodes must agree; a change of the
// configuration has 7 s.
const bound = 7 * time.Second

const document = `{"service":"library","team":"sheets","sets":[{"name":"old","targets":[
	{"name":"t1","address":"127.0.0.1:9","failure-domain":"west","slots":2,"connections":24,"connect-time":"1ms"}]}],
	"answering":{"lead":"old","deadline":"100ms","minimum-coverage":0,"priority":"normal","hedge-budget":0.05}}`

// store is the platform's key-value service, shared by all nodes of a test.
type store struct {
	mu      sync.Mutex
	entry   keeper.Entry
	changed chan struct{}
	down    bool
	// readers counts the calls of each node.
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
		return keeper.Listing{}, nil, errors.New("the store is down")
	}
	return keeper.Listing{Revision: s.entry.Revision, Entries: []keeper.Entry{s.entry}}, s.changed, nil
}

// view is the store as one node calls it.
type view struct {
	*store
	node string
}

func (v view) List(context.Context, string) (keeper.Listing, error) {
	listing, _, err := v.read(v.node)
	return listing, err
}

func (v view) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (keeper.Listing, error) {
	listing, changed, err := v.read(v.node)
	if err != nil || listing.Revision > after {
		return listing, err
	}
	select {
	case <-changed:
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	listing, _, err = v.read(v.node)
	if listing.Revision == after {
		listing.Entries = nil
	}
	return listing, err
}

func (view) VMs(context.Context) ([]keeper.VM, error) { return nil, nil }

type key struct{}

func (key) SharedKeys() [][]byte { return [][]byte{[]byte("key")} }

// node is one relay's controller with what it hears of lost targets.
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

// start runs a controller that knows the address of one other node at most.
func start(t *testing.T, s *store, name string, seeds ...netip.AddrPort) *node {
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
	peers := messenger.NewPeers(key{}, hello)
	t.Cleanup(peers.Close)
	n.Controller = controller.New(controller.Config{
		Settings: settings, Incarnation: incarnations, Timers: timers, Store: view{s, name}, Peers: peers, Publisher: n.publisher,
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
	go acceptor.New(key{}, hello, serve, log).Run(ctx, listener)
	go n.Run(ctx)
	return n
}

// state is what a node has in force. Members that are gone are left out,
// because a new node does not hear of them.
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

// agree waits until all nodes have the wanted state.
func agree(t *testing.T, step, want string, nodes ...*node) {
	t.Helper()
	limit := time.Now().Add(bound)
	var got []string
	for time.Now().Before(limit) {
		got = nil
		for _, n := range nodes {
			got = append(got, n.state())
		}
		if !slices.ContainsFunc(got, func(s string) bool { return s != want }) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: not agreed after %v (-want +got):\n%s", step, bound, cmp.Diff(want, strings.Join(got, "\n")))
}

// Nodes that know one seed each must find each other, agree on members and
// configuration without all of them reading the store, and keep both while the
// store is down.
func TestNodesConverge(t *testing.T) {
	s := &store{changed: make(chan struct{}), readers: map[string]int{}}
	s.put(document)
	r1 := start(t, s, "r1")
	r2 := start(t, s, "r2", r1.addr)
	r3 := start(t, s, "r3", r2.addr)
	r4 := start(t, s, "r4", r2.addr)
	agree(t, "start", "r1, r2, r3, r4, library@1 deleted=false", r1, r2, r3, r4)

	// A watch that began before the nodes met may still end.
	time.Sleep(1500 * time.Millisecond)
	s.mu.Lock()
	clear(s.readers)
	s.mu.Unlock()
	s.put(strings.Replace(document, "sheets", "maps", 1))
	agree(t, "edit", "r1, r2, r3, r4, library@2 deleted=false", r1, r2, r3, r4)
	time.Sleep(1500 * time.Millisecond)
	s.mu.Lock()
	if len(s.readers) > 2 {
		t.Errorf("the store was read by %v, want at most two nodes", s.readers)
	}
	s.mu.Unlock()

	r3.Leave()
	s.put(`{"service":"library","deleted":true,"edit":"e1"}`)
	agree(t, "leave and deletion", "r1, r2, r4, library@3 deleted=true", r1, r2, r4)

	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	r5 := start(t, s, "r5", r4.addr)
	agree(t, "start in an outage", "r1, r2, r4, r5, library@3 deleted=true", r1, r2, r4, r5)

	r5.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_LostTarget{LostTarget: &peerpb.LostTarget{Target: "t1"}}})
	limit := time.Now().Add(bound)
	for _, n := range []*node{r1, r2, r4} {
		for heard := false; !heard; {
			n.mu.Lock()
			heard = slices.Contains(n.lost, "t1")
			n.mu.Unlock()
			if time.Now().After(limit) {
				t.Fatal("the news of a lost target did not reach every node")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// A VM that is replaced under its name before anybody has missed it was followed
// at its old address for ever, and its targets were known to no peer.
func TestReplacedNodeIsFollowedAtItsNewAddress(t *testing.T) {
	s := &store{changed: make(chan struct{}), readers: map[string]int{}}
	s.put(document)
	r1 := start(t, s, "r1")
	former := start(t, s, "r2", r1.addr)
	agree(t, "start", "r1, r2, library@1 deleted=false", r1, former)
	former.stop()
	r2 := start(t, s, "r2", r1.addr)
	agree(t, "replacement", "r1, r2, library@1 deleted=false", r1, r2)
	r2.publisher.PutTarget(&peerpb.TargetState{Service: "library", Set: "old", Target: "t1", Relay: "r2", Incarnation: incarnations, Sequence: 1})
	limit := time.Now().Add(bound)
	for len(r1.publisher.Targets()) == 0 {
		if time.Now().After(limit) {
			t.Fatalf("the target of the new process is not known after %v", bound)
		}
		time.Sleep(time.Millisecond)
	}
}
