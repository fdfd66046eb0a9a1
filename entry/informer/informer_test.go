package informer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/platform/storer"
)

// tracker returns the evidence added since the last call, and records the evidence
// that it receives.
type tracker struct {
	mu       sync.Mutex
	own      []placer.Evidence
	received []placer.Evidence
}

func (t *tracker) TakeEvidence() []placer.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.own
	t.own = nil
	return own
}

func (t *tracker) MergeEvidence(_ time.Time, evidence []placer.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, evidence...)
}

func (t *tracker) add(e placer.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = append(t.own, e)
}

func (t *tracker) all() []placer.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]placer.Evidence(nil), t.received...)
}

// reports returns fixed reports, and records those that it receives.
type reports struct {
	mu       sync.Mutex
	own      []quarantiner.Report
	received []quarantiner.Report
}

func (r *reports) Unpublished() []quarantiner.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

func (r *reports) MergeReports(_ time.Time, received []quarantiner.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(received) > 0 {
		r.received = received
	}
}

func (r *reports) last() []quarantiner.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// vm is the part of an entry VM that exchanges changes and evidence.
type vm struct {
	reports *reports
	eras    *eras
	member  registrar.Member
	link    *supervisor.Link
	tracker *tracker
	shares  *sharer.Group
	server  *informer.Server
	client  *informer.Client
	stop    context.CancelFunc
}

func newVM(t *testing.T, name string) *vm {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	timers := timer.NewService()
	v := &vm{
		member:  registrar.Member{Name: name, Domain: "a", Address: netip.MustParseAddrPort(listener.Addr().String())},
		link:    supervisor.NewLink(timers.Now(), time.Second),
		tracker: &tracker{},
		shares:  sharer.NewGroup(sharer.DefaultConfig()),
		reports: &reports{},
		eras:    &eras{},
	}
	config := informer.DefaultConfig()
	v.server = informer.NewServer(config, v.link, v.eras, v.tracker, v.shares, v.reports, timers, zap.NewNop())
	v.client = informer.NewClient(config, v.member, dial, v.eras, v.tracker, v.shares, v.reports, timers, func(string) {}, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	var tasks sync.WaitGroup
	tasks.Go(func() { v.server.Serve(ctx, listener) })
	tasks.Go(func() { v.server.Exchange(ctx) })
	t.Cleanup(func() {
		stop()
		tasks.Wait()
		v.client.Close()
		timers.Close()
	})
	return v
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// newDomain returns the VMs of a failure domain in the order in which they are
// polled.
func newDomain(t *testing.T, names ...string) []*vm {
	t.Helper()
	var vms []*vm
	var members []registrar.Member
	for _, name := range names {
		v := newVM(t, name)
		vms = append(vms, v)
		members = append(members, v.member)
	}
	ordered := make([]*vm, len(vms))
	for _, v := range vms {
		v.client.SetMembers(members)
		ordered[len(informer.Upstreams(v.member, members))] = v
	}
	return ordered
}

// at returns a position in the first era.
func at(revision uint64) sequencer.Position { return sequencer.Position{Revision: revision} }

// eras is the highest known era of a VM.
type eras struct{ atomic.Uint64 }

func (e *eras) Era() uint64 { return e.Load() }

func (e *eras) ObserveEra(era uint64) { e.Store(max(era, e.Load())) }

func item(key string, revision uint64) storer.Item {
	return storer.Item{Key: key, Value: []byte("value"), Revision: revision}
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A poll must return exactly the changes after the given revision as soon as there
// are any, and otherwise an empty answer that is no older than the store's.
func TestChangesAreDelivered(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	reader.server.PublishSnapshot(at(10))
	listing, ok := poller.client.Watch(t.Context(), at(10))
	check(t, "answered", ok, true)
	check(t, "without a change", listing, storer.Listing{Items: []storer.Item{}, Position: at(10)})

	reader.server.PublishChanges(at(10), storer.Listing{Items: []storer.Item{item("a", 11), item("b", 12)}, Position: at(12)})
	listing, _ = poller.client.Watch(t.Context(), at(11))
	check(t, "one change", listing, storer.Listing{Items: []storer.Item{item("b", 12)}, Position: at(12)})

	go func() {
		time.Sleep(50 * time.Millisecond)
		reader.server.PublishChanges(at(12), storer.Listing{Items: []storer.Item{item("c", 13)}, Position: at(13)})
	}()
	start := time.Now()
	listing, _ = poller.client.Watch(t.Context(), at(12))
	check(t, "change while waiting", listing, storer.Listing{Items: []storer.Item{item("c", 13)}, Position: at(13)})
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("change arrived after %v", took)
	}
	if !reader.server.HasClients() {
		t.Error("reader reports no clients")
	}
}

// A VM that may have missed changes must not answer: it has lost the store, has had
// no answer of it for a while, polls another VM itself, or has dropped the
// requested changes. The polling VM then reads from the store itself.
func TestStaleVMDoesNotAnswer(t *testing.T) {
	for name, breakVM := range map[string]func(*vm){
		"store lost":       func(v *vm) { v.link.Failed() },
		"polls another VM": func(v *vm) { v.server.StopPublishing() },
		"history dropped":  func(v *vm) { v.server.PublishSnapshot(at(11)) },
		"process ended":    func(v *vm) { v.stop() },
		"store silent":     func(*vm) { time.Sleep(informer.DefaultConfig().MaxStoreAge + 100*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := newDomain(t, "vm-1", "vm-2")
			vms[0].server.PublishSnapshot(at(10))
			breakVM(vms[0])
			if listing, ok := vms[1].client.Watch(t.Context(), at(10)); ok {
				t.Errorf("unexpected answer %v", listing)
			}
		})
	}
}

// When the reading VM is lost, the next VM in order reads from the store, and the
// others poll that VM.
func TestNextVMTakesOver(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	vms[0].server.PublishSnapshot(at(10))
	if _, ok := vms[2].client.Watch(t.Context(), at(10)); !ok {
		t.Fatal("no answer from the first VM")
	}
	vms[0].stop()
	if _, ok := vms[1].client.Watch(t.Context(), at(10)); ok {
		t.Fatal("got an answer although no VM reads")
	}
	vms[1].server.PublishSnapshot(at(10))
	if _, ok := vms[2].client.Watch(t.Context(), at(10)); !ok {
		t.Fatal("no answer from the second VM")
	}
}

// A VM that hangs must not delay others beyond the answer timeout, and must not be
// polled again at once.
func TestHangingVMIsSkipped(t *testing.T) {
	poller := newVM(t, "vm-1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	// Choose a name that ranks before the polling VM.
	hanging := registrar.Member{Domain: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
	for _, hanging.Name = range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"} {
		if len(informer.Upstreams(poller.member, []registrar.Member{hanging})) == 1 {
			break
		}
	}
	poller.client.SetMembers([]registrar.Member{hanging})
	start := time.Now()
	if _, ok := poller.client.Watch(t.Context(), at(10)); ok {
		t.Fatal("got an answer from a hanging VM")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("poll ended after %v", took)
	}
	start = time.Now()
	if _, ok := poller.client.Watch(t.Context(), at(10)); ok || time.Since(start) > 100*time.Millisecond {
		t.Errorf("second poll took %v, want it to skip the VM", time.Since(start))
	}
}

// Each VM alone sees too few requests to tell which workspace bursts: their loads must reach
// the other VMs of the domain.
func TestLoadsReachOtherVMs(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	vms[0].link.Succeeded(time.Now())
	vms[0].server.PublishSnapshot(at(1))
	class := sharer.Class{Rank: 2, Workspace: "w"}
	poll := func(v *vm) { v.client.Watch(t.Context(), at(1)) }
	poll(vms[1])
	poll(vms[2])
	for range 100 {
		vms[1].shares.Ended(time.Now(), "index", class, false)
	}
	for _, v := range []*vm{vms[1], vms[2], vms[2]} {
		poll(v)
	}
	time.Sleep(2 * informer.DefaultConfig().Wait)
	for i, v := range vms {
		if _, admitted := v.shares.Admit(time.Now(), "index", class, 0.5); admitted {
			t.Errorf("VM %d admits half of the requests to an index at which all fail", i)
		}
	}
}

// Evidence of one VM must reach the other VMs of its domain once, and must not
// return to its sender, which would count it twice.
func TestEvidenceReachesOtherVMs(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	vms[0].server.PublishSnapshot(at(10))
	for _, v := range vms[1:] {
		v.client.Watch(t.Context(), at(10))
	}
	slow := placer.Evidence{Service: "shard", Target: "i-1", Answered: 2, Failed: 1, Latency: 8, LimitObserved: true, Limit: pacer.Limit{Named: true, PerSecond: 2.5}}
	vms[1].tracker.add(slow)
	own := placer.Evidence{Service: "shard", Target: "i-2", Answered: 1, Latency: 1, LimitObserved: true}
	vms[0].tracker.add(own)
	var polls sync.WaitGroup
	for _, v := range vms[1:] {
		polls.Go(func() {
			for range 4 {
				v.client.Watch(t.Context(), at(10))
			}
		})
	}
	polls.Wait()
	check(t, "received by the reader", vms[0].tracker.all(), []placer.Evidence{slow})
	check(t, "received by the sender", vms[1].tracker.all(), []placer.Evidence{own})
	sorted := cmpopts.SortSlices(func(a, b placer.Evidence) bool { return a.Target < b.Target })
	if diff := cmp.Diff([]placer.Evidence{slow, own}, vms[2].tracker.all(), sorted); diff != "" {
		t.Errorf("received by the third VM (-want +got):\n%s", diff)
	}
}

// All VMs must agree on the order and leave out VMs without an address. Otherwise
// two VMs poll each other and none reads from the store.
func TestUpstreamsAreOrdered(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7")
	members := []registrar.Member{
		{Name: "a", Domain: "x", Address: address},
		{Name: "b", Domain: "x", Address: address},
		{Name: "c", Domain: "x", Address: address},
		{Name: "d", Domain: "y", Address: address},
		{Name: "e", Domain: "x"},
	}
	counts := make(map[int]int)
	for _, m := range members[:3] {
		upstreams := informer.Upstreams(m, members)
		counts[len(upstreams)]++
		for _, upstream := range upstreams {
			if upstream.Domain != "x" || !upstream.Address.IsValid() {
				t.Errorf("%s would poll %v", m.Name, upstream)
			}
		}
	}
	check(t, "VMs by number of upstreams", counts, map[int]int{0: 1, 1: 1, 2: 1})
}

// The history must not grow with the number of versions of a large value: 135 versions of a
// configuration of 1 MB took the process beyond its memory. A VM that lags behind needs only
// the newest one.
func TestHistoryKeepsNewestValueOfAKey(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	reader.server.PublishSnapshot(at(10))
	for revision := uint64(11); revision <= 30; revision += 2 {
		large := storer.Item{Key: "op/config", Value: make([]byte, 1<<20), Revision: revision}
		small := item(fmt.Sprintf("servers/%d", revision), revision+1)
		reader.server.PublishChanges(at(revision-1), storer.Listing{Items: []storer.Item{large, small}, Position: at(revision + 1)})
	}
	listing, ok := poller.client.Watch(t.Context(), at(10))
	check(t, "answered", ok, true)
	check(t, "number of changes", len(listing.Items), 11)
	for i, changed := range listing.Items {
		if changed.Key == "op/config" && changed.Revision != 29 || i > 0 && changed.Revision < listing.Items[i-1].Revision {
			t.Errorf("change %d has key %q and revision %d", i, changed.Key, changed.Revision)
		}
	}
}

// The values of different keys must not take more than their bound either. A VM that asks for
// a change that was dropped must read from the store, and the others must be served.
func TestHistoryIsBoundedByBytes(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, poller := vms[0], vms[1]
	reader.server.PublishSnapshot(at(0))
	const size, n = 100 << 10, 100
	for revision := uint64(1); revision <= n; revision++ {
		large := storer.Item{Key: fmt.Sprintf("k/%d", revision), Value: make([]byte, size), Revision: revision}
		reader.server.PublishChanges(at(revision-1), storer.Listing{Items: []storer.Item{large}, Position: at(revision)})
	}
	kept := uint64(informer.DefaultConfig().MaxHistoryBytes / (size + 200))
	listing, ok := poller.client.Watch(t.Context(), at(n-kept))
	check(t, "recent changes are served", ok, true)
	check(t, "number of changes", uint64(len(listing.Items)), kept)
	if _, ok := poller.client.Watch(t.Context(), at(n-2*kept)); ok {
		t.Error("changes beyond the bound are kept")
	}
}

// The history must not grow beyond its limit, and a VM that requests more changes
// than it holds must get no answer instead of a partial one.
func TestHistoryIsBounded(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	vms[0].server.PublishSnapshot(at(0))
	limit := uint64(informer.DefaultConfig().MaxItems)
	for revision := uint64(1); revision <= limit+10; revision++ {
		vms[0].server.PublishChanges(at(revision-1), storer.Listing{Items: []storer.Item{item(fmt.Sprintf("k/%d", revision), revision)}, Position: at(revision)})
	}
	listing, ok := vms[1].client.Watch(t.Context(), at(10))
	check(t, "answered", ok, true)
	check(t, "changes", len(listing.Items), int(limit))
	if _, ok := vms[1].client.Watch(t.Context(), at(9)); ok {
		t.Error("got an answer that misses a change")
	}
}

// A VM that cannot write to the store must tell the others of its failure domain which
// requests crash targets, also while none of them reads from the store.
func TestReportsAreExchanged(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	polled, polling := vms[0], vms[1]
	polled.reports.own = []quarantiner.Report{{Fingerprint: 1, Target: "t1"}, {Fingerprint: 2}}
	polling.reports.own = []quarantiner.Report{{Fingerprint: 3, Target: "t3"}}
	if _, ok := polling.client.Watch(t.Context(), at(1)); ok {
		t.Fatal("a VM that does not read from the store answered with changes")
	}
	if diff := cmp.Diff(polled.reports.own, polling.reports.last()); diff != "" {
		t.Errorf("reports of the polled VM (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(polling.reports.own, polled.reports.last()); diff != "" {
		t.Errorf("reports of the polling VM (-want +got):\n%s", diff)
	}
}

// A polling VM that knew the store before it was restored must get no changes, because its
// revision means another change now. A reading VM that learns of the restore from it must
// not answer before it has read the store again.
func TestRestoredStore(t *testing.T) {
	for name, c := range map[string]struct {
		reader, poller uint64
	}{
		"reader knows": {reader: 1}, "polling VM knows": {poller: 1}, "both know": {reader: 1, poller: 1},
	} {
		t.Run(name, func(t *testing.T) {
			vms := newDomain(t, "vm-1", "vm-2")
			reader, poller := vms[0], vms[1]
			reader.server.PublishSnapshot(sequencer.Position{Era: c.reader, Revision: 11})
			reader.eras.ObserveEra(c.reader)
			poller.eras.ObserveEra(c.poller)
			listing, answered := poller.client.Watch(t.Context(), sequencer.Position{Era: c.poller, Revision: 12})
			check(t, "answered", answered, c.reader == c.poller)
			if answered {
				check(t, "position", listing.Position, sequencer.Position{Era: 1, Revision: 12})
			}
			check(t, "era of the reader", reader.eras.Era(), uint64(1))
			check(t, "era of the polling VM", poller.eras.Era(), uint64(1))
		})
	}
}

// A VM that is cut off from the other VMs of its failure domain must soon read from the
// store itself, however many of them rank before it: it tried one after the other, and each
// attempt waited for its timeout.
func TestManyUnreachableVMsDontDelay(t *testing.T) {
	const others = 40
	poller := newVM(t, "vm-1")
	var members []registrar.Member
	for i := 0; len(members) < others; i++ {
		m := registrar.Member{Name: fmt.Sprintf("vm-%d", 2+i), Domain: "a", Address: netip.MustParseAddrPort("127.0.0.1:9")}
		if len(informer.Upstreams(poller.member, []registrar.Member{m})) == 1 {
			members = append(members, m)
		}
	}
	timers := timer.NewService()
	t.Cleanup(timers.Close)
	hang := func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := informer.NewClient(informer.DefaultConfig(), poller.member, hang, poller.eras, poller.tracker, poller.shares, poller.reports, timers,
		func(string) {}, zap.NewNop())
	client.SetMembers(members)
	start := time.Now()
	for range 3 {
		if _, ok := client.Watch(t.Context(), at(10)); ok {
			t.Fatal("got an answer from an unreachable VM")
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("three polls took %v", took)
	}
}
