package follower_test

import (
	"context"
	"fmt"
	"strings"
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

// versionStore holds every version of the configuration, and returns at most perWatch of them
// with each watch.
type versionStore struct {
	perWatch int

	mu       sync.Mutex
	versions []storer.Item
	wake     chan struct{}
}

// write writes the next versions, each of a size that fills half of a page.
func (s *versionStore) write(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		n := uint64(len(s.versions) + 1)
		text := fmt.Sprintf(`{"version":%d,"padding":%q}`, n, strings.Repeat("x", 600<<10))
		s.versions = append(s.versions, storer.Item{Key: decoder.ConfigurationKey, Value: []byte(text), Revision: n})
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *versionStore) List(context.Context, string) (storer.Listing, error) {
	return storer.Listing{}, nil
}

func (s *versionStore) ListSerializable(context.Context, string) (storer.Listing, error) {
	return storer.Listing{}, nil
}

func (s *versionStore) Watch(ctx context.Context, _ string, after sequencer.Position, wait time.Duration) (storer.Listing, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		wake, items := s.wake, s.versions[after.Revision:]
		s.mu.Unlock()
		if len(items) > 0 {
			items = items[:min(len(items), s.perWatch)]
			return storer.Listing{Items: items, Position: sequencer.Position{Revision: items[len(items)-1].Revision}}, nil
		}
		select {
		case <-wake:
		case <-timeout:
			return storer.Listing{Position: after}, nil
		case <-ctx.Done():
			return storer.Listing{}, errDown
		}
	}
}

// followVersions runs a follower of a store while f writes versions, in virtual time. It returns
// the versions that were put in force.
func followVersions(t *testing.T, store *versionStore, f func()) (versions []int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store.wake = make(chan struct{})
		timers := timer.NewService()
		config := follower.DefaultConfig(3*time.Second, 4*time.Second)
		reader := follower.New(config, store, supervisor.NewLink(timers.Now(), time.Second), &fakePeers{}, follower.NewState(time.Second), timers, zap.NewNop(),
			follower.Listeners{
				Table:  func(table *router.Table) { versions = append(versions, table.Version) },
				Target: func(registrar.Event) {}, EntryVMs: func([]registrar.Member) {}, Evacuated: func(container.Set[string]) {},
				AllItems: func([]storer.Item) {}, ChangedItems: func([]storer.Item) {},
			})
		ctx, stop := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { reader.Run(ctx) })
		f()
		stop()
		tasks.Wait()
		timers.Close()
	})
	return versions
}

// The store answers a watch with about 1 MB, so each large version came with a watch of its own
// and waited for the pause between watches. The last of a series was in force 10 s late.
func TestSeriesOfLargeVersions(t *testing.T) {
	for _, n := range []int{1, 12, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			store := &versionStore{perWatch: 1}
			versions := followVersions(t, store, func() {
				time.Sleep(time.Second)
				for range n {
					store.write(1)
					time.Sleep(330 * time.Millisecond)
				}
				time.Sleep(1200 * time.Millisecond)
			})
			if len(versions) == 0 || versions[len(versions)-1] != int64(n) {
				t.Errorf("versions %v were in force 1.5 s after the last write, want the last to be %d", versions, n)
			}
		})
	}
}

// Versions that a newer one has replaced when they arrive must not be decoded.
func TestOutdatedVersionsAreSkipped(t *testing.T) {
	store := &versionStore{perWatch: 12}
	versions := followVersions(t, store, func() {
		time.Sleep(time.Second)
		store.write(1)
		time.Sleep(10 * time.Millisecond)
		store.write(12)
		time.Sleep(3 * time.Second)
	})
	if len(versions) != 2 || versions[len(versions)-1] != 13 {
		t.Errorf("versions %v were in force, want 1 and 13", versions)
	}
}
