package subscriber_test

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
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/gateway/subscriber"
)

const (
	alive   = peerpb.MemberState_MEMBER_STATE_ALIVE
	suspect = peerpb.MemberState_MEMBER_STATE_SUSPECT
	dead    = peerpb.MemberState_MEMBER_STATE_DEAD
	left    = peerpb.MemberState_MEMBER_STATE_LEFT
)

const library = `{"service":"library","team":"sheets","sets":[{"name":"old","targets":[
	{"name":"t1","address":"127.0.0.1:9001","failure-domain":"east","slots":2,"connections":24,"connect-time":"1ms"}]}],
	"answering":{"lead":"old","deadline":"100ms","minimum-coverage":0,"priority":"normal","hedge-budget":0.05}}`

type key struct{}

func (key) SharedKeys() [][]byte { return [][]byte{[]byte("key")} }

// relay is a fake relay that passes the stream of a subscription to the test.
type relay struct {
	addr   netip.AddrPort
	stream chan *messenger.Stream
}

func startRelay(t *testing.T, node string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{netip.MustParseAddrPort(listener.Addr().String()), make(chan *messenger.Stream, 1)}
	hello := &peerpb.Hello{Node: node, FailureDomain: "east", Role: peerpb.Role_ROLE_RELAY}
	serve := func(ctx context.Context, _ *peerpb.Hello, stream *messenger.Stream) {
		r.stream <- stream
		<-ctx.Done()
	}
	go acceptor.New(key{}, hello, serve, zap.NewNop()).Run(t.Context(), listener)
	return r
}

// fixture is a subscriber with a subscription to one relay, r1.
type fixture struct {
	*subscriber.Subscriber
	t            *testing.T
	relay        *relay
	table        *planner.Table
	stream       *messenger.Stream
	dialRecorder *dialRecorder
	lastMarker   uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := startRelay(t, "r1")
	settings := &loader.Settings{Node: "vm1", FailureDomain: "east", Relays: []netip.AddrPort{r.addr}}
	peers := messenger.NewPeers(key{}, &peerpb.Hello{Node: "vm1", Role: peerpb.Role_ROLE_GATEWAY})
	t.Cleanup(peers.Close)
	f := &fixture{t: t, relay: r, table: planner.NewTable(), dialRecorder: &dialRecorder{next: peers}}
	f.Subscriber = subscriber.New(settings, f.dialRecorder, f.table, timer.NewService(), zap.NewNop())
	go f.Run(t.Context())
	f.stream = <-r.stream
	return f
}

// send sends a frame, followed by a configuration update with a new revision as a
// marker, and waits until the subscriber has applied both.
func (f *fixture) send(frame *peerpb.Frame) {
	f.t.Helper()
	f.lastMarker++
	marker := &peerpb.Frame{Kind: &peerpb.Frame_ConfigUpdate{ConfigUpdate: &peerpb.ConfigUpdate{StoreRevision: f.lastMarker}}}
	if err := errors.Join(f.stream.Send(frame), f.stream.Send(marker)); err != nil {
		f.t.Fatal(err)
	}
	limit := time.Now().Add(3 * time.Second)
	for time.Now().Before(limit) {
		if revision, _ := f.Configuration(); revision >= f.lastMarker {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("the subscriber did not apply a frame within 3s")
}

func (f *fixture) sendMembers(members ...*peerpb.Member) {
	f.send(&peerpb.Frame{Kind: &peerpb.Frame_MembersUpdate{MembersUpdate: &peerpb.MembersUpdate{Members: members}}})
}

func (f *fixture) sendDocument(revision uint64, deleted bool) {
	d := &peerpb.Document{Service: "library", Revision: revision, Deleted: deleted}
	if !deleted {
		d.Body = []byte(library)
	}
	f.send(&peerpb.Frame{Kind: &peerpb.Frame_ConfigUpdate{ConfigUpdate: &peerpb.ConfigUpdate{Documents: []*peerpb.Document{d}}}})
}

func (f *fixture) sendReport(relay string, incarnation, sequence uint64) {
	f.send(&peerpb.Frame{Kind: &peerpb.Frame_TargetUpdate{TargetUpdate: &peerpb.TargetUpdate{Targets: []*peerpb.TargetState{{
		Service: "library", Set: "old", Target: "t1", Relay: relay, Incarnation: incarnation, Sequence: sequence,
		Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING,
	}}}}})
}

func (f *fixture) owners() []string {
	var owners []string
	for _, r := range f.table.Replicas("library", "old") {
		owners = append(owners, r.Owners...)
	}
	return owners
}

func member(node string, incarnation uint64, state peerpb.MemberState) *peerpb.Member {
	return &peerpb.Member{
		Node: node, FailureDomain: "east", RelayAddress: "127.0.0.1:1", Incarnation: incarnation, State: state,
		GatewayAddress: "127.0.0.1:2", GatewayIncarnation: incarnation,
	}
}

// Relays publish the records of a member in different orders. A gateway that
// accepts an older record sends requests to a dead node, or none to a live one.
func TestMemberRecordsOverride(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		incarnation uint64
		state       peerpb.MemberState
		want        string
	}{
		{5, alive, "5 ALIVE"},
		{5, suspect, "5 SUSPECT"},
		{5, alive, "5 SUSPECT"},
		{6, alive, "6 ALIVE"},
		{5, dead, "6 ALIVE"},
		{6, dead, "6 DEAD"},
		{6, suspect, "6 DEAD"},
		{6, left, "6 LEFT"},
		{6, dead, "6 LEFT"},
		{7, alive, "7 ALIVE"},
	}
	for _, test := range tests {
		f.sendMembers(member("r9", test.incarnation, test.state))
		for _, m := range f.Members() {
			got := fmt.Sprint(m.Incarnation, " ", strings.TrimPrefix(m.State.String(), "MEMBER_STATE_"))
			if m.Node == "r9" && got != test.want {
				t.Errorf("after %d %v the record is %s, want %s", test.incarnation, test.state, got, test.want)
			}
		}
		if listed := len(f.Gateways()) == 1; listed != strings.HasSuffix(test.want, "ALIVE") {
			t.Errorf("%s: its gateway is listed as live: %t", test.want, listed)
		}
	}
}

// A relay that dies or leaves must not remain an owner, even if another relay has
// not detected this yet and publishes its last reports again.
func TestReportsOfDeadRelaysAreDropped(t *testing.T) {
	for _, gone := range []peerpb.MemberState{dead, left} {
		f := newFixture(t)
		f.sendDocument(1, false)
		f.sendMembers(member("r8", 5, alive), member("r9", 5, alive))
		f.sendReport("r8", 5, 1)
		f.sendReport("r9", 5, 1)
		steps := []struct {
			name string
			do   func()
			want []string
		}{
			{"both live", func() {}, []string{"r8", "r9"}},
			{"r9 is gone", func() { f.sendMembers(member("r9", 5, gone)) }, []string{"r8"}},
			{"late report of r9", func() { f.sendReport("r9", 5, 2) }, []string{"r8"}},
			{"r9 is back", func() { f.sendMembers(member("r9", 6, alive)) }, []string{"r8"}},
			{"new report of r9", func() { f.sendReport("r9", 6, 1) }, []string{"r8", "r9"}},
		}
		for _, step := range steps {
			step.do()
			if diff := cmp.Diff(step.want, f.owners()); diff != "" {
				t.Errorf("%v, %s: owners (-want +got):\n%s", gone, step.name, diff)
			}
		}
	}
}

// A tombstone must not be replaced by an older revision of the document from
// another relay.
func TestTombstoneIsNotReverted(t *testing.T) {
	f := newFixture(t)
	for _, step := range []struct {
		revision      uint64
		deleted, want bool
	}{{3, false, true}, {5, true, false}, {4, false, false}, {6, false, true}, {5, true, true}} {
		f.sendDocument(step.revision, step.deleted)
		if _, got := f.table.Service("library"); got != step.want {
			t.Errorf("after revision %d the service is in force: %t", step.revision, got)
		}
	}
}

// A quarantine entry must end when it expires, and at once when it is cleared.
func TestQuarantineEntriesExpire(t *testing.T) {
	f := newFixture(t)
	entries := func(remaining map[uint64]time.Duration) {
		update := &peerpb.QuarantineUpdate{}
		for fingerprint, d := range remaining {
			update.Entries = append(update.Entries, &peerpb.QuarantineEntry{Fingerprint: fingerprint, Remaining: durationpb.New(d)})
		}
		f.send(&peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{QuarantineUpdate: update}})
	}
	refused := func() []bool { return []bool{f.Quarantined(1), f.Quarantined(2), f.Quarantined(3)} }
	entries(map[uint64]time.Duration{1: 300 * time.Millisecond, 2: time.Minute})
	if diff := cmp.Diff([]bool{true, true, false}, refused()); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
	time.Sleep(310 * time.Millisecond)
	if diff := cmp.Diff([]bool{false, true, false}, refused()); diff != "" {
		t.Errorf("after the first has expired (-want +got):\n%s", diff)
	}
	entries(map[uint64]time.Duration{2: 0})
	if diff := cmp.Diff([]bool{false, false, false}, refused()); diff != "" {
		t.Errorf("after the second was cleared (-want +got):\n%s", diff)
	}
}

// dialRecorder records the addresses of the relays to which a subscriber connects.
type dialRecorder struct {
	next  subscriber.Sessions
	mu    sync.Mutex
	addrs []string
}

func (d *dialRecorder) Session(ctx context.Context, addr netip.AddrPort) (*messenger.Session, error) {
	d.mu.Lock()
	if !slices.Contains(d.addrs, addr.String()) {
		d.addrs = append(d.addrs, addr.String())
	}
	d.mu.Unlock()
	if d.next == nil {
		return nil, errors.New("no relay answers")
	}
	return d.next.Session(ctx, addr)
}

func (d *dialRecorder) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(slices.Values(d.addrs))
}

// A gateway must subscribe to two relays of each failure domain, or the loss of
// one stops its updates. More would multiply the control traffic.
func TestTwoSeedsOfEachDomainAreSubscribed(t *testing.T) {
	seeds := func(first int) (addrs []netip.AddrPort) {
		for i := range 3 {
			addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(first + i)}), 1))
		}
		return addrs
	}
	d := &dialRecorder{}
	s := subscriber.New(&loader.Settings{
		Node: "vm1", FailureDomain: "east", Relays: seeds(1),
		Neighbours: []loader.Neighbour{{FailureDomain: "west", Relays: seeds(5)}},
	}, d, planner.NewTable(), timer.NewService(), zap.NewNop())
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	s.Run(ctx)
	want := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.5:1", "10.0.0.6:1"}
	if diff := cmp.Diff(want, d.list()); diff != "" {
		t.Errorf("relays dialed (-want +got):\n%s", diff)
	}
}

// A gateway must subscribe to the live relay on its own VM, because that relay
// registers it with the others. A dead relay must not be chosen.
func TestOwnRelayIsSubscribed(t *testing.T) {
	for _, state := range []peerpb.MemberState{alive, dead} {
		f := newFixture(t)
		at := func(node, addr string, state peerpb.MemberState) *peerpb.Member {
			m := member(node, 5, state)
			m.RelayAddress = addr
			return m
		}
		own := "127.0.0.2:1"
		f.sendMembers(at("vm1", own, state), at("r2", "127.0.0.3:1", alive), at("r3", "127.0.0.4:1", alive))
		time.Sleep(1200 * time.Millisecond) // Relays are chosen each second.
		got := f.dialRecorder.list()
		if slices.Contains(got, own) != (state == alive) {
			t.Errorf("relay on the own VM is %v: dialed %v", state, got)
		}
		if len(got) > 3 { // The seed and the two chosen relays.
			t.Errorf("dialed %v, want at most 3 relays", got)
		}
	}
}

// A relay that was dead and is connected again must not lose its incarnation: a record
// from before its death replaced the new one, and the gateway went back to the address
// that the relay had then.
func TestReconnectedRelayKeepsItsIncarnation(t *testing.T) {
	f := newFixture(t)
	f.sendMembers(member("r1", 5, dead))
	f.stream.Close()
	f.stream = <-f.relay.stream
	f.sendMembers(member("r1", 4, alive))
	for _, m := range f.Members() {
		if diff := cmp.Diff(uint64(5), m.Incarnation); m.Node == "r1" && diff != "" {
			t.Errorf("incarnation after an older record (-want +got):\n%s", diff)
		}
	}
	if got, ok := f.RelayAddress("r1"); !ok || got != f.relay.addr {
		t.Errorf("address %v, want that of the connected relay, %v", got, f.relay.addr)
	}
}
