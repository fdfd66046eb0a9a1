package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/follower"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// fakeStore holds items. It can drop its history while watches wait, and lose
// their answers.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]storer.Item
	// oldest is the revision before which changes are dropped.
	oldest uint64
	down   bool
	// loseAnswers makes watches block until their context ends.
	loseAnswers bool
	wake        chan struct{}
	lists       int
	// older is what serializable reads return, if set.
	older             *backup
	serializableLists int
	// refuseLists makes all full reads fail.
	refuseLists bool
	// watches counts the calls of Watch.
	watches int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]storer.Item), wake: make(chan struct{})}
}

func (s *fakeStore) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storer.Item{Key: key, Value: text, Revision: s.revision}
	s.signal()
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storer.Item{Key: key, Revision: s.revision, Gone: true}
	s.signal()
}

// dropHistory makes a change and drops the history up to it without waking the
// waiting watches.
func (s *fakeStore) dropHistory(key string, value any) {
	s.mu.Lock()
	oldWake := s.wake
	s.wake = make(chan struct{})
	s.mu.Unlock()
	s.put(key, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake = oldWake
	s.oldest = s.revision
}

// backup is the content of a store at a revision.
type backup struct {
	revision uint64
	items    map[string]storer.Item
}

func (s *fakeStore) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.items)}
}

// restore takes the store back to a backup. Revisions since then are given out again.
// Waiting watches are not woken.
func (s *fakeStore) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = b.revision, b.items
}

// position returns the current position. The caller holds mu.
func (s *fakeStore) position() sequencer.Position {
	return sequencer.Position{Era: s.era, Revision: s.revision}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// setRevision simulates changes that no test looks at.
func (s *fakeStore) setRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *fakeStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *fakeStore) setLoseAnswers(loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = loseAnswers
	s.signal()
}

func (s *fakeStore) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

var errDown = &storer.Error{Op: "call", Kind: storer.KindUnreachable, Err: errors.New("the store is down")}

func (s *fakeStore) List(_ context.Context, prefix string) (storer.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down || s.refuseLists {
		return storer.Listing{}, errDown
	}
	listing := storer.Listing{Position: s.position()}
	for key, item := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && !item.Gone {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, nil
}

func (s *fakeStore) ListSerializable(ctx context.Context, prefix string) (storer.Listing, error) {
	s.mu.Lock()
	older := s.older
	s.serializableLists++
	s.lists--
	s.mu.Unlock()
	listing, err := s.List(ctx, prefix)
	if older == nil || err != nil {
		return listing, err
	}
	listing = storer.Listing{Position: sequencer.Position{Era: listing.Position.Era, Revision: older.revision}}
	for _, item := range older.items {
		if !item.Gone {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, nil
}

// reads returns how often everything was read.
func (s *fakeStore) reads() (consistent, serializable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.serializableLists
}

func (s *fakeStore) setRefuseLists() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseLists = true
}

func (s *fakeStore) setOlder(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older = &b
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, position sequencer.Position, wait time.Duration) (storer.Listing, error) {
	after := position.Revision
	timeout := time.After(wait)
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		wake := s.wake
		if s.loseAnswers {
			s.mu.Unlock()
			<-ctx.Done()
			return storer.Listing{}, errDown
		}
		if s.down {
			s.mu.Unlock()
			return storer.Listing{}, errDown
		}
		if after < s.oldest || position.Era != s.era {
			s.mu.Unlock()
			return storer.Listing{}, &storer.Error{Op: "watch", Kind: storer.KindHistoryLost, Err: errors.New("dropped")}
		}
		listing := storer.Listing{Position: s.position()}
		for key, item := range s.items {
			if len(key) >= len(prefix) && key[:len(prefix)] == prefix && item.Revision > after {
				listing.Items = append(listing.Items, item)
			}
		}
		s.mu.Unlock()
		if len(listing.Items) > 0 {
			return listing, nil
		}
		select {
		case <-wake:
		case <-timeout:
			return listing, nil
		case <-ctx.Done():
			return storer.Listing{}, errDown
		}
	}
}

func version(v int) map[string]any { return map[string]any{"version": v} }

func registration(state string) map[string]any { return numbered(state, 1) }

// numbered is a registration with the target's own count of its writes.
func numbered(state string, sequence int) map[string]any {
	return map[string]any{
		"service": "shard", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 2, "state": state, "coldRemainingMs": 0, "born": 1, "sequence": sequence,
	}
}

// fakePeers serves its changes while answers is set.
type fakePeers struct {
	mu       sync.Mutex
	answers  bool
	revision uint64
	changes  []storer.Item
	watches  int
	stopped  bool
}

func (p *fakePeers) Watch(ctx context.Context, after sequencer.Position) (storer.Listing, bool) {
	p.mu.Lock()
	answers := p.answers
	p.watches++
	p.mu.Unlock()
	if !answers {
		return storer.Listing{}, false
	}
	select {
	case <-time.After(250 * time.Millisecond):
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listing := storer.Listing{Position: sequencer.Position{Era: after.Era, Revision: max(p.revision, after.Revision)}}
	for _, item := range p.changes {
		if item.Revision > after.Revision {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, p.answers
}

func (p *fakePeers) WatchAny(ctx context.Context, after sequencer.Position) (storer.Listing, bool) {
	return p.Watch(ctx, after)
}

func (p *fakePeers) Rank() int { return 0 }

func (p *fakePeers) RecordSnapshot(storer.Listing) {}

func (p *fakePeers) RecordChanges(storer.Listing) {}

func (p *fakePeers) PublishSnapshot(sequencer.Position) {}

func (p *fakePeers) PublishChanges(sequencer.Position, storer.Listing) { p.setStopped(false) }

func (p *fakePeers) StopPublishing() { p.setStopped(true) }

func (p *fakePeers) setStopped(stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = stopped
}

func (p *fakePeers) set(answers bool, revision uint64, changes ...storer.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers, p.revision, p.changes = answers, revision, changes
}

// applied holds the versions that were put in force, and when, counted from the start.
type applied struct {
	mu       sync.Mutex
	versions []int64
	after    []time.Duration
	// evacuated are the numbers of evacuated failure domains.
	evacuated []int
}

func (a *applied) list() ([]int64, []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions, a.after
}

type fixture struct {
	applied applied
	peers   *fakePeers
	store   *fakeStore
	state   *follower.State
	link    *supervisor.Link
}

// run calls check with a running follower in virtual time.
func run(t *testing.T, check func(fx *fixture)) {
	t.Helper()
	runPrepared(t, func(*fixture) {}, check)
}

// runPrepared is like run and calls prepare before the follower starts.
func runPrepared(t *testing.T, prepare, check func(fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewService()
		fx := &fixture{peers: &fakePeers{}, store: newFakeStore(), state: follower.NewState(follower.DefaultConfig(3*time.Second, 4*time.Second).GracePeriod)}
		fx.link = supervisor.NewLink(timers.Now(), 2400*time.Millisecond)
		fx.store.put(decoder.ConfigurationKey, version(1))
		prepare(fx)
		f := follower.New(follower.DefaultConfig(3*time.Second, 4*time.Second), fx.store, fx.link, fx.peers, fx.state, timers, zap.NewNop(),
			follower.Listeners{
				Table: fx.record(timers.Now()), Target: func(registrar.Event) {}, EntryVMs: func([]registrar.Member) {}, Evacuated: fx.recordEvacuated,
				AllItems: func([]storer.Item) {}, ChangedItems: func([]storer.Item) {},
			})
		ctx, stop := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		for _, task := range []func(context.Context){f.Run, f.SweepExpired} {
			tasks.Go(func() { task(ctx) })
		}
		time.Sleep(2 * time.Second)
		check(fx)
		stop()
		tasks.Wait()
		timers.Close()
	})
}

// record returns a listener that records the versions put in force since start.
func (fx *fixture) record(start time.Time) func(*router.Table) {
	return func(table *router.Table) {
		fx.applied.mu.Lock()
		defer fx.applied.mu.Unlock()
		fx.applied.versions = append(fx.applied.versions, table.Version)
		fx.applied.after = append(fx.applied.after, time.Since(start))
	}
}

func (fx *fixture) recordEvacuated(domains container.Set[string]) {
	fx.applied.mu.Lock()
	defer fx.applied.mu.Unlock()
	fx.applied.evacuated = append(fx.applied.evacuated, len(domains))
}

func (fx *fixture) version() int64 { return fx.state.Table().Version }

// A change whose watches are never woken, because the store dropped its history,
// must be in force within three seconds after the stability window of four seconds.
// A watch that waited 15 seconds left the older version in force.
func TestHistoryDroppedDuringWatch(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.dropHistory(decoder.ConfigurationKey, version(2))
		time.Sleep(4500 * time.Millisecond)
		if got := fx.version(); got != 2 {
			t.Fatalf("version %d is in force, want 2", got)
		}
	})
}

// A lost answer must not delay a change beyond the stability window. If it counted
// as an outage, the next call would wait for the next renewal of the lease: 63 of
// 64 VMs then handled requests by the older version for 6.4 seconds.
func TestUnansweredWatch(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.setLoseAnswers(true)
		fx.store.put(decoder.ConfigurationKey, version(2))
		time.Sleep(time.Second)
		fx.store.setLoseAnswers(false)
		time.Sleep(4 * time.Second)
		if got := fx.version(); got != 2 {
			t.Fatalf("version %d is in force, want 2", got)
		}
	})
}

// An older version that is read later must not replace the version in force.
func TestOlderVersionIsIgnored(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.put(decoder.ConfigurationKey, version(5))
		time.Sleep(1500 * time.Millisecond)
		fx.store.put(decoder.ConfigurationKey, version(4))
		time.Sleep(5 * time.Second)
		if got := fx.version(); got != 5 {
			t.Fatalf("version %d is in force, want 5", got)
		}
	})
}

// A target must get no new requests shortly after its registration says draining.
func TestDrainingTargetIsRemoved(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.put("servers/i-1", registration("ready"))
		time.Sleep(2 * time.Second)
		if got := len(fx.state.Targets("shard")); got != 1 {
			t.Fatalf("%d targets, want 1", got)
		}
		fx.store.put("servers/i-1", registration("draining"))
		time.Sleep(1500 * time.Millisecond)
		if got := len(fx.state.Targets("shard")); got != 0 {
			t.Fatalf("%d targets after draining began, want 0", got)
		}
	})
}

// An entry of another writer that lacks a field must neither register nor remove a target,
// also when a VM reads it in full. It named a target under a foreign service, and an
// unreadable one removed the target.
func TestInvalidRegistrationIsIgnored(t *testing.T) {
	foreign := registration("ready")
	foreign["service"] = "other"
	delete(foreign, "sequence")
	for name, value := range map[string]any{"missing field": foreign, "text": "x", "number": 7} {
		t.Run(name, func(t *testing.T) {
			run(t, func(fx *fixture) {
				fx.store.put("servers/i-1", registration("ready"))
				time.Sleep(2 * time.Second)
				fx.store.put("servers/i-1", value)
				fx.store.put("servers/i-2", value)
				time.Sleep(2 * time.Second)
				fx.expectTargets(t, "after the entries", 1, 0)
				fx.store.dropHistory(decoder.ConfigurationKey, version(2))
				time.Sleep(6 * time.Second)
				fx.expectTargets(t, "after a full read", 1, 0)
				if got := fx.version(); got != 2 {
					t.Errorf("version %d is in force, want 2", got)
				}
			})
		})
	}
}

// expectTargets checks the number of targets of the services shard and other.
func (fx *fixture) expectTargets(t *testing.T, when string, shard, other int) {
	t.Helper()
	if a, b := len(fx.state.Targets("shard")), len(fx.state.Targets("other")); a != shard || b != other {
		t.Errorf("%s: %d and %d targets, want %d and %d", when, a, b, shard, other)
	}
}

// A target whose registration expired while the store was down is held for the grace
// period, in which it may register again, and then removed.
func TestExpiredRegistrationIsHeld(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.put("servers/i-1", registration("ready"))
		time.Sleep(2 * time.Second)
		fx.store.setDown(true)
		time.Sleep(4 * time.Second)
		fx.store.remove("servers/i-1")
		fx.store.setDown(false)
		fx.link.Succeeded(time.Now())
		time.Sleep(1500 * time.Millisecond)
		if got := len(fx.state.Targets("shard")); got != 1 {
			t.Fatalf("%d targets after the outage, want the held one", got)
		}
		time.Sleep(2 * time.Second)
		if got := len(fx.state.Targets("shard")); got != 0 {
			t.Fatalf("%d targets after the grace period, want 0", got)
		}
	})
}

// Targets of an evacuated failure domain must get no requests until the evacuation is taken
// back, also one that registers meanwhile; evacuations that end while nothing is read count.
func TestEvacuatedTargets(t *testing.T) {
	run(t, func(fx *fixture) {
		targets := func() int {
			time.Sleep(2 * time.Second)
			return len(fx.state.Targets("shard"))
		}
		fx.store.put("servers/i-1", registration("ready"))
		if got := targets(); got != 1 {
			t.Fatalf("%d targets before the evacuation, want 1", got)
		}
		fx.store.put("op/evacuate/a", struct{}{})
		fx.store.put("op/evacuate/b", struct{}{})
		if got := targets(); got != 0 {
			t.Errorf("%d targets in an evacuated failure domain, want none", got)
		}
		fx.store.put("servers/i-2", registration("ready"))
		if got := targets(); got != 0 {
			t.Errorf("%d targets that registered in an evacuated failure domain, want none", got)
		}
		fx.store.remove("op/evacuate/a")
		if got := targets(); got != 2 {
			t.Errorf("%d targets after the evacuation was taken back, want 2", got)
		}
	})
}

// Without an outage, a target whose registration ends is removed at once.
func TestRemovedRegistrationIsNotHeld(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.put("servers/i-1", registration("ready"))
		time.Sleep(2 * time.Second)
		fx.store.remove("servers/i-1")
		time.Sleep(1500 * time.Millisecond)
		if got := len(fx.state.Targets("shard")); got != 0 {
			t.Fatalf("%d targets, want 0", got)
		}
	})
}

// While another VM serves the changes, the store must not be watched, even
// while the link to it is down. When that VM stops answering, a change must still be in
// force in time, and an older version must not return.
func TestPeerReplacesStore(t *testing.T) {
	run(t, func(fx *fixture) {
		text, err := json.Marshal(version(2))
		if err != nil {
			t.Fatal(err)
		}
		fx.peers.set(true, 20, storer.Item{Key: decoder.ConfigurationKey, Value: text, Revision: 20})
		time.Sleep(4 * time.Second)
		if got := fx.version(); got != 2 {
			t.Fatalf("version %d is in force, want 2 from the peer", got)
		}
		before := fx.store.watchCount()
		fx.link.Failed()
		time.Sleep(10 * time.Second)
		if calls := fx.store.watchCount() - before; calls != 0 {
			t.Fatalf("%d watches of the store while a peer answers", calls)
		}
		fx.link.Succeeded(time.Now())
		fx.store.setRevision(20)
		fx.peers.set(false, 0)
		fx.store.put(decoder.ConfigurationKey, version(3))
		time.Sleep(time.Second)
		if got := fx.version(); got != 3 {
			t.Fatalf("version %d is in force, want 3", got)
		}
	})
}

// A store that is restored gives revisions out again. A change at one of them must be in
// force in time, also if no watch is woken.
func TestRevisionGivenOutAgain(t *testing.T) {
	run(t, func(fx *fixture) {
		before := fx.store.backup()
		for v := range 5 {
			fx.store.put(decoder.ConfigurationKey, version(2+v))
		}
		time.Sleep(2 * time.Second)
		fx.store.restore(before)
		fx.store.put(decoder.ConfigurationKey, version(6))
		fx.store.put(decoder.ConfigurationKey, version(7))
		time.Sleep(4500 * time.Millisecond)
		if got := fx.version(); got != 7 {
			t.Fatalf("version %d is in force, want 7", got)
		}
	})
}

// A target that drains after the store was restored must get no new requests, although
// the revision of its registration is lower than one that is known from before.
func TestDrainingAfterRestore(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.put("servers/i-1", numbered("ready", 1))
		before := fx.store.backup()
		for n := range 5 {
			fx.store.put("servers/i-1", numbered("ready", 2+n))
		}
		time.Sleep(2 * time.Second)
		fx.store.restore(before)
		fx.store.put("servers/i-1", numbered("draining", 7))
		time.Sleep(5 * time.Second)
		if got := len(fx.state.Targets("shard")); got != 0 {
			t.Fatalf("%d targets after draining began, want 0", got)
		}
	})
}

// A target that has left must not be used again because the copy from which the store was
// restored still has its registration.
func TestRestoredRegistrationOfTargetThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*fakeStore){
		"draining": func(s *fakeStore) { s.put("servers/i-1", numbered("draining", 2)) },
		"removed":  func(s *fakeStore) { s.remove("servers/i-1") },
		"drained": func(s *fakeStore) {
			s.put("servers/i-1", numbered("draining", 2))
			s.remove("servers/i-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(fx *fixture) {
				fx.store.put("servers/i-1", numbered("ready", 1))
				time.Sleep(2 * time.Second)
				before := fx.store.backup()
				leave(fx.store)
				time.Sleep(2 * time.Second)
				fx.store.restore(before)
				for range 4 {
					time.Sleep(time.Second)
					if got := len(fx.state.Targets("shard")); got != 0 {
						t.Fatalf("%d targets after the restore, want 0", got)
					}
				}
			})
		})
	}
}

// A target whose registration was written after the copy must stay in use until it has
// had the time to register again, however short the outage was.
func TestRegistrationMissingInRestoredCopy(t *testing.T) {
	run(t, func(fx *fixture) {
		before := fx.store.backup()
		fx.store.put("servers/i-1", numbered("ready", 1))
		time.Sleep(2 * time.Second)
		fx.store.restore(before)
		fx.store.put("entry-vms/x", "wakes the watch")
		time.Sleep(2 * time.Second)
		if got := len(fx.state.Targets("shard")); got != 1 {
			t.Fatalf("%d targets after the restore, want the held one", got)
		}
		fx.store.put("servers/i-1", numbered("ready", 2))
		time.Sleep(4 * time.Second)
		if got := len(fx.state.Targets("shard")); got != 1 {
			t.Fatalf("%d targets after it registered again, want 1", got)
		}
	})
}
