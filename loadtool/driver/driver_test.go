package driver_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/measurer"
	"jackdawcart.org/loadtool/scheduler"
)

const workload = `{
	"seed": 3, "settle": "10ms", "patience": "3s", "max-in-flight": 16, "limit": 5,
	"phases": [{"name": "steady", "for": "600ms", "rate": 200}],
	"mix": [{"weight": 1, "services": ["agenda"], "priority": "high"}],
	"non-idempotent": {"share": 0.2, "services": ["agenda"], "operation": "issue", "key-share": 0.5, "resend-share": 0.5},
	"events": [{"at": "200ms", "to": "targets", "target": "agenda-*", "faults": [{"kind": "slow", "factor": 10, "for": "200ms"}]}],
}`

func runDriver(t *testing.T, g *fakeGateway) *measurer.Report {
	t.Helper()
	gateway, control := startFakeGateway(t, g)
	w, err := scheduler.Parse([]byte(workload))
	if err != nil {
		t.Fatal(err)
	}
	// The first gateway refuses connections, so the driver fails over to the next.
	w.Gateways = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), gateway}
	w.Targets = []netip.AddrPort{control}
	clock := timer.NewService()
	t.Cleanup(clock.Close)
	d, err := driver.New(w, clock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	run, err := d.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return measurer.Measure(run)
}

// A run against a correct gateway must have no violations, record every request
// and post the event.
func TestRightGateway(t *testing.T) {
	g := &fakeGateway{}
	report := runDriver(t, g)
	if diff := cmp.Diff([]checker.Violation(nil), report.Violations); diff != "" {
		t.Error(diff)
	}
	if c := report.Counts; c.Offered < 80 || c.Answered != c.Offered {
		t.Errorf("counts %+v, want at least 80 offered requests, all answered", c)
	}
	if diff := cmp.Diff([]string{"/control/agenda-*"}, g.faultPaths); diff != "" {
		t.Error(diff)
	}
	if report.ExtraLoad.Share != 0 || report.Coverage.Complete != 1 || report.Slowed.During.Count == 0 {
		t.Errorf("measures %+v %+v %+v", report.ExtraLoad, report.Coverage, report.Slowed)
	}
}

// Each kind of wrong answer must be reported as a violation of its rule.
func TestWrongGateways(t *testing.T) {
	falseRefusal := &callerapi.ErrorStatusCode{StatusCode: http.StatusServiceUnavailable, Response: callerapi.Error{
		Code: callerapi.ErrorCodeOverloaded, Outcome: callerapi.OutcomeNotRun,
	}}
	cases := map[string]struct {
		gateway *fakeGateway
		rule    checker.Rule
	}{
		"other hits": {&fakeGateway{corrupt: func(a *callerapi.QueryAnswer) { a.Hits[0].ID = "x" }}, checker.RuleRightHits},
		"other request": {&fakeGateway{corrupt: func(a *callerapi.QueryAnswer) {
			a.RequestID = callerapi.NewOptString("x")
		}}, checker.RuleOwnAnswer},
		"other snapshot": {&fakeGateway{corrupt: func(a *callerapi.QueryAnswer) { a.Services[0].Snapshot = "a9" }}, checker.RuleOneSnapshot},
		"overstated coverage": {&fakeGateway{corrupt: func(a *callerapi.QueryAnswer) {
			a.Services[0].MissingShards = []string{"y"}
		}}, checker.RuleTrueCoverage},
		"untrue not-run": {&fakeGateway{refuse: func(*callerapi.QueryRequest) error { return falseRefusal }}, checker.RuleNotRun},
		"second run":     {&fakeGateway{runTwice: true}, checker.RuleAtMostOnce},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if report := runDriver(t, c.gateway); report.ViolationCounts[c.rule] == 0 {
				t.Errorf("no violation of %s in %v", c.rule, report.ViolationCounts)
			}
		})
	}
}

// A gateway stall must show in the latencies of all requests that were due
// during the stall. Measuring only the requests already sent would hide most of
// it (coordinated omission).
func TestStallIsNotHidden(t *testing.T) {
	g := &fakeGateway{}
	g.stall.Lock()
	// Two thirds of the requests are searches due during the stall. Their waits
	// are spread evenly, so the median is about 100 ms. It would be a few
	// milliseconds if only the requests in flight counted.
	time.AfterFunc(500*time.Millisecond, g.stall.Unlock)
	report := runDriver(t, g)
	if p50 := time.Duration(report.TailLatency.P50); p50 < 50*time.Millisecond {
		t.Errorf("median latency %v, want at least 50ms because a stall delayed more than half of the requests", p50)
	}
	if report.Counts.Offered < 80 {
		t.Errorf("the stall reduced the offered load to %d requests, want at least 80", report.Counts.Offered)
	}
}
