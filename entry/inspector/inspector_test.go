package inspector_test

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
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/inspector"
	"jackdawcart.org/platform/storer"
)

const poison = 7

// store keeps items and passes each change on to the inspectors after a delay, as the
// followers of the VMs do.
type store struct {
	mu         sync.Mutex
	items      []storer.Item
	revision   uint64
	inspectors []*inspector.Inspector
}

const watchDelay = 800 * time.Millisecond

func (s *store) Grant(context.Context, time.Duration) (storer.Lease, error) {
	return storer.Lease{ID: 1}, nil
}

func (s *store) PutAll(_ context.Context, items []storer.Item, _ storer.Lease) error {
	for _, item := range items {
		s.change(item)
	}
	return nil
}

func (s *store) change(item storer.Item) {
	s.mu.Lock()
	s.revision++
	item.Revision = s.revision
	s.items = slices.DeleteFunc(s.items, func(other storer.Item) bool { return other.Key == item.Key })
	if !item.Gone {
		s.items = append(s.items, item)
	}
	s.mu.Unlock()
	time.AfterFunc(watchDelay, func() {
		for _, i := range s.inspectors {
			i.ApplyItems([]storer.Item{item})
		}
	})
}

// restore replaces the items with those of a backup, which all inspectors read in full.
func (s *store) restore(backup []storer.Item) {
	s.mu.Lock()
	s.items = slices.Clone(backup)
	s.mu.Unlock()
	for _, i := range s.inspectors {
		i.ReplaceItems(backup)
	}
}

func (s *store) all() []storer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.items)
}

func (s *store) keys() []string {
	var keys []string
	for _, item := range s.all() {
		keys = append(keys, item.Key)
	}
	return keys
}

func refuse(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

func accept(context.Context, netip.AddrPort) (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func newInspector(dial inspector.Dialer, timers *timer.Service) *inspector.Inspector {
	return inspector.New(dial, timers, tally.NoopScope, zap.NewNop())
}

func ignore(bool) {}

func target(id string) registrar.Record {
	return registrar.Record{Target: registrar.Target{ID: id, Service: "a"}}
}

// run runs f with the inspectors of several VMs, on virtual time.
func run(t *testing.T, vms int, dial inspector.Dialer, f func(s *store, vms []*inspector.Inspector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewService()
		defer timers.Close()
		link := supervisor.NewLink(timers.Now(), time.Hour)
		ctx, stop := context.WithCancel(t.Context())
		s := &store{}
		var tasks sync.WaitGroup
		for range vms {
			i := newInspector(dial, timers)
			s.inspectors = append(s.inspectors, i)
			tasks.Go(func() { i.Run(ctx) })
			tasks.Go(func() { i.Publish(ctx, s, link) })
		}
		f(s, s.inspectors)
		time.Sleep(2 * watchDelay)
		stop()
		tasks.Wait()
	})
}

// Three VMs each see one target end under a request. All VMs must refuse it within 4 s,
// also one that starts later.
func TestLossesOfSeveralVMsCount(t *testing.T) {
	run(t, 4, refuse, func(s *store, vms []*inspector.Inspector) {
		for k, id := range []string{"t1", "t2", "t3"} {
			vms[k].Broke(target(id), poison, ignore)
		}
		time.Sleep(4 * time.Second)
		for k, i := range vms {
			if i.Quarantined(poison) == 0 {
				t.Errorf("VM %d sends the request", k)
			}
		}
		late := newInspector(refuse, timer.NewService())
		late.ReplaceItems(s.all())
		if late.Quarantined(poison) == 0 {
			t.Error("a VM that starts sends the request")
		}
	})
}

// Connections that break at targets which are still up, as when a path is interrupted,
// are no losses.
func TestBrokenConnectionsToLiveTargets(t *testing.T) {
	run(t, 1, accept, func(s *store, vms []*inspector.Inspector) {
		vms[0].Broke(target("t1"), poison, ignore)
		vms[0].Broke(target("t2"), poison, ignore)
		time.Sleep(4 * time.Second)
		if vms[0].Quarantined(poison) > 0 || len(s.keys()) > 0 {
			t.Errorf("the request is suspected; store: %v", s.keys())
		}
	})
}

// A request that shared its targets with a poison request and is answered elsewhere must
// not be published, and one that another VM answers must be cleared everywhere.
func TestCompletedRequestsAreCleared(t *testing.T) {
	run(t, 3, refuse, func(s *store, vms []*inspector.Inspector) {
		const bystander, popular = 8, 9
		for _, id := range []string{"t1", "t2"} {
			vms[0].Broke(target(id), bystander, ignore)
			vms[0].Broke(target(id), popular, ignore)
		}
		time.Sleep(100 * time.Millisecond)
		vms[0].Completed(target("t9"), bystander)
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			vms[1].Completed(target("t9"), popular)
		}
		time.Sleep(4 * time.Second)
		for k, i := range vms {
			for _, fingerprint := range []uint64{bystander, popular} {
				if i.Quarantined(fingerprint) > 0 {
					t.Errorf("VM %d refuses request %d", k, fingerprint)
				}
			}
		}
		if slices.ContainsFunc(s.keys(), func(key string) bool { return strings.HasPrefix(key, "suspects/8/") }) {
			t.Errorf("the bystander is published: %v", s.keys())
		}
		late := newInspector(refuse, timer.NewService())
		late.ReplaceItems(s.all())
		if late.Quarantined(popular) > 0 {
			t.Error("a VM that starts refuses the popular request")
		}
	})
}

// If the leases of the reports end while the store is away, one that starts later must
// still learn of the quarantine.
func TestLostReportsAreWrittenAgain(t *testing.T) {
	run(t, 2, refuse, func(s *store, vms []*inspector.Inspector) {
		vms[0].Broke(target("t1"), poison, ignore)
		vms[0].Broke(target("t2"), poison, ignore)
		time.Sleep(5 * time.Second)
		before := s.keys()
		if len(before) != 2 {
			t.Fatalf("published %v, want two losses", before)
		}
		for _, key := range before {
			s.change(storer.Item{Key: key, Gone: true})
		}
		time.Sleep(5 * time.Second)
		after := s.keys()
		slices.Sort(before)
		slices.Sort(after)
		if diff := cmp.Diff(before, after); diff != "" {
			t.Errorf("keys (-want +got):\n%s", diff)
		}
		time.Sleep(quarantiner.DefaultConfig().Period)
		for _, key := range s.keys() {
			s.change(storer.Item{Key: key, Gone: true})
		}
		time.Sleep(5 * time.Second)
		if len(s.keys()) > 0 || vms[1].Quarantined(poison) > 0 {
			t.Errorf("the quarantine does not end; store: %v", s.keys())
		}
	})
}

// A loss that only another VM of the failure domain knows must count, and be published in
// its place.
func TestReportsOfPeers(t *testing.T) {
	run(t, 2, refuse, func(s *store, vms []*inspector.Inspector) {
		vms[0].MergeReports(time.Now(), []quarantiner.Report{{Fingerprint: poison, Target: "t1"}, {Fingerprint: poison, Target: "t2"}, {}})
		time.Sleep(4 * time.Second)
		for k, i := range vms {
			if i.Quarantined(poison) == 0 {
				t.Errorf("VM %d sends the request", k)
			}
		}
	})
}

// Keys that are no reports, or cannot be read, change nothing.
func TestUnreadableKeys(t *testing.T) {
	i := newInspector(refuse, timer.NewService())
	items := []storer.Item{{Key: "op/config"}, {Key: "suspects/"}, {Key: "suspects/zz/t1"}, {Key: "suspects/0/t1"}, {Key: "suspects/7"}, {Key: "suspects/7/"}}
	i.ApplyItems(items)
	i.ReplaceItems(items)
	if reports := i.Unpublished(); len(reports) > 0 || i.Quarantined(poison) > 0 {
		t.Errorf("unexpected reports %v", reports)
	}
}

// Targets that are lost all the time under one request must not put off the evaluation:
// the losses under another one would never be published.
func TestFrequentLossesDontDelayOthers(t *testing.T) {
	run(t, 2, refuse, func(s *store, vms []*inspector.Inspector) {
		const other = 9
		for _, id := range []string{"t1", "t2"} {
			vms[0].Broke(target(id), poison, ignore)
		}
		for k := range 200 {
			vms[0].Broke(target(fmt.Sprint("p", k)), other, ignore)
			time.Sleep(20 * time.Millisecond)
		}
		if vms[1].Quarantined(poison) == 0 {
			t.Error("the other VM sends the request")
		}
	})
}

// A store that is restored from a copy older than a clearance holds the losses before it
// again. They must not quarantine the request, and a VM that starts must learn that.
func TestClearanceOutlivesRestore(t *testing.T) {
	run(t, 2, refuse, func(s *store, vms []*inspector.Inspector) {
		vms[0].Broke(target("t1"), poison, ignore)
		vms[0].Broke(target("t2"), poison, ignore)
		time.Sleep(5 * time.Second)
		backup := s.all()
		vms[1].Completed(target("t9"), poison)
		time.Sleep(5 * time.Second)
		s.restore(backup)
		time.Sleep(5 * time.Second)
		for k, i := range vms {
			if i.Quarantined(poison) > 0 {
				t.Errorf("VM %d refuses the request", k)
			}
		}
		late := newInspector(refuse, timer.NewService())
		late.ReplaceItems(s.all())
		if late.Quarantined(poison) > 0 {
			t.Errorf("a VM that starts refuses the request; store: %v", s.keys())
		}
	})
}

// A VM of an earlier build takes a run at another shard for proof, and publishes a clearance
// that names no parts. It ended the quarantine of a request that crashes the targets of one
// shard, which was then sent again.
func TestClearanceWithoutParts(t *testing.T) {
	run(t, 3, refuse, func(s *store, vms []*inspector.Inspector) {
		for k, id := range []string{"t1", "t2", "t3"} {
			vms[k].Broke(target(id), poison, ignore)
		}
		time.Sleep(4 * time.Second)
		vms[0].MergeReports(time.Now(), []quarantiner.Report{{Fingerprint: poison}})
		s.change(storer.Item{Key: "suspects/0000000000000007/cleared", Value: []byte("{}")})
		time.Sleep(4 * time.Second)
		late := newInspector(refuse, timer.NewService())
		late.ReplaceItems(s.all())
		vms[1].ReplaceItems(s.all())
		for k, i := range append(vms, late) {
			if i.Quarantined(poison) == 0 {
				t.Errorf("VM %d sends the request", k)
			}
		}
		vms[2].Completed(target("t4"), poison)
		time.Sleep(4 * time.Second)
		for k, i := range vms {
			if i.Quarantined(poison) > 0 {
				t.Errorf("VM %d refuses the request after a run at its part", k)
			}
		}
	})
}
