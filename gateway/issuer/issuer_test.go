package issuer_test

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/testing/protocmp"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/gateway/executor"
	"jackdawcart.org/gateway/issuer"
)

const (
	ran    = peerpb.Outcome_OUTCOME_RAN
	notRun = peerpb.Outcome_OUTCOME_NOT_RUN
	// noOutcome is the zero value: the request may have run.
	noOutcome = peerpb.Outcome_OUTCOME_UNKNOWN
)

// keys are the shared keys of one process.
type keys []string

func (k keys) SharedKeys() [][]byte {
	var shared [][]byte
	for _, key := range k {
		shared = append(shared, []byte(key))
	}
	return shared
}

// runner counts runs and answers after its gate is open.
type runner struct {
	runs   atomic.Int64
	gate   chan struct{}
	output string
}

func (r *runner) Run(context.Context, string, time.Time, *peerpb.Execute) executor.Result {
	r.runs.Add(1)
	if r.gate != nil {
		<-r.gate
	}
	return executor.Result{Outcome: ran, Output: []byte(r.output)}
}

type place struct {
	incarnation uint64
	addr        netip.AddrPort
}

// directory is the membership that all gateways of a test see.
type directory struct {
	mu     sync.Mutex
	places map[string]place
	left   map[string]bool
}

func (d *directory) Gateway(node string) (uint64, netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.places[node]
	return p.incarnation, p.addr, ok
}

func (d *directory) Gateways() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := slices.Sorted(maps.Keys(d.places))
	return slices.DeleteFunc(nodes, func(node string) bool { return d.left[node] })
}

// gateway is an issuer that accepts sessions on loopback.
type gateway struct {
	*issuer.Issuer
	stop func()
}

type options struct {
	keys       keys
	store      issuer.KeyValues
	maxResults int
}

func start(t *testing.T, d *directory, node string, r *runner, o options) *gateway {
	t.Helper()
	if o.keys == nil {
		o.keys = keys{"key"}
	}
	if o.maxResults == 0 {
		o.maxResults = 64 << 20
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hello := &peerpb.Hello{Node: node, Incarnation: 1, Role: peerpb.Role_ROLE_GATEWAY}
	// Sessions use a key of their own, so that tickets can be tested apart.
	sessionKeys := keys{"session"}
	peers := messenger.NewPeers(sessionKeys, hello)
	i, err := issuer.New(issuer.Config{
		Table: ticketer.Config{
			Node: node, Incarnation: 1, Lifetime: time.Minute, Retention: time.Minute,
			MaxTickets: 100, MaxResultBytes: o.maxResults,
		},
		Keys: o.keys, Timers: timer.NewService(), Runner: r, Directory: d, Sessions: peers, Store: o.store, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go acceptor.New(sessionKeys, hello, i.Serve, zap.NewNop()).Run(ctx, listener)
	d.mu.Lock()
	d.places[node] = place{1, netip.MustParseAddrPort(listener.Addr().String())}
	d.mu.Unlock()
	stop := sync.OnceFunc(func() { cancel(); peers.Close() })
	t.Cleanup(stop)
	return &gateway{i, stop}
}

func newDirectory() *directory {
	return &directory{places: map[string]place{}, left: map[string]bool{}}
}

func request(ticket, payload string) issuer.Request {
	return issuer.Request{
		Ticket: ticket, Caller: "inspector", Deadline: time.Now().Add(3 * time.Second),
		Execute: &peerpb.Execute{RequestId: "r", Service: "certificados", Operation: "issue", Payload: []byte(payload)},
	}
}

func (g *gateway) ticket(t *testing.T) string {
	t.Helper()
	ticket, err := g.Issue("inspector")
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func (g *gateway) execute(t *testing.T, ticket string) *peerpb.ExecuteAnswer {
	t.Helper()
	answer, err := g.Execute(t.Context(), request(ticket, "school 12"))
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// refusal is what a caller learns from an error.
type refusal struct {
	Code    callerapi.ErrorCode
	Outcome peerpb.Outcome
}

func refusalOf(t *testing.T, err error) refusal {
	t.Helper()
	var failure *issuer.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want an error of the issuer", err)
	}
	return refusal{failure.Kind, failure.Outcome}
}

// A ticket whose repetitions arrive during the run, at the issuer or at another
// gateway, must run once and give everybody the same answer.
func TestOneTicketRunsOnce(t *testing.T) {
	d, r := newDirectory(), &runner{gate: make(chan struct{}), output: "certificate 881"}
	here := start(t, d, "gw-1", r, options{})
	there := start(t, d, "gw-2", &runner{}, options{})
	ticket := here.ticket(t)
	const repetitions = 16
	answers := make(chan *peerpb.ExecuteAnswer, repetitions)
	for i := range repetitions {
		go func() {
			answer, err := []*gateway{here, there}[i%2].Execute(context.Background(), request(ticket, "school 12"))
			if err != nil {
				t.Error(err)
			}
			answers <- answer
		}()
	}
	select {
	case answer := <-answers:
		t.Fatalf("a repetition was answered during the run: %v", answer)
	case <-time.After(100 * time.Millisecond):
	}
	close(r.gate)
	want := &peerpb.ExecuteAnswer{RequestId: "gw-1/1/1", Outcome: ran, Result: []byte("certificate 881")}
	for range repetitions {
		if diff := cmp.Diff(want, <-answers, protocmp.Transform()); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if runs := r.runs.Load(); runs != 1 {
		t.Errorf("the ticket ran %d times", runs)
	}
}

// A gateway that cannot reach the issuer does not know what the issuer did, so
// "not run" would let the caller issue a second certificate.
func TestLostIssuerMakesTheOutcomeUnknown(t *testing.T) {
	for _, listed := range []bool{true, false} {
		d := newDirectory()
		gone := start(t, d, "gw-1", &runner{}, options{})
		other := start(t, d, "gw-2", &runner{}, options{})
		ticket := gone.ticket(t)
		gone.execute(t, ticket)
		gone.stop()
		if !listed {
			delete(d.places, "gw-1")
		}
		if got := other.execute(t, ticket).Outcome; got != noOutcome {
			t.Errorf("issuer still listed %t: the outcome is %v", listed, got)
		}
	}
}

// A planned stop must keep finished answers, also those that are too large to
// share one frame, and while the members still list the stopped issuer.
func TestStopHandsAnswersOver(t *testing.T) {
	const tickets = 6
	for _, listed := range []bool{true, false} {
		d, r := newDirectory(), &runner{output: strings.Repeat("x", 900<<10)}
		leaving := start(t, d, "gw-1", r, options{})
		others := []*gateway{start(t, d, "gw-2", &runner{}, options{}), start(t, d, "gw-3", &runner{}, options{})}
		var used []string
		for range tickets {
			used = append(used, leaving.ticket(t))
			leaving.execute(t, used[len(used)-1])
		}
		free := leaving.ticket(t)
		leaving.Stop(t.Context())
		_, err := leaving.Execute(t.Context(), request(free, "school 12"))
		want := refusal{callerapi.ErrorCodeTicketExpired, notRun}
		if diff := cmp.Diff(want, refusalOf(t, err)); diff != "" {
			t.Errorf("free ticket of a stopping issuer (-want +got):\n%s", diff)
		}
		leaving.stop()
		d.left["gw-1"] = true
		if !listed {
			delete(d.places, "gw-1")
		}
		for _, other := range others {
			for _, ticket := range used {
				if answer := other.execute(t, ticket); answer.Outcome != ran || string(answer.Result) != r.output {
					t.Errorf("issuer still listed %t: the outcome is %v with %d bytes", listed, answer.Outcome, len(answer.Result))
				}
			}
			if got := other.execute(t, free).Outcome; got != noOutcome {
				t.Errorf("free ticket at another gateway: %v", got)
			}
		}
		if runs := r.runs.Load(); runs != tickets {
			t.Errorf("%d runs for %d tickets", runs, tickets)
		}
	}
}

// Each refusal must state what is known of the request, and no more.
func TestRefusals(t *testing.T) {
	d := newDirectory()
	g := start(t, d, "gw-1", &runner{output: "too large to keep"}, options{maxResults: 4})
	rotated := start(t, d, "gw-2", &runner{}, options{keys: keys{"other key"}})
	used := g.ticket(t)
	g.execute(t, used)
	tests := []struct {
		name    string
		at      *gateway
		request issuer.Request
		want    refusal
	}{
		{"no ticket", g, request("forged", "school 12"), refusal{callerapi.ErrorCodeTicketInvalid, notRun}},
		{"another request", g, request(used, "school 13"), refusal{callerapi.ErrorCodeTicketExpired, notRun}},
		// An empty result would look like the whole one.
		{"result not kept", g, request(used, "school 12"), refusal{callerapi.ErrorCodeFailed, ran}},
		// During a rotation a gateway may lack the key of a ticket that was used.
		{"key not held", rotated, request(used, "school 12"), refusal{callerapi.ErrorCodeTicketInvalid, noOutcome}},
	}
	thief := request(used, "school 12")
	thief.Caller = "thief"
	tests = append(tests, struct {
		name    string
		at      *gateway
		request issuer.Request
		want    refusal
	}{"another caller", g, thief, refusal{callerapi.ErrorCodeTicketInvalid, notRun}})
	for _, test := range tests {
		_, err := test.at.Execute(t.Context(), test.request)
		if diff := cmp.Diff(test.want, refusalOf(t, err)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// store is the platform's key-value service. Fates name what happens to the
// next writes: "lost" (the answer is lost after the write), "down" or nothing.
type store struct {
	mu      sync.Mutex
	entries map[string]keeper.Entry
	writes  uint64
	fates   []string
	down    bool
}

func (s *store) Get(_ context.Context, key string) (keeper.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	switch {
	case s.down:
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindUnreachable}
	case !ok:
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindNotFound}
	}
	return entry, nil
}

func (s *store) Put(_ context.Context, w keeper.Write) (keeper.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := ""
	if len(s.fates) > 0 {
		fate, s.fates = s.fates[0], s.fates[1:]
	}
	s.down = fate == "down"
	if s.down {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindUnreachable}
	}
	if s.entries[w.Key].Revision != w.Expected {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindConflict}
	}
	s.writes++
	s.entries[w.Key] = keeper.Entry{Key: w.Key, Value: w.Value, Revision: s.writes}
	if fate == "lost" {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindUnknownOutcome}
	}
	return s.entries[w.Key], nil
}

// A key must run at most once whatever the store does to the first call's
// writes, and the answer to each call must be true.
func TestKeyRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name          string
		fates         []string
		first, second any
		runs          int64
	}{
		{"store answers", nil, ran, ran, 1},
		{"answer of the claim lost", []string{"lost"}, ran, ran, 1},
		{"answer of the end lost", []string{"", "lost"}, ran, ran, 1},
		{"outage at the claim", []string{"down"}, refusal{callerapi.ErrorCodeStoreUnreachable, notRun}, ran, 1},
		{"outage at the end", []string{"", "down"}, ran, noOutcome, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, r := newDirectory(), &runner{output: "certificate 881"}
			s := &store{entries: map[string]keeper.Entry{}, fates: test.fates}
			var got []any
			for _, node := range []string{"gw-1", "gw-2"} {
				g := start(t, d, node, r, options{store: s})
				q := request("", "school 12")
				q.Deadline = time.Now().Add(200 * time.Millisecond)
				answer, err := g.ExecuteKey(t.Context(), "key-1", q)
				if err != nil {
					got = append(got, refusalOf(t, err))
					continue
				}
				got = append(got, answer.Outcome)
			}
			if diff := cmp.Diff([]any{test.first, test.second}, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			if runs := r.runs.Load(); runs != test.runs {
				t.Errorf("%d runs, want %d", runs, test.runs)
			}
		})
	}
}
