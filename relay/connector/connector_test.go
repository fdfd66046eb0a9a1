package connector_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/relay/connector"
)

// reports keeps the phases that a connector announces, in order.
type reports struct {
	mu     sync.Mutex
	phases []string
	// put is called before a report is kept.
	put func()
}

func (r *reports) PutTarget(state *peerpb.TargetState) {
	if r.put != nil {
		r.put()
	}
	r.add(strings.TrimPrefix(state.Phase.String(), "TARGET_PHASE_"))
}

func (r *reports) RemoveTarget(string, string, string) { r.add("removed") }

func (r *reports) add(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phases = append(r.phases, phase)
}

func (r *reports) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.phases)
}

// await waits until the last report is the given one.
func (r *reports) await(t *testing.T, phase string) {
	t.Helper()
	limit := time.Now().Add(3 * time.Second)
	for time.Now().Before(limit) {
		if got := r.list(); len(got) > 0 && got[len(got)-1] == phase {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("reports %v do not end with %s within 3s", r.list(), phase)
}

// target serves a status of "serving" and answers a search after release.
func target(t *testing.T, release <-chan struct{}) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"target":"t1","state":"serving","slots":2,"snapshots":[]}`))
	})
	mux.HandleFunc("POST /v1/search", func(w http.ResponseWriter, r *http.Request) {
		var body map[string]any
		_ = json.NewDecoder(r.Body).Decode(&body)
		<-release
		_ = json.NewEncoder(w).Encode(body)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func owned(addr netip.AddrPort, allotment int) []connector.Target {
	return []connector.Target{{
		Service: "library", Set: "old", Name: "t1", Address: addr, FailureDomain: "east",
		Slots: 2, Connections: 24, Allotment: allotment, Owners: 1,
	}}
}

func newConnector(r *reports) (*connector.Connector, *dispatcher.Dispatcher) {
	timers := timer.NewService()
	d := dispatcher.New(timers, nil)
	return connector.New("east-1", 1, timers, d, r, tracer.Disabled(), zap.NewNop()), d
}

// A target on a VM that the platform says is leaving got work until its own
// status changed, which may lag by more than the 3 s of the guarantee.
func TestLeavingVMDrainsItsTargets(t *testing.T) {
	addr := target(t, nil)
	tests := map[string]struct{ names, addresses []string }{
		"by name":    {names: []string{"t1"}},
		"by address": {addresses: []string{addr.String()}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &reports{}
			c, _ := newConnector(r)
			defer c.Close()
			c.Own(owned(addr, 6))
			r.await(t, "SERVING")
			c.MarkLeaving(test.names, test.addresses)
			r.await(t, "DRAINING")
			// The list of another reader may lag, so one that does not name the VM
			// must not bring it back at once; one that stays silent must.
			c.MarkLeaving(nil, nil)
			time.Sleep(time.Second)
			r.await(t, "DRAINING")
			time.Sleep(10 * time.Second)
			r.await(t, "SERVING")
		})
	}
}

// A change of the allotment or of the number of owners, as each change of the
// members brings, must neither end requests nor release the target.
func TestAllotmentChangeKeepsRunningRequests(t *testing.T) {
	release := make(chan struct{})
	addr := target(t, release)
	r := &reports{}
	c, d := newConnector(r)
	c.Own(owned(addr, 6))
	r.await(t, "SERVING")
	const jobs = 6 // The limit lets four run; the others are queued.
	results := make(chan dispatcher.Result, jobs)
	for i := range jobs {
		d.Submit(&dispatcher.Job{
			QueryID: "q", Sub: uint32(i), Target: addr.String(), Shard: "s", Snapshot: "n",
			Deadline: time.Now().Add(5 * time.Second), Reply: func(result dispatcher.Result) { results <- result },
		})
	}
	for allotment := range 30 {
		targets := owned(addr, 2+allotment%5)
		targets[0].Owners = 1 + allotment%2
		c.Own(targets)
		time.Sleep(30 * time.Millisecond)
	}
	close(release)
	for range jobs {
		if result := <-results; result.Outcome != peerpb.Outcome_OUTCOME_RAN {
			t.Errorf("a running request ended as %v, %v", result.Outcome, result.Failure)
		}
	}
	if diff := cmp.Diff([]string{"SERVING"}, r.list()); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	c.Close()
	d.Close()
}

// A status answer that came while its target was released announced the target
// again, and gateways kept a relay that no longer owned it as an owner.
func TestReleasedTargetIsNotAnnouncedAgain(t *testing.T) {
	addr := target(t, nil)
	reached, released := make(chan struct{}), make(chan struct{})
	var once sync.Once
	r := &reports{put: func() {
		once.Do(func() { close(reached) })
		select {
		case <-released:
		case <-time.After(100 * time.Millisecond):
		}
	}}
	c, _ := newConnector(r)
	c.Own(owned(addr, 6))
	<-reached
	c.Own(nil)
	close(released)
	c.Close()
	if diff := cmp.Diff([]string{"SERVING", "removed"}, r.list()); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}
