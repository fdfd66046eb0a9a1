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

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/responder"
	"jackdawcart.org/platform/standin"
)

// site is a handler with real connections to stand-in targets.
type site struct {
	*responder.Responder
	beliefs *beliefs
	targets map[string][]*standin.Target
}

// newSite starts two targets for each service and routes to them: "/all/"
// gathers the shards, "/once/" and "/often/" go to the service "plain".
func newSite(t *testing.T, shards int) *site {
	t.Helper()
	s := &site{beliefs: &beliefs{targets: make(map[string][]registrar.Record)}, targets: make(map[string][]*standin.Target)}
	names := []string{"plain"}
	var gather []string
	for i := range shards {
		gather = append(gather, fmt.Sprintf("shard-%d", i))
	}
	var services []router.Service
	for i, name := range append(names, gather...) {
		services = append(services, router.Service{Name: name, MaxConnections: 64})
		for k := range 2 {
			target, err := standin.NewTarget(fmt.Sprintf("i-%s-%d", name, k), name, fmt.Sprintf("record-%09d", i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			s.targets[name] = append(s.targets[name], target)
			s.beliefs.targets[name] = append(s.beliefs.targets[name], registrar.Record{Target: registrar.Target{
				ID: target.ID, Service: name, Slots: 4, Domain: "a", Address: netip.MustParseAddrPort(target.Address()),
			}})
		}
	}
	plain := func(prefix string, repeatable bool) router.Route {
		return router.Route{
			Name: prefix, Host: "x.example", Prefix: prefix, Idempotent: repeatable, LatencyObjective: 100 * time.Millisecond,
			Timeout: time.Second, MaxAttempts: 2, Split: []router.WeightedService{{Service: "plain", Weight: 1}},
		}
	}
	all := plain("/all/", true)
	all.Split, all.Shards, all.MaxRecords, all.MinShardShare = nil, gather, 3, 0.75
	s.beliefs.table = router.NewTable(1, router.Limits{MaxBodyBytes: 1000},
		[]router.Route{plain("/once/", false), plain("/often/", true), all}, services)
	dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address.String())
	}
	couriers := courier.New(dial, func(string) {}, func(string, bool) {})
	t.Cleanup(couriers.Close)
	s.Responder = responder.New(responder.DefaultConfig(), responder.Parts{
		Domain: "a", Beliefs: s.beliefs, Couriers: couriers, Timers: timer.NewService(), Spans: tracer.Disabled(),
		Placer:  placer.New(placer.DefaultConfig(), "vm-1", "a", rand.New(rand.NewPCG(1, 2))),
		Vacated: func(string) {},
	}, tally.NoopScope, zap.NewNop())
	return s
}

// set changes how the targets of a service behave.
func (s *site) set(service string, behaviour standin.Behaviour) {
	for _, target := range s.targets[service] {
		target.Set(behaviour, time.Millisecond)
	}
}

// runs counts the runs of a request at all targets of a service.
func (s *site) runs(service, request string) int {
	n := 0
	for _, target := range s.targets[service] {
		n += target.Runs(request)
	}
	return n
}

func (s *site) ask(method, path, id, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://x.example"+path, strings.NewReader(body))
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, request)
	return w
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// A whole answer holds the greatest records of all shards and names each part.
func TestWholeAnswer(t *testing.T) {
	s := newSite(t, 4)
	w := s.ask(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "body", w.Body.String(), "record-000000004record-000000003record-000000002")
	check(t, "missing", w.Header().Get("Missing-Parts"), "0")
	check(t, "parts", len(strings.Split(w.Header().Get("Part-Stamps"), ",")), 4)
}

// An answer without a shard says so, and comes before its aim has passed.
func TestPartialAnswer(t *testing.T) {
	s := newSite(t, 4)
	s.set("shard-3", standin.Hanging)
	began := time.Now()
	w := s.ask(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "missing", w.Header().Get("Missing-Parts"), "1")
	check(t, "parts", len(strings.Split(w.Header().Get("Part-Stamps"), ",")), 3)
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Fatalf("took %v", took)
	}
}

// A target's failure bears a signature and is still no part.
func TestFailureIsNoPart(t *testing.T) {
	s := newSite(t, 4)
	s.set("shard-0", standin.Failing)
	w := s.ask(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusOK)
	check(t, "missing", w.Header().Get("Missing-Parts"), "1")
}

// Too few parts are no success, and as targets have run the request the caller
// is not told that it has not run.
func TestTooFewParts(t *testing.T) {
	s := newSite(t, 4)
	s.set("shard-0", standin.Losing)
	s.set("shard-1", standin.Losing)
	w := s.ask(http.MethodGet, "/all/q", "r1", "")
	check(t, "status", w.Code, http.StatusBadGateway)
}

// A request that must not run twice runs once whatever its target does, and is
// called not run only when that is true.
func TestRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name      string
		behaviour standin.Behaviour
		status    int
		runs      int
	}{
		{"sound", standin.Sound, http.StatusOK, 1},
		{"full", standin.Full, http.StatusServiceUnavailable, 0},
		{"failing", standin.Failing, http.StatusInternalServerError, 1},
		{"losing", standin.Losing, http.StatusBadGateway, 1},
		{"halving", standin.Halving, http.StatusBadGateway, 1},
		{"hanging", standin.Hanging, http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 0)
			s.set("plain", c.behaviour)
			w := s.ask(http.MethodPost, "/once/q", "r1", "certificate")
			check(t, "status", w.Code, c.status)
			check(t, "runs", s.runs("plain", "r1"), c.runs)
		})
	}
}

// A repeatable request is answered although the first target loses it.
func TestRepeatableRequestIsSentAgain(t *testing.T) {
	s := newSite(t, 0)
	s.targets["plain"][0].Set(standin.Losing, time.Millisecond)
	served := 0
	for i := range 20 {
		if s.ask(http.MethodGet, "/often/q", fmt.Sprint(i), "").Code == http.StatusOK {
			served++
		}
	}
	// The budget of repeats starts small; without repeats half would fail.
	if served < 15 {
		t.Fatalf("%d of 20 requests served", served)
	}
}

// What a caller sends wrongly is refused before any target sees it.
func TestRefusals(t *testing.T) {
	s := newSite(t, 0)
	check(t, "no route", s.ask(http.MethodGet, "/other/q", "r1", "").Code, http.StatusNotFound)
	check(t, "long body", s.ask(http.MethodPost, "/once/q", "r2", strings.Repeat("x", 1001)).Code, http.StatusRequestEntityTooLarge)
	check(t, "runs", s.runs("plain", "r1")+s.runs("plain", "r2"), 0)
}

// A process that knows no configuration cannot tell whether a route exists, so
// it must not answer 404.
func TestWithoutConfiguration(t *testing.T) {
	s := newSite(t, 0)
	s.beliefs.table = nil
	w := s.ask(http.MethodGet, "/often/q", "r1", "")
	check(t, "status", w.Code, http.StatusServiceUnavailable)
	check(t, "retry", w.Header().Get("Retry-After"), "1.000")
}

// When the caller leaves, its work at targets must end within half a second.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t, 0)
	s.set("plain", standin.Hanging)
	ctx, leave := context.WithCancel(t.Context())
	request := httptest.NewRequest(http.MethodGet, "http://x.example/often/q", nil).WithContext(ctx)
	request.Header.Set("Request-Id", "r1")
	time.AfterFunc(50*time.Millisecond, leave)
	began := time.Now()
	s.ServeHTTP(httptest.NewRecorder(), request)
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Fatalf("the request took %v after its caller had left", took)
	}
}
