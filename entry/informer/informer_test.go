package informer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/platform/storer"
)

// judge gives one piece of evidence each time that it has some, and keeps what
// it hears.
type judge struct {
	mu    sync.Mutex
	own   []placer.Evidence
	heard []placer.Evidence
}

func (j *judge) TakeEvidence() []placer.Evidence {
	j.mu.Lock()
	defer j.mu.Unlock()
	own := j.own
	j.own = nil
	return own
}

func (j *judge) MergeEvidence(_ time.Time, evidence []placer.Evidence) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.heard = append(j.heard, evidence...)
}

func (j *judge) sees(e placer.Evidence) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.own = append(j.own, e)
}

func (j *judge) all() []placer.Evidence {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]placer.Evidence(nil), j.heard...)
}

// vm is an entry VM as far as it shares.
type vm struct {
	member registrar.Member
	link   *supervisor.Link
	judge  *judge
	server *informer.Server
	client *informer.Client
	stop   context.CancelFunc
}

func newVM(t *testing.T, name string) *vm {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	timers := timer.NewService()
	v := &vm{
		member: registrar.Member{Name: name, Domain: "a", Address: netip.MustParseAddrPort(listener.Addr().String())},
		link:   supervisor.NewLink(timers.Now(), time.Second),
		judge:  &judge{},
	}
	config := informer.DefaultConfig()
	v.server = informer.NewServer(config, v.link, v.judge, timers, zap.NewNop())
	v.client = informer.NewClient(config, v.member, dial, v.judge, timers, func(string) {}, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	var duties sync.WaitGroup
	duties.Go(func() { v.server.Serve(ctx, listener) })
	duties.Go(func() { v.server.Exchange(ctx) })
	t.Cleanup(func() {
		stop()
		duties.Wait()
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
// asked.
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
		ordered[len(informer.Seniors(v.member, members))] = v
	}
	return ordered
}

func item(key string, revision uint64) storer.Item {
	return storer.Item{Key: key, Value: []byte("value"), Revision: revision}
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A VM must hear the changes after its own revision and no others, at once, and
// an empty answer that is no older than the store's when there are none.
func TestChangesAreTold(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	reader, asker := vms[0], vms[1]
	reader.server.Replaced(10)
	listing, ok := asker.client.Watch(t.Context(), 10)
	check(t, "answered", ok, true)
	check(t, "without a change", listing, storer.Listing{Items: []storer.Item{}, Revision: 10})

	reader.server.Changed(10, storer.Listing{Items: []storer.Item{item("a", 11), item("b", 12)}, Revision: 12})
	listing, _ = asker.client.Watch(t.Context(), 11)
	check(t, "one change", listing, storer.Listing{Items: []storer.Item{item("b", 12)}, Revision: 12})

	go func() {
		time.Sleep(50 * time.Millisecond)
		reader.server.Changed(12, storer.Listing{Items: []storer.Item{item("c", 13)}, Revision: 13})
	}()
	began := time.Now()
	listing, _ = asker.client.Watch(t.Context(), 12)
	check(t, "change while waiting", listing, storer.Listing{Items: []storer.Item{item("c", 13)}, Revision: 13})
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("a change took %v", took)
	}
	if !reader.server.Serves() {
		t.Error("the reader does not know that others rely on it")
	}
}

// A VM must not tell others what it may have missed itself: when it has lost the
// store, has not heard of it for a while, asks another VM, or has dropped the
// changes that are asked for. The asking VM then reads for itself.
func TestDoubtfulAnswersAreNotGiven(t *testing.T) {
	for name, spoil := range map[string]func(*vm){
		"store lost":      func(v *vm) { v.link.Failed() },
		"asks another VM": func(v *vm) { v.server.Stopped() },
		"history dropped": func(v *vm) { v.server.Replaced(11) },
		"process ended":   func(v *vm) { v.stop() },
		"store not heard": func(*vm) { time.Sleep(informer.DefaultConfig().Fresh + 100*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := newDomain(t, "vm-1", "vm-2")
			vms[0].server.Replaced(10)
			spoil(vms[0])
			if listing, ok := vms[1].client.Watch(t.Context(), 10); ok {
				t.Errorf("answer %v", listing)
			}
		})
	}
}

// When the reading VM is lost, the next one in the order reads, and the others
// ask that one instead of the store.
func TestNextVMTakesOver(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	vms[0].server.Replaced(10)
	if _, ok := vms[2].client.Watch(t.Context(), 10); !ok {
		t.Fatal("no answer of the first VM")
	}
	vms[0].stop()
	if _, ok := vms[1].client.Watch(t.Context(), 10); ok {
		t.Fatal("an answer although nobody reads")
	}
	vms[1].server.Replaced(10)
	if _, ok := vms[2].client.Watch(t.Context(), 10); !ok {
		t.Fatal("no answer of the second VM")
	}
}

// A VM that hangs must not hold others up for longer than the bound of an answer.
func TestHangingVMIsLeft(t *testing.T) {
	asker := newVM(t, "vm-1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	// A name for which the asking VM is the later one of the two.
	hanging := registrar.Member{Domain: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
	for _, hanging.Name = range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"} {
		if len(informer.Seniors(asker.member, []registrar.Member{hanging})) == 1 {
			break
		}
	}
	asker.client.SetMembers([]registrar.Member{hanging})
	began := time.Now()
	if _, ok := asker.client.Watch(t.Context(), 10); ok {
		t.Fatal("an answer of a VM that hangs")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("given up after %v", took)
	}
	began = time.Now()
	if _, ok := asker.client.Watch(t.Context(), 10); ok || time.Since(began) > 100*time.Millisecond {
		t.Errorf("asked again at once, for %v", time.Since(began))
	}
}

// What one VM sees at a target must reach the others of its domain, once, and
// not come back to itself: it would count twice.
func TestEvidenceReachesTheOthers(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2", "vm-3")
	vms[0].server.Replaced(10)
	for _, v := range vms[1:] {
		v.client.Watch(t.Context(), 10)
	}
	slow := placer.Evidence{Service: "shard", Target: "i-1", Answered: 2, Failed: 1, Latency: 8}
	vms[1].judge.sees(slow)
	own := placer.Evidence{Service: "shard", Target: "i-2", Answered: 1, Latency: 1}
	vms[0].judge.sees(own)
	var ask sync.WaitGroup
	for _, v := range vms[1:] {
		ask.Go(func() {
			for range 4 {
				v.client.Watch(t.Context(), 10)
			}
		})
	}
	ask.Wait()
	check(t, "heard by the reader", vms[0].judge.all(), []placer.Evidence{slow})
	check(t, "heard by the witness", vms[1].judge.all(), []placer.Evidence{own})
	sorted := cmpopts.SortSlices(func(a, b placer.Evidence) bool { return a.Target < b.Target })
	if diff := cmp.Diff([]placer.Evidence{slow, own}, vms[2].judge.all(), sorted); diff != "" {
		t.Errorf("heard by the third VM (-want +got):\n%s", diff)
	}
}

// The order must be the same at all VMs and leave out those that cannot be
// asked, or two VMs ask each other and nobody reads.
func TestSeniorsAgree(t *testing.T) {
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
		seniors := informer.Seniors(m, members)
		counts[len(seniors)]++
		for _, s := range seniors {
			if s.Domain != "x" || !s.Address.IsValid() {
				t.Errorf("%s would ask %v", m.Name, s)
			}
		}
	}
	check(t, "VMs by the number of those before them", counts, map[int]int{0: 1, 1: 1, 2: 1})
}

// A VM that asks after more changes than are kept must read for itself instead of
// missing some, and what is kept must not grow.
func TestKeptChangesAreBounded(t *testing.T) {
	vms := newDomain(t, "vm-1", "vm-2")
	vms[0].server.Replaced(0)
	limit := uint64(informer.DefaultConfig().MaxItems)
	for revision := uint64(1); revision <= limit+10; revision++ {
		vms[0].server.Changed(revision-1, storer.Listing{Items: []storer.Item{item("k", revision)}, Revision: revision})
	}
	listing, ok := vms[1].client.Watch(t.Context(), 10)
	check(t, "answered", ok, true)
	check(t, "changes", len(listing.Items), int(limit))
	if _, ok := vms[1].client.Watch(t.Context(), 9); ok {
		t.Error("an answer that leaves a change out")
	}
}
