package runner_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"jackdawcart.org/platform/soak"
)

// minServedShare is the share of the requests at a VM that is cut off from all targets
// which must be served, compared with those at the other VMs.
const minServedShare = 2.0 / 3

// links holds the links of one VM to the targets.
type links struct {
	mu      sync.Mutex
	proxies map[string]*soak.Proxy
	cut     soak.Impairment
}

// address returns where the VM reaches a target.
func (l *links) address(fx *fleet, target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if proxy, ok := l.proxies[target]; ok {
		return proxy.Address()
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for _, t := range fx.targets {
		if t.ID != target {
			continue
		}
		proxy, err := soak.NewProxy(t.Address())
		if err != nil {
			panic(err)
		}
		proxy.Set(l.cut)
		l.proxies[target] = proxy
		return proxy.Address()
	}
	return ""
}

// set impairs all links. With reset, their open connections are reset.
func (l *links) set(impairment soak.Impairment, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = impairment
	all := l.all()
	all.Set(impairment)
	if reset {
		all.Reset()
	}
}

// all returns the proxies of the links. The caller holds mu.
func (l *links) all() soak.Proxies { return slices.Collect(maps.Values(l.proxies)) }

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all().Close()
}

// newFleetWithLinks returns a fleet of three VMs and the links of the first one.
func newFleetWithLinks(t *testing.T) (*fleet, *links) {
	t.Helper()
	l := &links{proxies: make(map[string]*soak.Proxy)}
	t.Cleanup(l.close)
	return newFleetWith(t, 3, func(i int, fx *fleet) http.Handler {
		if i > 0 {
			return fx.store
		}
		return fx.store.View(func(target string) string { return l.address(fx, target) })
	}), l
}

// A VM that had lost its links to all targets refused every request, although the VMs
// beside it reached the targets. Once the links are back it must use them.
func TestVMWithoutLinksToTargetsServes(t *testing.T) {
	for name, c := range map[string]struct {
		impairment soak.Impairment
		reset      bool
	}{
		"silent":  {impairment: soak.Impairment{DropAll: true}},
		"refused": {impairment: soak.Impairment{Refuse: true}, reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, l := newFleetWithLinks(t)
			if share := fleet.servedShare(t, 0, "before"); share < 1 {
				t.Fatalf("%.2f of the requests are served before the cut", share)
			}
			l.set(c.impairment, c.reset)
			for end := time.Now().Add(stabilityWindow); time.Now().Before(end); {
				fleet.servedShare(t, 0, fmt.Sprint("window-", time.Now().UnixNano()))
			}
			if share := fleet.servedShare(t, 0, "cut"); share < minServedShare {
				t.Errorf("%.2f of the requests are served during the cut, want at least %.2f", share, minServedShare)
			}
			fleet.checkRunOnce(t, "cut")
			l.set(soak.Impairment{}, true)
			time.Sleep(stabilityWindow)
			if share := fleet.servedShare(t, 0, "after"); share < 1 {
				t.Errorf("%.2f of the requests are served after the cut", share)
			}
		})
	}
}

// servedRounds is how often servedShare sends a request of each kind.
const servedRounds = 10

// checkRunOnce checks that no request of servedShare that must not run twice has.
func (fx *fleet) checkRunOnce(t *testing.T, id string) {
	t.Helper()
	for n := range servedRounds {
		request, runs := fmt.Sprintf("%s-once-%d", id, n), 0
		for _, target := range fx.targets {
			runs += target.Runs(request)
		}
		if runs > 1 {
			t.Errorf("request %s ran %d times", request, runs)
		}
	}
}

// servedShare sends requests of each kind to a VM one after the other and returns the share
// of those that are served. Their IDs begin with the given text.
func (fx *fleet) servedShare(t *testing.T, vm int, id string) float64 {
	t.Helper()
	kinds := []struct{ method, path, name string }{
		{http.MethodGet, "/all/x", "all"}, {http.MethodPost, "/once/x", "once"}, {http.MethodGet, "/often/x", "often"},
	}
	served := 0
	for n := range servedRounds {
		for _, kind := range kinds {
			if fx.do(t, vm, kind.method, kind.path, fmt.Sprintf("%s-%s-%d", id, kind.name, n)) == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(servedRounds*len(kinds))
}

// A planned stop of a VM that takes the requests of one that is cut off must cut none of
// them: they are answered, or passed to another VM.
func TestPlannedStopOfVMThatTakesRequests(t *testing.T) {
	const (
		callers = 12
		length  = 8 * time.Second
	)
	fleet, l := newFleetWithLinks(t)
	l.set(soak.Impairment{DropAll: true}, true)
	fleet.servedShare(t, 0, "before")
	stopping := time.AfterFunc(length/4, func() { _ = fleet.vms[2].process.Signal(syscall.SIGTERM) })
	defer stopping.Stop()
	var mu sync.Mutex
	statuses := make(map[int]int)
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for k := range callers {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status := fleet.do(t, 0, http.MethodPost, "/once/x", fmt.Sprintf("stop-%d-%d", k, n))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	running.Wait()
	t.Logf("answers by status: %v", statuses)
	delete(statuses, http.StatusOK)
	if len(statuses) > 0 {
		t.Errorf("answers other than 200 by status: %v", statuses)
	}
}
