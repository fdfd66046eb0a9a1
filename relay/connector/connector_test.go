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

// phaseRecorder records the phases that a connector publishes, in order.
type phaseRecorder struct {
	mu     sync.Mutex
	phases []string
	// beforePut is called before a phase is recorded.
	beforePut func()
}

func (r *phaseRecorder) PutTarget(state *peerpb.TargetState) {
	if r.beforePut != nil {
		r.beforePut()
	}
	r.add(strings.TrimPrefix(state.Phase.String(), "TARGET_PHASE_"))
}

func (r *phaseRecorder) RemoveTarget(string, string, string) { r.add("removed") }

func (r *phaseRecorder) add(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phases = append(r.phases, phase)
}

func (r *phaseRecorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.phases)
}

// await waits until the last recorded phase is the given one.
func (r *phaseRecorder) await(t *testing.T, phase string) {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		if got := r.list(); len(got) > 0 && got[len(got)-1] == phase {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("last phase of %v is not %s after 3s", r.list(), phase)
}

// startTarget starts a target whose status is "serving" and which answers searches
// once release is closed.
func startTarget(t *testing.T, release <-chan struct{}) netip.AddrPort {
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

func ownedTargets(addr netip.AddrPort, allotment int) []connector.Target {
	return []connector.Target{{
		Service: "library", Set: "old", Name: "t1", Address: addr, FailureDomain: "east",
		Slots: 2, Connections: 24, Allotment: allotment, Owners: 1,
	}}
}

func newConnector(r *phaseRecorder) (*connector.Connector, *dispatcher.Dispatcher) {
	timers := timer.NewService()
	d := dispatcher.New(timers, nil)
	return connector.New("east-1", 1, timers, d, r, tracer.Disabled(), zap.NewNop()), d
}

// A target on a leaving VM must drain before its own status changes, because the
// status may lag by more than the guaranteed 3 s.
func TestLeavingVMDrainsItsTargets(t *testing.T) {
	addr := startTarget(t, nil)
	tests := map[string]struct{ names, addresses []string }{
		"by name":    {names: []string{"t1"}},
		"by address": {addresses: []string{addr.String()}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &phaseRecorder{}
			c, _ := newConnector(r)
			defer c.Close()
			c.Own(ownedTargets(addr, 6))
			r.await(t, "SERVING")
			c.MarkLeaving(test.names, test.addresses)
			r.await(t, "DRAINING")
			// Another reader's list may lag, so a list without the VM must not end
			// the drain at once. The mark must still expire.
			c.MarkLeaving(nil, nil)
			time.Sleep(time.Second)
			r.await(t, "DRAINING")
			time.Sleep(10 * time.Second)
			r.await(t, "SERVING")
		})
	}
}

// Each change of the members may change the allotment and the number of owners.
// Neither change may end requests or release the target.
func TestAllotmentChangeKeepsRunningRequests(t *testing.T) {
	release := make(chan struct{})
	addr := startTarget(t, release)
	r := &phaseRecorder{}
	c, d := newConnector(r)
	c.Own(ownedTargets(addr, 6))
	r.await(t, "SERVING")
	const jobs = 6 // Four run within the concurrency limit; the others are queued.
	results := make(chan dispatcher.Result, jobs)
	for i := range jobs {
		d.Submit(&dispatcher.Job{
			QueryID: "q", Sub: uint32(i), Target: addr.String(), Shard: "s", Snapshot: "n",
			Deadline: time.Now().Add(5 * time.Second), Reply: func(result dispatcher.Result) { results <- result },
		})
	}
	for allotment := range 30 {
		targets := ownedTargets(addr, 2+allotment%5)
		targets[0].Owners = 1 + allotment%2
		c.Own(targets)
		time.Sleep(30 * time.Millisecond)
	}
	close(release)
	for range jobs {
		if result := <-results; result.Outcome != peerpb.Outcome_OUTCOME_RAN {
			t.Errorf("request ended with outcome %v, failure %v", result.Outcome, result.Failure)
		}
	}
	if diff := cmp.Diff([]string{"SERVING"}, r.list()); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	c.Close()
	d.Close()
}

// A status answer that arrives during the release of its target must not publish
// the target again, or gateways would keep the relay as an owner.
func TestReleasedTargetIsNotAnnouncedAgain(t *testing.T) {
	addr := startTarget(t, nil)
	reached, released := make(chan struct{}), make(chan struct{})
	var once sync.Once
	r := &phaseRecorder{beforePut: func() {
		once.Do(func() { close(reached) })
		select {
		case <-released:
		case <-time.After(100 * time.Millisecond):
		}
	}}
	c, _ := newConnector(r)
	c.Own(ownedTargets(addr, 6))
	<-reached
	c.Own(nil)
	close(released)
	c.Close()
	if diff := cmp.Diff([]string{"SERVING", "removed"}, r.list()); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
}
