package responder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/ticketer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/gateway/executor"
	"jackdawcart.org/gateway/issuer"
	"jackdawcart.org/gateway/mirrorer"
	"jackdawcart.org/gateway/responder"
)

const poison = "poison"

// control is a fake of the state that a gateway receives from its relays.
type control struct{ ready bool }

func (c *control) Ready() bool { return c.ready }

func (c *control) Quarantined(fingerprint uint64) bool {
	return fingerprint == quarantiner.Fingerprint("library", "search", poison) ||
		fingerprint == quarantiner.Fingerprint("library", "issue", poison)
}

// Gateway and Gateways make control an issuer.Directory without gateways.
func (c *control) Gateway(string) (uint64, netip.AddrPort, bool) { return 0, netip.AddrPort{}, false }

func (c *control) Gateways() []string { return nil }

type key struct{}

func (key) SharedKeys() [][]byte { return [][]byte{[]byte("key")} }

// fakeTransport is a transport and a runner that counts the requests that would
// reach targets.
type fakeTransport struct {
	count       atomic.Int64
	unreachable bool
	answer      func(batch *peerpb.Batch)
	result      executor.Result
}

func (tr *fakeTransport) Send(_ string, batch *peerpb.Batch) error {
	if tr.unreachable {
		return errors.New("relay cannot be reached")
	}
	tr.count.Add(1)
	if tr.answer != nil {
		go tr.answer(batch)
	}
	return nil
}

func (tr *fakeTransport) Cancel(string, *peerpb.Cancel) {}

func (tr *fakeTransport) Run(context.Context, string, time.Time, *peerpb.Execute) executor.Result {
	tr.count.Add(1)
	return tr.result
}

type fixture struct {
	*responder.Responder
	control   *control
	transport *fakeTransport
	issuer    *issuer.Issuer
	engine    *scatterer.Engine
}

// newFixture serves two services with the shards a and b: library has a deadline
// of 100ms, archive one of 60ms and a minimum coverage of 1.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	timers, table, log := timer.NewService(), planner.NewTable(), zap.NewNop()
	f := &fixture{control: &control{ready: true}, transport: &fakeTransport{}}
	putService(table, "library", 100*time.Millisecond, 0)
	putService(table, "archive", 60*time.Millisecond, 1)
	f.engine = scatterer.New(scatterer.DefaultConfig("east"), timers, table, f.transport)
	f.issuer = newIssuer(t, "gw-1", f)
	f.Responder = responder.New(responder.Config{
		Timers: timers, Table: table, Engine: f.engine, Control: f.control, Issuer: f.issuer,
		Mirror: mirrorer.New(f.engine, timers, tally.NoopScope, log), Tracer: tracer.Disabled(),
		Metrics: tally.NoopScope, Log: log, MaxQueries: 10, TicketExpiry: time.Minute,
	})
	return f
}

func newIssuer(t *testing.T, node string, f *fixture) *issuer.Issuer {
	t.Helper()
	i, err := issuer.New(issuer.Config{
		Table: ticketer.Config{
			Node: node, Incarnation: 1, Lifetime: time.Minute, Retention: time.Minute, MaxTickets: 10, MaxResultBytes: 1 << 20,
		},
		Keys: key{}, Timers: timer.NewService(), Runner: f.transport, Directory: f.control, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func putService(table *planner.Table, service string, deadline time.Duration, minimumCoverage float64) {
	now := time.Now()
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	table.Put(&parser.Document{
		Service: service,
		Sets: []parser.Set{{Name: "old", Targets: []parser.Target{
			{Name: "t1", Address: address, FailureDomain: "east", Slots: 2, Connections: 24},
		}}},
		Answering: parser.Answering{Lead: "old", Deadline: parser.Duration(deadline), MinimumCoverage: minimumCoverage},
	}, 1, now)
	table.Apply([]*peerpb.TargetState{{
		Service: service, Set: "old", Target: "t1", Address: address.String(), Relay: "east-1",
		Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING, Incarnation: 1, Sequence: 1,
		Snapshots: []*peerpb.Snapshot{{
			Id: "n", Sequence: 1, Held: []string{"a", "b"},
			Shards: []*peerpb.Shard{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		}},
	}}, now)
}

// refusal holds the parts of a response that tell a caller whether to retry.
type refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Status  int    `json:"-"`
}

func (f *fixture) post(t *testing.T, path, body string) refusal {
	t.Helper()
	api, err := callerapi.NewServer(f, callerapi.WithErrorHandler(f.WriteError))
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Jackdawcart-Caller", "inspector")
	w := httptest.NewRecorder()
	http.MaxBytesHandler(api, 100<<10).ServeHTTP(w, r)
	got := refusal{Status: w.Code}
	text, _ := io.ReadAll(w.Body)
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&got); err != nil {
		t.Fatalf("answer %q: %v", text, err)
	}
	return got
}

// If a gateway refuses a request, its unused ticket must be closed as not run, so
// that no delayed duplicate runs later. A used ticket must return its answer. The
// outcome of another gateway's ticket must be unknown, because only its issuer
// knows whether it ran.
func TestRefusedTickets(t *testing.T) {
	const body = `{"ticket":"T","service":"library","operation":"issue","payload":"x"}`
	f := newFixture(t)
	f.transport.result = executor.Result{Outcome: peerpb.Outcome_OUTCOME_RAN, Output: []byte("done")}
	issue := func() string {
		ticket, err := f.issuer.Issue("inspector")
		if err != nil {
			t.Fatal(err)
		}
		return strings.Replace(body, `"T"`, `"`+ticket+`"`, 1)
	}
	step := func(name, body string, want refusal, wantSent int64) {
		t.Helper()
		if diff := cmp.Diff(want, f.post(t, "/v1/execute", body)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if sent := f.transport.count.Load(); sent != wantSent {
			t.Errorf("%s: %d requests reached a target, want %d", name, sent, wantSent)
		}
	}
	unused, used := issue(), issue()
	step("use a ticket", used, refusal{Status: 200}, 1)
	f.control.ready = false
	step("refuse an unused ticket", unused, refusal{"not-ready", "not-run", 503}, 1)
	step("refuse a used ticket", used, refusal{Status: 200}, 1)
	other := newIssuer(t, "gw-2", f)
	ticket, err := other.Issue("inspector")
	if err != nil {
		t.Fatal(err)
	}
	step("refuse the ticket of another gateway", strings.Replace(body, `"T"`, `"`+ticket+`"`, 1), refusal{"not-ready", "unknown", 503}, 1)
	f.control.ready = true
	step("use the refused ticket", unused, refusal{"unavailable", "not-run", 503}, 1)
}

// A refused request must not reach a target. Its code and outcome must be
// correct, because a false "not-run" makes a caller run a request twice. Only the
// issuer may answer "not-run" for a ticket, see docs/decisions/at-most-once.md.
func TestRefusalsCostNoTargetWork(t *testing.T) {
	stopping := func(f *fixture) { f.Stop() }
	starting := func(f *fixture) { f.control.ready = false }
	const (
		query  = "/v1/query"
		run    = "/v1/execute"
		search = `{"services":["library"],"text":"x"}`
		keyed  = `{"idempotency-key":"k","service":"library","operation":"issue","payload":"x"}`
		ticket = `{"ticket":"T","service":"library","operation":"issue","payload":"x"}`
	)
	tests := []struct {
		name, path, body string
		change           func(*fixture)
		want             refusal
	}{
		{"no JSON", query, `{`, nil, refusal{"malformed", "not-run", 400}},
		{"no service", query, `{"services":[],"text":"x"}`, nil, refusal{"malformed", "not-run", 400}},
		{"service twice", query, `{"services":["library","library"],"text":"x"}`, nil, refusal{"malformed", "not-run", 400}},
		{"too large", query, `{"text":"` + strings.Repeat("x", 200<<10) + `"}`, nil, refusal{"too-large", "not-run", 413}},
		{"unknown service", query, `{"services":["nope"],"text":"x"}`, nil, refusal{"unknown-service", "not-run", 404}},
		{"no time", query, `{"services":["library"],"text":"x","deadline":"1ms"}`, nil, refusal{"deadline-too-late", "not-run", 400}},
		{"negative time", query, `{"services":["library"],"text":"x","deadline":"-1s"}`, nil, refusal{"deadline-too-late", "not-run", 400}},
		{"quarantined", query, `{"services":["library"],"text":"poison"}`, nil, refusal{"quarantined", "not-run", 422}},
		{"stopping", query, search, stopping, refusal{"shutting-down", "not-run", 503}},
		{"starting", query, search, starting, refusal{"not-ready", "not-run", 503}},
		{"no relay", query, search, func(f *fixture) { f.transport.unreachable = true }, refusal{"unavailable", "not-run", 503}},
		{"stopping", "/v1/tickets", ``, stopping, refusal{"shutting-down", "not-run", 503}},
		{"ticket and key", run, strings.Replace(keyed, "{", `{"ticket":"T",`, 1), nil, refusal{"malformed", "not-run", 400}},
		{"neither", run, `{"service":"library","operation":"issue","payload":"x"}`, nil, refusal{"malformed", "not-run", 400}},
		{"forged ticket", run, ticket, nil, refusal{"ticket-invalid", "not-run", 403}},
		{"key, stopping", run, keyed, stopping, refusal{"shutting-down", "not-run", 503}},
		{"key, quarantined", run, strings.Replace(keyed, `"x"`, `"poison"`, 1), nil, refusal{"quarantined", "not-run", 422}},
		{"forged ticket, stopping", run, ticket, stopping, refusal{"shutting-down", "not-run", 503}},
		{"forged ticket, starting", run, ticket, starting, refusal{"not-ready", "not-run", 503}},
		{"forged ticket, unknown service", run, strings.Replace(ticket, "library", "nope", 1), nil, refusal{"unknown-service", "not-run", 404}},
		{"forged ticket, quarantined", run, strings.Replace(ticket, `"x"`, `"poison"`, 1), nil, refusal{"quarantined", "not-run", 422}},
		{"forged ticket, no time", run, strings.Replace(ticket, "{", `{"deadline":"1ms",`, 1), nil, refusal{"deadline-too-late", "not-run", 400}},
	}
	for _, test := range tests {
		t.Run(test.path+" "+test.name, func(t *testing.T) {
			f := newFixture(t)
			if test.change != nil {
				test.change(f)
			}
			if diff := cmp.Diff(test.want, f.post(t, test.path, test.body)); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
			if sent := f.transport.count.Load(); sent != 0 {
				t.Errorf("%d requests reached a target", sent)
			}
		})
	}
}

// The caller must receive the outcome of a run unchanged: "not-run" if the target
// refused it, and "unknown" if the target may have run it.
func TestExecuteOutcomes(t *testing.T) {
	tests := []struct {
		result executor.Result
		want   refusal
	}{
		{executor.Result{Outcome: peerpb.Outcome_OUTCOME_RAN}, refusal{Status: 200}},
		{
			executor.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_DRAINING},
			refusal{"unavailable", "not-run", 503},
		},
		{
			executor.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_OVERLOADED},
			refusal{"overloaded", "not-run", 429},
		},
		{
			executor.Result{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Failure: peerpb.FailureKind_FAILURE_LOST},
			refusal{"outcome-unknown", "unknown", 502},
		},
	}
	for _, test := range tests {
		f := newFixture(t)
		f.transport.result = test.result
		ticket, err := f.issuer.Issue("inspector")
		if err != nil {
			t.Fatal(err)
		}
		got := f.post(t, "/v1/execute", `{"ticket":"`+ticket+`","service":"library","operation":"issue","payload":"x"}`)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%v (-want +got):\n%s", test.result.Failure, diff)
		}
	}
}

// A query must end at the shortest deadline of the caller and the services, or
// the answer comes too late to be useful.
func TestShortestDeadlineApplies(t *testing.T) {
	tests := []struct {
		services []string
		asked    time.Duration
		want     time.Duration
	}{
		{[]string{"library"}, 0, 100 * time.Millisecond},
		{[]string{"library", "archive"}, 0, 60 * time.Millisecond},
		{[]string{"library"}, 30 * time.Millisecond, 30 * time.Millisecond},
		{[]string{"library"}, time.Minute, 100 * time.Millisecond},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			request := &callerapi.QueryRequest{Services: test.services, Text: "x"}
			if test.asked > 0 {
				request.Deadline = callerapi.NewOptDuration(test.asked)
			}
			started := time.Now()
			_, _ = f.Query(t.Context(), request, callerapi.QueryParams{JackdawcartCaller: "inspector"})
			took := time.Since(started)
			if took > test.want || took < test.want-10*time.Millisecond {
				t.Errorf("%v within %v: answered after %v, want %v", test.services, test.asked, took, test.want)
			}
		})
	}
}

// A refusal for insufficient coverage must report whether a target ran a part of
// the query.
func TestCoverageTooLow(t *testing.T) {
	for _, answers := range []bool{true, false} {
		f := newFixture(t)
		if answers {
			f.transport.answer = func(batch *peerpb.Batch) {
				for _, sub := range batch.Subs {
					if sub.Shard == "a" {
						f.engine.Deliver(&peerpb.SubAnswer{
							QueryId: batch.QueryId, Sub: sub.Sub, Attempt: sub.Attempt, Shard: "a", Snapshot: "n",
							Outcome: peerpb.Outcome_OUTCOME_RAN,
						})
					}
				}
			}
		}
		want := refusal{"coverage-too-low", map[bool]string{true: "ran", false: "unknown"}[answers], 503}
		if diff := cmp.Diff(want, f.post(t, "/v1/query", `{"services":["archive"],"text":"x"}`)); diff != "" {
			t.Errorf("a target answers %t (-want +got):\n%s", answers, diff)
		}
	}
}
