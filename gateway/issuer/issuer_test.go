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
	// unknown means that the request may have run.
	unknown = peerpb.Outcome_OUTCOME_UNKNOWN
)

// keys is the key source of one process.
type keys []string

func (k keys) SharedKeys() [][]byte {
	var shared [][]byte
	for _, key := range k {
		shared = append(shared, []byte(key))
	}
	return shared
}

// fakeRunner counts runs. Each run ends when gate is closed, or at once if gate
// is nil.
type fakeRunner struct {
	runs   atomic.Int64
	gate   chan struct{}
	output string
}

func (r *fakeRunner) Run(context.Context, string, time.Time, *peerpb.Execute) executor.Result {
	r.runs.Add(1)
	if r.gate != nil {
		<-r.gate
	}
	return executor.Result{Outcome: ran, Output: []byte(r.output)}
}

type endpoint struct {
	incarnation uint64
	addr        netip.AddrPort
}

// directory is the membership view that all gateways of a test share.
type directory struct {
	mu        sync.Mutex
	endpoints map[string]endpoint
	left      map[string]bool
}

func (d *directory) Gateway(node string) (uint64, netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.endpoints[node]
	return p.incarnation, p.addr, ok
}

func (d *directory) Gateways() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := slices.Sorted(maps.Keys(d.endpoints))
	return slices.DeleteFunc(nodes, func(node string) bool { return d.left[node] })
}

// gateway is an issuer that accepts sessions on the loopback interface.
type gateway struct {
	*issuer.Issuer
	stop func()
}

type options struct {
	keys       keys
	store      issuer.KeyValueStore
	maxResults int
}

func start(t *testing.T, d *directory, node string, r *fakeRunner, o options) *gateway {
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
	// Sessions use a separate key, so that gateways with different ticket keys
	// can still connect.
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
	d.endpoints[node] = endpoint{1, netip.MustParseAddrPort(listener.Addr().String())}
	d.mu.Unlock()
	stop := sync.OnceFunc(func() { cancel(); peers.Close() })
	t.Cleanup(stop)
	return &gateway{i, stop}
}

func newDirectory() *directory {
	return &directory{endpoints: map[string]endpoint{}, left: map[string]bool{}}
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

// refusal holds the fields of an error that callers receive.
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

// Repeated requests with one ticket that arrive during the run, at the issuer or
// at another gateway, must not run again and must all get the same answer.
func TestOneTicketRunsOnce(t *testing.T) {
	d, r := newDirectory(), &fakeRunner{gate: make(chan struct{}), output: "certificate 881"}
	issuing := start(t, d, "gw-1", r, options{})
	other := start(t, d, "gw-2", &fakeRunner{}, options{})
	ticket := issuing.ticket(t)
	const repetitions = 16
	answers := make(chan *peerpb.ExecuteAnswer, repetitions)
	for i := range repetitions {
		go func() {
			answer, err := []*gateway{issuing, other}[i%2].Execute(context.Background(), request(ticket, "school 12"))
			if err != nil {
				t.Error(err)
			}
			answers <- answer
		}()
	}
	select {
	case answer := <-answers:
		t.Fatalf("a repeated request was answered before the run ended: %v", answer)
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
		t.Errorf("the request ran %d times, want 1", runs)
	}
}

// A gateway that cannot reach the issuer must answer "unknown": after "not run"
// the caller would send the request again, and it could run twice.
func TestLostIssuerMakesTheOutcomeUnknown(t *testing.T) {
	for _, listed := range []bool{true, false} {
		d := newDirectory()
		lost := start(t, d, "gw-1", &fakeRunner{}, options{})
		other := start(t, d, "gw-2", &fakeRunner{}, options{})
		ticket := lost.ticket(t)
		lost.execute(t, ticket)
		lost.stop()
		if !listed {
			delete(d.endpoints, "gw-1")
		}
		if got := other.execute(t, ticket).Outcome; got != unknown {
			t.Errorf("issuer still listed %t: the outcome is %v", listed, got)
		}
	}
}

// A graceful stop must preserve finished answers, even if they do not fit into
// one frame and while the membership still lists the stopped issuer.
func TestStopHandsAnswersOver(t *testing.T) {
	const tickets = 6
	for _, listed := range []bool{true, false} {
		d, r := newDirectory(), &fakeRunner{output: strings.Repeat("x", 900<<10)}
		leaving := start(t, d, "gw-1", r, options{})
		others := []*gateway{start(t, d, "gw-2", &fakeRunner{}, options{}), start(t, d, "gw-3", &fakeRunner{}, options{})}
		var used []string
		for range tickets {
			used = append(used, leaving.ticket(t))
			leaving.execute(t, used[len(used)-1])
		}
		unused := leaving.ticket(t)
		leaving.Stop(t.Context())
		_, err := leaving.Execute(t.Context(), request(unused, "school 12"))
		want := refusal{callerapi.ErrorCodeTicketExpired, notRun}
		if diff := cmp.Diff(want, refusalOf(t, err)); diff != "" {
			t.Errorf("unused ticket of a stopping issuer (-want +got):\n%s", diff)
		}
		leaving.stop()
		d.left["gw-1"] = true
		if !listed {
			delete(d.endpoints, "gw-1")
		}
		for _, other := range others {
			for _, ticket := range used {
				if answer := other.execute(t, ticket); answer.Outcome != ran || string(answer.Result) != r.output {
					t.Errorf("issuer still listed %t: the outcome is %v with %d bytes", listed, answer.Outcome, len(answer.Result))
				}
			}
			if got := other.execute(t, unused).Outcome; got != unknown {
				t.Errorf("unused ticket at another gateway: the outcome is %v", got)
			}
		}
		if runs := r.runs.Load(); runs != tickets {
			t.Errorf("%d runs for %d tickets", runs, tickets)
		}
	}
}

// Each refusal must report the outcome of the request as far as it is known: a
// false "not run" makes the caller run it twice.
func TestRefusals(t *testing.T) {
	d := newDirectory()
	g := start(t, d, "gw-1", &fakeRunner{output: "too large to keep"}, options{maxResults: 4})
	rotated := start(t, d, "gw-2", &fakeRunner{}, options{keys: keys{"other key"}})
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
		// An empty result would look complete.
		{"result not kept", g, request(used, "school 12"), refusal{callerapi.ErrorCodeFailed, ran}},
		// During a key rotation a gateway may lack the key of a used ticket.
		{"key not held", rotated, request(used, "school 12"), refusal{callerapi.ErrorCodeTicketInvalid, unknown}},
	}
	fromOtherCaller := request(used, "school 12")
	fromOtherCaller.Caller = "thief"
	tests = append(tests, struct {
		name    string
		at      *gateway
		request issuer.Request
		want    refusal
	}{"another caller", g, fromOtherCaller, refusal{callerapi.ErrorCodeTicketInvalid, notRun}})
	for _, test := range tests {
		_, err := test.at.Execute(t.Context(), test.request)
		if diff := cmp.Diff(test.want, refusalOf(t, err)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// fakeStore is an in-memory KeyValueStore. writeResults selects the results of
// the next writes: "lost" loses the answer after the write, "down" makes the
// store unreachable until the next write, and an empty string succeeds.
type fakeStore struct {
	mu           sync.Mutex
	entries      map[string]keeper.Entry
	writes       uint64
	writeResults []string
	down         bool
}

func (s *fakeStore) Get(_ context.Context, key string) (keeper.Entry, error) {
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

func (s *fakeStore) Put(_ context.Context, w keeper.Write) (keeper.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := ""
	if len(s.writeResults) > 0 {
		result, s.writeResults = s.writeResults[0], s.writeResults[1:]
	}
	s.down = result == "down"
	if s.down {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindUnreachable}
	}
	if s.entries[w.Key].Revision != w.Expected {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindConflict}
	}
	s.writes++
	s.entries[w.Key] = keeper.Entry{Key: w.Key, Value: w.Value, Revision: s.writes}
	if result == "lost" {
		return keeper.Entry{}, &keeper.Error{Kind: keeper.KindUnknownOutcome}
	}
	return s.entries[w.Key], nil
}

// A request with an idempotency key must run at most once even if a write of the
// first call fails or its answer is lost, and each call must report the correct
// outcome.
func TestKeyRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name          string
		writeResults  []string
		first, second any
		runs          int64
	}{
		{"store answers", nil, ran, ran, 1},
		{"answer of the claim lost", []string{"lost"}, ran, ran, 1},
		{"answer of the end lost", []string{"", "lost"}, ran, ran, 1},
		{"outage at the claim", []string{"down"}, refusal{callerapi.ErrorCodeStoreUnreachable, notRun}, ran, 1},
		{"outage at the end", []string{"", "down"}, ran, unknown, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, r := newDirectory(), &fakeRunner{output: "certificate 881"}
			s := &fakeStore{entries: map[string]keeper.Entry{}, writeResults: test.writeResults}
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
