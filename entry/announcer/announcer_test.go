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
	renewals int
	// hangs makes the last call go without an answer.
	hangs bool
	// reading says that others rely on what the VM reads.
	reading atomic.Bool
}

var errNoLease = &storer.Error{Op: "renew", Kind: storer.KindNotFound, Err: errors.New("no such lease")}

func (s *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	return s.lease, nil
}

func (s *fakeStore) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	if lease != s.lease || len(s.keys) == 0 {
		return errNoLease
	}
	return nil
}

func (s *fakeStore) End(ctx context.Context, lease uint64) error {
	if s.hangs {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range s.keys {
		if l == lease {
			delete(s.keys, key)
		}
	}
	return nil
}

func (s *fakeStore) Put(_ context.Context, key string, _ []byte, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = lease
	return nil
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

// run announces a VM in virtual time.
func run(t *testing.T, check func(store *fakeStore, link *supervisor.Link)) *fakeStore {
	t.Helper()
	store := &fakeStore{keys: make(map[string]uint64)}
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewService()
		link := supervisor.NewLink(timers.Now(), time.Second)
		a := announcer.New(announcer.DefaultConfig(6*time.Second), registrar.Member{Name: "vm-1"}, store.reading.Load,
			store, link, timers, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		var duty sync.WaitGroup
		duty.Go(func() { a.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		check(store, link)
		stop()
		duty.Wait()
		timers.Close()
	})
	return store
}

// A VM whose lease ended must be announced again, and one that leaves must not
// count until its lease ends: the others use less than their share meanwhile.
func TestAnnouncedUntilItLeaves(t *testing.T) {
	store := run(t, func(store *fakeStore, _ *supervisor.Link) {
		if err := store.End(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
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

// When another user finds the store out of reach, the next call must not wait
// for the next renewal, as all reading waits until one call succeeds.
func TestStoreIsProbedOnceLost(t *testing.T) {
	run(t, func(store *fakeStore, link *supervisor.Link) {
		_, before := store.snapshot()
		link.Failed()
		time.Sleep(600 * time.Millisecond)
		if up, _ := link.State(); !up {
			t.Error("the store still counts as lost")
		}
		if _, after := store.snapshot(); after != before+1 {
			t.Errorf("%d renewals, want one", after-before)
		}
	})
}

// A VM on which others begin to rely must soon call the store, or it does not
// know that it has lost it. It waited for its next usual renewal, and the others
// left it each time.
func TestReadingVMRenewsOften(t *testing.T) {
	run(t, func(store *fakeStore, link *supervisor.Link) {
		store.reading.Store(true)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(link.LastOK()); age > 700*time.Millisecond {
				t.Fatalf("the store was last heard %v ago", age)
			}
		}
	})
}

// A store that does not answer must not hold up the end of the process beyond
// its part of the stop: the platform kills what is left after its grace.
func TestLeavingIsBounded(t *testing.T) {
	var left time.Time
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: make(map[string]uint64), hangs: true}
		timers := timer.NewService()
		link := supervisor.NewLink(timers.Now(), time.Second)
		a := announcer.New(announcer.DefaultConfig(3*time.Second), registrar.Member{Name: "vm-1"}, store.reading.Load,
			store, link, timers, zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		var duty sync.WaitGroup
		duty.Go(func() { a.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		left = time.Now()
		stop()
		duty.Wait()
		if took := time.Since(left); took > 300*time.Millisecond {
			t.Errorf("leaving took %v of a stop of 3s", took)
		}
		timers.Close()
	})
}
