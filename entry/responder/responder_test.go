package responder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/entry/inspector"
	"jackdawcart.org/entry/responder"
	"jackdawcart.org/platform/standin"
)

// fixture is a responder with real connections to stand-in targets.
type fixture struct {
	*responder.Responder
	directory *directory
	scope     tally.TestScope
	targets   map[string][]*standin.Target
}

// newFixture starts two targets for each service and routes to them: "/all/" goes
// to all shards, "/once/" (not idempotent) and "/often/" (idempotent) go to the
// service "plain".
func newFixture(t *testing.T, shards int) *fixture {
	t.Helper()
	return newFixtureWithObjective(t, shards, 100*time.Millisecond)
}

// newFixtureWithObjective returns a fixture whose routes have the given latency
// objective. A test that expects complete answers needs one that a busy machine
// doesn't miss.
func newFixtureWithObjective(t *testing.T, shards int, objective time.Duration) *fixture {
	t.Helper()
	fx := &fixture{scope: tally.NewTestScope("", nil), directory: &directory{targets: make(map[string][]registrar.Record)}, targets: make(map[string][]*standin.Target)}
	names := []string{"plain"}
	var shardNames []string
	for i := range shards {
		shardNames = append(shardNames, fmt.Sprintf("shard-%d", i))
	}
	var services []router.Service
	for i, name := range append(names, shardNames...) {
		services = append(services, router.Service{Name: name, MaxConnections: 64})
		for k := range 2 {
			target, err := standin.NewTarget(fmt.Sprintf("i-%s-%d", name, k), name, fmt.Sprintf("record-%09d", i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			fx.targets[name] = append(fx.targets[name], target)
			fx.directory.targets[name] = append(fx.directory.targets[name], registrar.Record{Target: registrar.Target{
				ID: target.ID, Service: name, Slots: 4, Domain: "a", Address: netip.MustParseAddrPort(target.Address()),
			}})
		}
	}
	newRoute := func(prefix string, idempotent bool) router.Route {
		return router.Route{
			Name: prefix, Host: "x.example", Prefix: prefix, Idempotent: idempotent, LatencyObjective: objective,
			Timeout: time.Second, MaxAttempts: 2, Split: []router.WeightedService{{Service: "plain", Weight: 1}},
		}
	}
	sharded := newRoute("/all/", true)
	sharded.Split, sharded.Shards, sharded.MaxRecords, sharded.MinShardShare = nil, shardNames, 3, 0.75
	fx.directory.table = router.NewTable(1, router.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000},
		[]router.Route{newRoute("/once/", false), newRoute("/often/", true), sharded}, services)
	dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address.String())
	}
	pools := courier.New(dial, courier.Hooks{})
	t.Cleanup(pools.Close)
	fx.Responder = responder.New(responder.DefaultConfig(), responder.Dependencies{
		Domain: "a", Directory: fx.directory, Pools: pools, Timers: timer.NewService(), Spans: tracer.Disabled(),
		Placer:    placer.New(placer.DefaultConfig(), "vm-1", "a", rand.New(rand.NewPCG(1, 2))),
		Inspector: inspector.New(dial, timer.NewService(), tally.NoopScope, zap.NewNop()),
		Detector:  diverter.NewDetector(),
		Delegator: delegator.New(registrar.Member{Name: "vm-1", Domain: "a"}, dial, timer.NewService()),
		Shares:    sharer.NewGroup(sharer.DefaultConfig()),
		OnVacated: func(string) {},
	}, fx.scope, zap.NewNop())
	return fx
}

// setBehaviour changes the behaviour of all targets of a service.
func (fx *fixture) setBehaviour(service string, behaviour standin.Behaviour) {
	for _, target := range fx.targets[service] {
		target.Set(behaviour, time.Millisecond)
	}
}

// runs returns how often the targets of a service ran a request.
func (fx *fixture) runs(service, request string) int {
	n := 0
	for _, target := range fx.targets[service] {
		n += target.Runs(request)
	}
	return n
}

func (fx *fixture) do(method, path, id, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://x.example"+path, strings.NewReader(body))
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	w := httptest.NewRecorder()
	fx.ServeHTTP(w, request)
	return w
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A complete answer holds the greatest records of all shards and the stamp of each
// shard.
func TestCompleteAnswer(t *testing.T) {
	fx := newFixtureWithObjective(t, 4, 900*time.Millisecond)
	w := fx.do(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "body", w.Body.String(), "record-000000004record-000000003record-000000002")
	check(t, "missing", w.Header().Get("Missing-Parts"), "0")
	check(t, "parts", len(strings.Split(w.Header().Get("Part-Stamps"), ",")), 4)
}

// An answer that lacks a shard must state so, and must be sent before the latency
// objective of the route has passed.
func TestPartialAnswer(t *testing.T) {
	fx := newFixture(t, 4)
	fx.setBehaviour("shard-3", standin.Hanging)
	began := time.Now()
	w := fx.do(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "missing", w.Header().Get("Missing-Parts"), "1")
	check(t, "parts", len(strings.Split(w.Header().Get("Part-Stamps"), ",")), 3)
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Fatalf("request took %v, want at most 500ms", took)
	}
}

// A signed answer that reports a failure must not count as the answer of its shard.
func TestFailedShardCountsAsMissing(t *testing.T) {
	fx := newFixture(t, 4)
	fx.setBehaviour("shard-0", standin.Failing)
	w := fx.do(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "missing", w.Header().Get("Missing-Parts"), "1")
}

// An answer below the minimum share of shards must not be a success. As some targets
// have run the request, it must not be reported as not run either.
func TestTooFewShardsAnswered(t *testing.T) {
	fx := newFixture(t, 4)
	fx.setBehaviour("shard-0", standin.Disconnecting)
	fx.setBehaviour("shard-1", standin.Disconnecting)
	w := fx.do(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusBadGateway)
}

// A request that is not idempotent must run at most once whatever its target does,
// and be reported as not run only if no target ran it.
func TestRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name      string
		behaviour standin.Behaviour
		status    int
		runs      int
	}{
		{"healthy target", standin.Healthy, http.StatusOK, 1},
		{"full", standin.Full, http.StatusServiceUnavailable, 0},
		{"failing", standin.Failing, http.StatusInternalServerError, 1},
		{"disconnecting", standin.Disconnecting, http.StatusBadGateway, 1},
		{"truncating", standin.Truncating, http.StatusBadGateway, 1},
		{"hanging", standin.Hanging, http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, 0)
			fx.setBehaviour("plain", c.behaviour)
			w := fx.do(http.MethodPost, "/once/q", "r1", "certificate")
			check(t, "status", w.Code, c.status)
			check(t, "runs", fx.runs("plain", "r1"), c.runs)
		})
	}
}

// An idempotent request must be retried if the first target closes the connection
// without an answer.
func TestIdempotentRequestIsRetried(t *testing.T) {
	fx := newFixture(t, 0)
	fx.targets["plain"][0].Set(standin.Disconnecting, time.Millisecond)
	served := 0
	for i := range 20 {
		if fx.do(http.MethodGet, "/often/q", fmt.Sprint(i), "").Code == http.StatusOK {
			served++
		}
	}
	// The repeat budget starts small; without retries half of them would fail.
	if served < 15 {
		t.Fatalf("%d of 20 requests succeeded, want at least 15", served)
	}
}

// Invalid requests must be refused before they are sent to a target.
func TestRefusals(t *testing.T) {
	fx := newFixture(t, 0)
	check(t, "no route", fx.do(http.MethodGet, "/other/q", "r1", "").Code, http.StatusNotFound)
	check(t, "long body", fx.do(http.MethodPost, "/once/q", "r2", strings.Repeat("x", 1001)).Code, http.StatusRequestEntityTooLarge)
	check(t, "long head", fx.do(http.MethodGet, "/once/"+strings.Repeat("q", 2000), "r3", "").Code, http.StatusRequestHeaderFieldsTooLarge)
	check(t, "runs", fx.runs("plain", "r1")+fx.runs("plain", "r2")+fx.runs("plain", "r3"), 0)
}

// Without a limit in the configuration, a body without end must not use up the memory.
func TestBodyWithoutConfiguredLimit(t *testing.T) {
	fx := newFixture(t, 0)
	fx.directory.table.Limits.MaxBodyBytes = 0
	check(t, "long body", fx.do(http.MethodPost, "/once/q", "r1", strings.Repeat("x", 2<<20)).Code, http.StatusRequestEntityTooLarge)
	check(t, "body", fx.do(http.MethodPost, "/once/q", "r2", strings.Repeat("x", 1<<19)).Code, http.StatusOK)
}

// Without a configuration the process does not know which routes exist, so it must
// not answer 404.
func TestWithoutConfiguration(t *testing.T) {
	fx := newFixture(t, 0)
	fx.directory.table = nil
	w := fx.do(http.MethodGet, "/often/q", "r1", "")
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "retry", w.Header().Get("Retry-After"), "1.000")
}

// When the caller disconnects, its work at targets must end within half a second.
func TestCallerLeaves(t *testing.T) {
	fx := newFixture(t, 0)
	fx.setBehaviour("plain", standin.Hanging)
	ctx, leave := context.WithCancel(t.Context())
	request := httptest.NewRequest(http.MethodGet, "http://x.example/often/q", nil).WithContext(ctx)
	request.Header.Set("Request-Id", "r1")
	time.AfterFunc(50*time.Millisecond, leave)
	began := time.Now()
	fx.ServeHTTP(httptest.NewRecorder(), request)
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Fatalf("request took %v, want at most 300ms after a caller that left at 50ms", took)
	}
}

// Targets that send an answer without end must cost their caller no more than any
// other failure: the shard's other target answers, and the bad ones get no more work
// while a good one is left.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"head": standin.EndlessHead, "body": standin.EndlessBody} {
		t.Run(name, func(t *testing.T) {
			const (
				requests  = 60
				objective = 500 * time.Millisecond
			)
			fx := newFixtureWithObjective(t, 4, objective)
			bad := fx.targets["shard-0"][0]
			bad.Set(behaviour, time.Millisecond)
			full := 0
			for i := range requests {
				began := time.Now()
				w := fx.do(http.MethodGet, "/all/q", fmt.Sprint(i), "")
				check(t, "status", w.Code, http.StatusOK)
				if took := time.Since(began); took > objective {
					t.Errorf("request %d took %v, want at most the latency objective of %v", i, took, objective)
				}
				if w.Header().Get("Missing-Parts") == "0" {
					full++
				}
			}
			if full < requests*9/10 {
				t.Errorf("%d of %d answers were complete, want nine tenths", full, requests)
			}
			if runs := bad.TotalRuns(); runs > requests/4 {
				t.Errorf("the bad target got %d of %d sub-requests, want at most a quarter", runs, requests)
			}
		})
	}
}
