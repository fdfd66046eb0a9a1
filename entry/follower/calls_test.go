package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/entry/follower"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// Costs of calls, in tenths of a call.
const (
	fullCost    = 10
	reducedCost = 1
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// leases are those of a fakeStore.
type leases struct {
	mu      sync.Mutex
	last    uint64
	expires map[uint64]time.Time
	keys    map[uint64]string
}

// gate is a fakeStore as one VM reaches it. It counts calls, refused ones too.
type gate struct {
	*fakeStore
	leases *leases

	mu sync.Mutex
	// refusal is the status of the store for this VM: "", "refuses" or "silent".
	refusal string
	changed chan struct{}
	cost    int
	calls   map[string]int
}

var errBusy = &storer.Error{Op: "call", Kind: storer.KindBusy, Err: errors.New("the store refuses")}

// call counts a call and answers it unless the store refuses.
func (g *gate) call(ctx context.Context, name string, cost int) error {
	g.mu.Lock()
	refusal := g.refusal
	if refusal != "" {
		name += "-" + refusal
	}
	g.cost += cost
	g.calls[name]++
	g.mu.Unlock()
	if refusal == "silent" {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return errDown
	}
	time.Sleep(answerTime)
	if refusal != "" {
		return errBusy
	}
	return nil
}

func (g *gate) setRefusal(refusal string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusal = refusal
	close(g.changed)
	g.changed = make(chan struct{})
}

// take returns the cost and the calls since it was called last.
func (g *gate) take() (int, map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cost, calls := g.cost, g.calls
	g.cost, g.calls = 0, make(map[string]int)
	return cost, calls
}

func (g *gate) List(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := g.call(ctx, "list", fullCost); err != nil {
		return storer.Listing{}, err
	}
	return g.fakeStore.List(ctx, prefix)
}

func (g *gate) ListSerializable(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := g.call(ctx, "list-serializable", reducedCost); err != nil {
		return storer.Listing{}, err
	}
	return g.fakeStore.ListSerializable(ctx, prefix)
}

func (g *gate) Watch(ctx context.Context, prefix string, position sequencer.Position, wait time.Duration) (storer.Listing, error) {
	g.mu.Lock()
	changed := g.changed
	g.mu.Unlock()
	if err := g.call(ctx, "watch", fullCost); err != nil {
		return storer.Listing{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return g.fakeStore.Watch(ctx, prefix, position, wait)
}

func (g *gate) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if err := g.call(ctx, "grant", fullCost); err != nil {
		return storer.Lease{}, err
	}
	g.leases.mu.Lock()
	defer g.leases.mu.Unlock()
	g.leases.last++
	g.leases.expires[g.leases.last] = time.Now().Add(ttl)
	return storer.Lease{ID: g.leases.last}, nil
}

func (g *gate) Renew(ctx context.Context, lease storer.Lease) error {
	if err := g.call(ctx, "renew", reducedCost); err != nil {
		return err
	}
	g.leases.mu.Lock()
	defer g.leases.mu.Unlock()
	if _, ok := g.leases.expires[lease.ID]; !ok {
		return &storer.Error{Op: "renew", Kind: storer.KindNotFound, Err: errors.New("no such lease")}
	}
	g.leases.expires[lease.ID] = time.Now().Add(announcer.DefaultConfig(time.Second).LeaseTTL)
	return nil
}

func (g *gate) Put(ctx context.Context, key string, value []byte, lease storer.Lease) (uint64, error) {
	if err := g.call(ctx, "put", fullCost); err != nil {
		return 0, err
	}
	g.put(key, json.RawMessage(value))
	g.leases.mu.Lock()
	defer g.leases.mu.Unlock()
	g.leases.keys[lease.ID] = key
	return 0, nil
}

func (g *gate) Remove(ctx context.Context, _ string, _ uint64) error {
	return g.call(ctx, "remove", fullCost)
}

// expire removes the keys of expired leases.
func (l *leases) expire(s *fakeStore) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, end := range l.expires {
		if time.Now().Before(end) {
			continue
		}
		delete(l.expires, id)
		held := false
		for other := range l.expires {
			held = held || l.keys[other] == l.keys[id]
		}
		if key := l.keys[id]; key != "" && !held {
			s.remove(key)
		}
	}
}

type noEvidence struct{}

func (noEvidence) TakeEvidence() []placer.Evidence              { return nil }
func (noEvidence) MergeEvidence(time.Time, []placer.Evidence)   {}
func (noEvidence) Unpublished() []quarantiner.Report            { return nil }
func (noEvidence) MergeReports(time.Time, []quarantiner.Report) {}
func (noEvidence) TakeLoads() []sharer.IndexLoad                { return nil }
func (noEvidence) MergeLoads(time.Time, []sharer.IndexLoad)     {}
func (noEvidence) Era() uint64                                  { return 0 }
func (noEvidence) ObserveEra(uint64)                            {}

type both struct {
	*informer.Client
	*informer.Server
}

// storeVM is the part of an entry VM that makes calls to the store.
type storeVM struct {
	gate  *gate
	state *follower.State
	stop  func()
}

func (vm *storeVM) start(network *network, self registrar.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	timers := timer.NewService()
	config := follower.DefaultConfig(5*time.Second, 5*time.Second)
	config.Domain = self.Domain
	vm.state = follower.NewState(config.GracePeriod)
	link := supervisor.NewLink(timers.Now(), 2400*time.Millisecond)
	client := informer.NewClient(informer.DefaultConfig(), self, network.dial(self.Address), noEvidence{}, noEvidence{}, noEvidence{}, noEvidence{}, timers, func(string) {}, zap.NewNop())
	server := informer.NewServer(informer.DefaultConfig(), link, noEvidence{}, noEvidence{}, noEvidence{}, noEvidence{}, timers, zap.NewNop())
	f := follower.New(config, vm.gate, link, both{client, server}, vm.state, timers, zap.NewNop(), follower.Listeners{
		Table: func(*router.Table) {}, Target: func(registrar.Event) {}, EntryVMs: client.SetMembers, Evacuated: func(container.Set[string]) {},
		AllItems: func([]storer.Item) {}, ChangedItems: func([]storer.Item) {},
	})
	a := announcer.New(announcer.DefaultConfig(6*time.Second), self, server.HasClients, client.Informed, vm.gate, link, timers, zap.NewNop())
	listener := network.listen(self.Address)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){f.Run, f.SweepExpired, a.Run, func(ctx context.Context) { server.Serve(ctx, listener) }} {
		tasks.Go(func() { task(ctx) })
	}
	vm.stop = func() {
		cancel()
		_ = listener.Close()
		tasks.Wait()
		client.Close()
		timers.Close()
		vm.gate.take()
	}
}

// callBudget is how many calls a VM may make on the day of TestStoreCalls.
const callBudget = 8

// Each call to the store has a cost. VMs that the store refuses, that start together, or
// that lose the history must not make many: a site made 24 calls a VM on such a day.
// Configurations must be in force within 5 s of their write meanwhile.
func TestStoreCalls(t *testing.T) {
	for _, refusal := range []string{"refuses", "silent"} {
		t.Run(refusal, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playDay(t, refusal) })
		})
	}
}

func playDay(t *testing.T, refusal string) {
	const vmCount, domains = 142, 3
	random := rand.New(rand.NewPCG(1, 1))
	store := newFakeStore()
	held := &leases{expires: make(map[uint64]time.Time), keys: make(map[uint64]string)}
	network := &network{listeners: make(map[netip.AddrPort]*pipeListener)}
	vms := make([]*storeVM, vmCount)
	latest := 1
	store.put(decoder.ConfigurationKey, version(latest))
	startAll := func() {
		for i := range vms {
			// Processes of a fleet take different times to start.
			time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 80)
			vms[i].start(network, registrar.Member{Name: fmt.Sprintf("vm-%d", i), Domain: string(rune('a' + i%domains)), Address: address, RequestAddress: address})
		}
	}
	for i := range vms {
		vms[i] = &storeVM{gate: &gate{fakeStore: store, leases: held, changed: make(chan struct{}), calls: make(map[string]int)}}
	}
	ctx, stop := context.WithCancel(t.Context())
	var writing sync.WaitGroup
	writing.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(100 * time.Millisecond)
			store.put(fmt.Sprintf("servers/t%d", n%50), registration("ready"))
			held.expire(store)
		}
	})
	total := 0
	phase := func(name string, lasts time.Duration) {
		time.Sleep(lasts)
		cost, calls := 0, make(map[string]int)
		for _, vm := range vms {
			c, made := vm.gate.take()
			cost += c
			for k, n := range made {
				calls[k] += n
			}
		}
		total += cost
		var text []string
		for _, k := range slices.Sorted(maps.Keys(calls)) {
			text = append(text, fmt.Sprintf("%s %d", k, calls[k]))
		}
		t.Logf("%s: %.2f calls a VM; all VMs: %s", name, float64(cost)/fullCost/vmCount, strings.Join(text, ", "))
	}
	// configure writes a configuration that must be in force within 5 s at all VMs.
	configure := func() {
		latest++
		store.put(decoder.ConfigurationKey, version(latest))
		time.Sleep(5 * time.Second)
		for i, vm := range vms {
			if table := vm.state.Table(); table == nil || table.Version != int64(latest) {
				t.Errorf("VM %d does not have version %d in force", i, latest)
			}
		}
	}
	startAll()
	phase("start", 2*time.Second)
	configure()
	phase("steady, 6 s", time.Second)
	for i := range vmCount / 3 {
		vms[i].gate.setRefusal(refusal)
	}
	time.Sleep(time.Second)
	// The VMs that read lose the history, and the others have only them.
	store.dropHistory("other", 0)
	configure()
	phase("a third without the store, 9 s", 3*time.Second)
	for i := range vmCount / 3 {
		vms[i].gate.setRefusal("")
	}
	configure()
	phase("after it, 8 s", 3*time.Second)
	for _, vm := range vms {
		vm.stop()
	}
	startAll()
	phase("restart of all, 4 s", 4*time.Second)
	store.dropHistory("other", 1)
	configure()
	phase("history dropped, 10 s", 5*time.Second)
	if got := float64(total) / fullCost / vmCount; got >= callBudget {
		t.Errorf("%.2f calls a VM, want less than %d", got, callBudget)
	} else {
		t.Logf("%.2f calls a VM", got)
	}
	for _, vm := range vms {
		vm.stop()
	}
	stop()
	writing.Wait()
}
