package follower_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// A VM that starts must not become ready with a configuration that has been replaced,
// although the full read shows it: callers would be served by it for seconds.
func TestFirstReadIsOld(t *testing.T) {
	runPrepared(t, func(fx *fixture) {
		fx.store.put("servers/gone", registration("ready"))
		fx.store.setOlder(fx.store.backup())
		fx.store.put(decoder.ConfigurationKey, version(2))
		fx.store.remove("servers/gone")
		fx.store.put("servers/new", registration("ready"))
	}, func(fx *fixture) {
		versions, _ := fx.applied.list()
		if diff := cmp.Diff([]int64{2}, versions); diff != "" {
			t.Errorf("versions in force (-want +got):\n%s", diff)
		}
		targets := fx.state.Targets("shard")
		if len(targets) != 1 || targets[0].ID != "new" {
			t.Errorf("targets: %v", targets)
		}
		if consistent, serializable := fx.store.reads(); consistent != 0 || serializable != 1 {
			t.Errorf("%d consistent and %d serializable full reads, want 0 and 1", consistent, serializable)
		}
	})
}

// A first full read that may be old must be applied in time although nothing changes, and
// although the watch after it gets no answer.
func TestFirstReadWithoutChanges(t *testing.T) {
	const bound = time.Second
	runPrepared(t, func(*fixture) {}, func(fx *fixture) { checkVersion(t, fx, 1) })
	runPrepared(t, func(fx *fixture) { fx.store.setLoseAnswers(true) }, func(fx *fixture) {
		if _, after := fx.applied.list(); len(after) == 0 || after[0] > bound {
			t.Errorf("configuration in force after %v, want at most %v", after, bound)
		}
	})
}

// A full read that is older than the history of the store must be followed by one that is
// not, and not by the same again.
func TestFirstReadIsOlderThanHistory(t *testing.T) {
	runPrepared(t, func(fx *fixture) {
		fx.store.setOlder(fx.store.backup())
		fx.store.dropHistory(decoder.ConfigurationKey, version(2))
	}, func(fx *fixture) {
		checkVersion(t, fx, 2)
		if consistent, serializable := fx.store.reads(); consistent != 1 || serializable != 1 {
			t.Errorf("%d consistent and %d serializable full reads, want 1 and 1", consistent, serializable)
		}
	})
}

// A full read that is older than what the VM knows must not end an evacuation: requests would
// be sent to the failure domain until the next changes are read.
func TestLaterReadIsOlderThanState(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.setOlder(fx.store.backup())
		fx.store.put("op/evacuate/a", 1)
		time.Sleep(5 * time.Second)
		fx.store.dropHistory(decoder.ConfigurationKey, version(2))
		time.Sleep(10 * time.Second)
		checkVersion(t, fx, 2)
		fx.applied.mu.Lock()
		defer fx.applied.mu.Unlock()
		if diff := cmp.Diff([]int{1}, fx.applied.evacuated); diff != "" {
			t.Errorf("evacuated failure domains after each change (-want +got):\n%s", diff)
		}
	})
}

// A VM that has lost the history and cannot read in full must follow another VM. It waited
// for the store instead, by an older configuration.
func TestReadFailsAfterLostHistory(t *testing.T) {
	run(t, func(fx *fixture) {
		fx.store.setRefuseLists()
		fx.store.dropHistory(decoder.ConfigurationKey, version(2))
		time.Sleep(5 * time.Second)
		fx.peers.set(true, 100, storer.Item{Key: decoder.ConfigurationKey, Value: []byte(`{"version":3}`), Revision: 100})
		time.Sleep(time.Second)
		checkVersion(t, fx, 3)
	})
}

// A store that answers renewals but refuses reads must not get a read after each renewal: a
// VM called it every half second, for as long as it refused.
func TestRefusedReads(t *testing.T) {
	const maxReads = 10
	runPrepared(t, func(fx *fixture) { fx.store.setRefuseLists() }, func(fx *fixture) {
		_, before := fx.store.reads()
		for range 90 {
			time.Sleep(100 * time.Millisecond)
			fx.link.Succeeded(time.Now())
		}
		if _, after := fx.store.reads(); after == before || after-before > maxReads {
			t.Errorf("%d reads in 9 s, want 1 to %d", after-before, maxReads)
		}
	})
}

func checkVersion(t *testing.T, fx *fixture, want int64) {
	t.Helper()
	if got := fx.version(); got != want {
		t.Errorf("version %d in force, want %d", got, want)
	}
}
