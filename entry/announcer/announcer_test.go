package announcer_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/platform/storer"
)

// fakeStore holds the keys of one lease and counts renewals.
type fakeStore struct {
	mu       sync.Mutex
	lease    uint64
	keys     map[string]uint64
	revision uint64
	renewals int
	// hangs makes Remove block until its context ends.
	hangs bool
	// down makes Renew fail.
	down bool
	// hasClients is set while other VMs poll this one.
	hasClients atomic.Bool
	// informed is set while another VM informs this one.
	informed atomic.Bool
}

var errNoLease = &storer.Error{Op: "renew", Kind: storer.KindNotFound, Err: errors.New("no such lease")}

func (s *fakeStore) Grant(context.Context, time.Duration) (storer.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	return storer.Lease{ID: s.lease}, nil
}

func (s *fakeStore) Renew(_ context.Context, lease storer.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	if s.down {
		return errors.New("the store refuses")
	}
	if lease.ID != s.lease || len(s.keys) == 0 {
		return errNoLease
	}
	return nil
}

func (s *fakeStore) Remove(ctx context.Context, key string, revision uint64) error {
	if s.hangs {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == s.revision {
		delete(s.keys, key)
	}
	return nil
}

// endLeases ends all leases.
func (s *fakeStore) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.keys)
}

func (s *fakeStore) Put(_ context.Context, key string, _ []byte, lease storer.Lease) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = lease.ID
	s.revision++
	return s.revision, nil
}

func (s *fakeStore) snapshot() (keys map[string]uint64, renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys = make(map[string]uint64)
	for key, lease := range s.keys {
		keys[key] = lease
	}
	return keys, s.renewals
}

// run calls check with a running announcer in virtual time.
func run(t *testing.T, check func(store *fakeStore, link *supervisor.Link)) *fakeStore {
	t.Helper()
	store := &fakeStore{keys: make(map[string]uint64)}
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewService()
		link := supervisor.NewLink(timers.Now(), time.Second)
		a := announcer.New(announcer.DefaultConfig(6*time.Second), registrar.Member{Name: "vm-1"}, store.hasClients.Load, store.informed.Load,
			store, link, timers, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		var task sync.WaitGroup
		task.Go(func() { a.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		check(store, link)
		stop()
		task.Wait()
		timers.Close()
	})
	return store
}

// A VM whose lease ended must be announced again. One that stops must remove its
// entry; otherwise the others use less than their share until its lease expires.
func TestAnnouncedUntilItLeaves(t *testing.T) {
	store := run(t, func(store *fakeStore, _ *supervisor.Link) {
		store.endLeases()
		time.Sleep(3 * time.Second)
		keys, _ := store.snapshot()
		if diff := cmp.Diff(map[string]uint64{"entry-vms/vm-1": 2}, keys); diff != "" {
			t.Errorf("keys after the lease ended (-want +got):\n%s", diff)
		}
	})
	if keys, _ := store.snapshot(); len(keys) != 0 {
		t.Errorf("keys after leaving: %v", keys)
	}
}

// After another user of the link detects an outage, the store must be called before
// the next renewal is due, because all reads wait until one call succeeds.
func TestStoreIsProbedOnceLost(t *testing.T) {
	run(t, func(store *fakeStore, link *supervisor.Link) {
		_, before := store.snapshot()
		link.Failed()
		time.Sleep(600 * time.Millisecond)
		if up, _ := link.State(); !up {
			t.Error("the link is still down")
		}
		if _, after := store.snapshot(); after != before+1 {
			t.Errorf("%d renewals, want one", after-before)
		}
	})
}

// A VM that others begin to poll must switch to frequent renewals at once. If it
// waits for its next regular renewal, its last answer from the store gets too old
// to serve others, and they stop polling it.
func TestReadingVMRenewsOften(t *testing.T) {
	run(t, func(store *fakeStore, link *supervisor.Link) {
		store.hasClients.Store(true)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(link.LastOK()); age > 700*time.Millisecond {
				t.Fatalf("last answer of the store was %v ago", age)
			}
		}
	})
}

// A store that does not answer must not delay the stop beyond the share reserved for
// leaving, because the platform kills the process after the grace period.
func TestLeavingIsBounded(t *testing.T) {
	var stoppedAt time.Time
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: make(map[string]uint64), hangs: true}
		timers := timer.NewService()
		link := supervisor.NewLink(timers.Now(), time.Second)
		a := announcer.New(announcer.DefaultConfig(3*time.Second), registrar.Member{Name: "vm-1"}, store.hasClients.Load, store.informed.Load,
			store, link, timers, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		var task sync.WaitGroup
		task.Go(func() { a.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		stoppedAt = time.Now()
		stop()
		task.Wait()
		if took := time.Since(stoppedAt); took > 300*time.Millisecond {
			t.Errorf("leaving took %v of a stop of 3s", took)
		}
		timers.Close()
	})
}

// A VM of an earlier version, which announces no address for quotas, must be read as one that
// takes no part in them.
func TestQuotaAddress(t *testing.T) {
	for value, want := range map[string]bool{
		`{"domain":"a","address":"10.0.0.1:2","request-address":"10.0.0.1:3","quota-address":"10.0.0.1:4"}`: true,
		`{"domain":"a","address":"10.0.0.1:2","request-address":"10.0.0.1:3"}`:                              false,
	} {
		member, ok, err := announcer.ParseItem(storer.Item{Key: "entry-vms/vm-1", Value: []byte(value)})
		if !ok || err != nil || member.Domain != "a" || member.QuotaAddress.IsValid() != want {
			t.Errorf("%s: %+v", value, member)
		}
	}
}

// A store that refuses a VM must get few renewals, and its return must be noticed early in
// the stability window of 5 s. While no other VM informs this one, it must be noticed sooner.
func TestRefusedRenewals(t *testing.T) {
	for _, c := range []struct {
		informed    bool
		maxRenewals int
		maxPause    time.Duration
	}{{true, 9, 2 * time.Second}, {false, 13, time.Second}} {
		run(t, func(store *fakeStore, link *supervisor.Link) {
			store.informed.Store(c.informed)
			store.setDown(true)
			_, before := store.snapshot()
			time.Sleep(9 * time.Second)
			if _, after := store.snapshot(); after-before > c.maxRenewals {
				t.Errorf("informed %v: %d renewals in 9 s, want at most %d", c.informed, after-before, c.maxRenewals)
			}
			if up, _ := link.State(); up {
				t.Errorf("informed %v: link is up", c.informed)
			}
			store.setDown(false)
			time.Sleep(c.maxPause + time.Millisecond)
			if up, _ := link.State(); !up {
				t.Errorf("informed %v: link is down %v after the return of the store", c.informed, c.maxPause)
			}
		})
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
