package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"jackdawcart.org/core/claimer"
	"jackdawcart.org/core/messenger/peerpb"
)

var ctx, requestA = context.Background(), claimer.Fingerprint{1}

func newClaimer(node string, incarnation uint64, store claimer.Store) *claimer.Claimer {
	return claimer.New(claimer.Config{Node: node, Incarnation: incarnation, MaxOpen: 2, MaxResultBytes: 8}, store)
}

func ExampleClaimer() {
	store := newFakeStore()
	first, second := newClaimer("gw-1", 1, store), newClaimer("gw-2", 1, store)

	d := first.Begin(ctx, "brigade", "notice-7", requestA)
	fmt.Println(d.Verdict)
	held := second.Begin(ctx, "brigade", "notice-7", requestA)
	fmt.Println(held.Verdict, held.Node)
	err := first.Finish(ctx, d.Key, peerpb.Outcome_OUTCOME_RAN, []byte("sent"))
	known := second.Begin(ctx, "brigade", "notice-7", requestA)
	fmt.Println(err, known.Verdict, string(known.Result))
	// Output:
	// run
	// held gw-1
	// <nil> known sent
}

// Begin must return the right decision for each store fault, with the documented
// number of store calls. A claim that may be written later must not be run; a
// claim that is in the store must be.
func TestBegin(t *testing.T) {
	for name, c := range map[string]struct {
		results     []string
		want        claimer.Verdict
		attemptOnly bool
		calls, open int
	}{
		"answered":                    {nil, claimer.VerdictRun, false, 1, 1},
		"unreachable":                 {[]string{unreachable}, claimer.VerdictRefused, true, 1, 0},
		"written, read back":          {[]string{lostWritten}, claimer.VerdictRun, false, 2, 1},
		"unknown error, read back":    {[]string{unknownError}, claimer.VerdictRun, false, 2, 1},
		"sent twice, read back":       {[]string{sentTwice}, claimer.VerdictRun, false, 2, 1},
		"not there when read back":    {[]string{lostDelayed}, claimer.VerdictRefused, true, 2, 1},
		"written, read back fails":    {[]string{lostWritten, unreachable}, claimer.VerdictRefused, true, 2, 1},
		"sent twice, read back fails": {[]string{sentTwice, unreachable}, claimer.VerdictUnknown, false, 2, 1},
	} {
		store := newFakeStore(c.results...)
		gateway := newClaimer("gw-1", 1, store)
		d := gateway.Begin(ctx, "a", "k", requestA)
		if d.Verdict != c.want || d.AttemptOnly != c.attemptOnly {
			t.Errorf("%s: got %s, attempt only %v", name, d.Verdict, d.AttemptOnly)
		}
		if len(store.calls) != c.calls || gateway.Open() != c.open {
			t.Errorf("%s: got calls %v and %d open keys", name, store.calls, gateway.Open())
		}
		if d.Verdict == claimer.VerdictUnknown && gateway.Begin(ctx, "a", "k", requestA).Verdict != d.Verdict {
			t.Errorf("%s: a second attempt does not return an unknown outcome", name)
		}
		store.applyDelayed()
		if got := gateway.Settle(ctx); got != 0 {
			t.Errorf("%s: %d keys are not settled", name, got)
		}
		later := newClaimer("gw-2", 1, store).Begin(ctx, "a", "k", requestA)
		if c.open == 1 && c.want != claimer.VerdictRun && (later.Verdict != claimer.VerdictRefused || later.AttemptOnly) {
			t.Errorf("%s: an abandoned claim is settled as %s", name, later.Verdict)
		}
	}
}

// Open keys and record sizes must stay within their limits, equal keys of two
// callers must not collide, and an unknown outcome must stay unknown.
func TestBounds(t *testing.T) {
	store := newFakeStore()
	gateway := newClaimer("gw-1", 1, store)
	first := gateway.Begin(ctx, "a", "k", requestA)
	second := gateway.Begin(ctx, "b", "k", requestA)
	got := []claimer.Decision{gateway.Begin(ctx, "c", "k", requestA)}
	finishErr := gateway.Finish(ctx, first.Key, peerpb.Outcome_OUTCOME_RAN, []byte("nine byte"))
	if err := errors.Join(finishErr, gateway.Finish(ctx, second.Key, peerpb.Outcome_OUTCOME_UNKNOWN, nil)); err != nil {
		t.Fatal(err)
	}
	got = append(got, gateway.Begin(ctx, "a", "k", requestA), gateway.Begin(ctx, "b", "k", requestA))
	want := []claimer.Decision{
		{Verdict: claimer.VerdictRefused, AttemptOnly: true},
		{Verdict: claimer.VerdictKnown, ResultDropped: true},
		{Verdict: claimer.VerdictUnknown},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions differ (-want +got):\n%s", diff)
	}
	if err := gateway.Finish(ctx, first.Key, peerpb.Outcome_OUTCOME_RAN, nil); err == nil {
		t.Error("a finished claim was finished again")
	}
}

// A Finish or Settle that overlaps another one must neither change the outcome
// nor close a key that a later attempt has opened.
func TestOverlappingSettle(t *testing.T) {
	store := newFakeStore(answered, lostWritten)
	gateway := newClaimer("gw-1", 1, store)
	d := gateway.Begin(ctx, "a", "k", requestA)
	if gateway.Finish(ctx, d.Key, peerpb.Outcome_OUTCOME_RAN, nil) == nil {
		t.Error("Finish returned no error after a lost answer")
	}
	if gateway.Finish(ctx, d.Key, peerpb.Outcome_OUTCOME_NOT_RUN, nil) == nil {
		t.Error("the outcome was changed while the key was settling")
	}
	store.nextResult = func(string) string {
		store.nextResult = newFakeStore(answered, answered, unreachable).nextResult
		gateway.Settle(ctx)
		gateway.Begin(ctx, "a", "k", requestA)
		return answered
	}
	gateway.Settle(ctx)
	if gateway.Open() != 1 {
		t.Error("the key of the later attempt was closed")
	}
	want := []string{"put", "put", "get", "get", "put", "get"}
	if diff := cmp.Diff(want, store.calls); diff != "" {
		t.Errorf("store calls differ (-want +got):\n%s", diff)
	}
}

// claimModel runs two gateways against one store, with the steps of
// models/claim.pml.
type claimModel struct {
	store          *fakeStore
	gateways       []*claimer.Claimer
	running        []map[string]claimer.Fingerprint
	incarnation    uint64
	nested         bool
	runs           int
	ran            claimer.Fingerprint
	result         string
	finallyRefused map[claimer.Fingerprint]bool
}

// interleave applies delayed writes and begins another attempt before a store
// call.
func (m *claimModel) interleave(t *rapid.T) {
	if rapid.Bool().Draw(t, "deliver") {
		m.store.applyDelayed()
	}
	if !m.nested && rapid.IntRange(0, 3).Draw(t, "interleave") == 0 {
		m.nested = true
		m.begin(t)
		m.nested = false
	}
}

func (m *claimModel) begin(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "gateway")
	request := claimer.Fingerprint{rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "request")}
	d := m.gateways[i].Begin(ctx, "a", "k", request)
	switch d.Verdict {
	case claimer.VerdictRun:
		if m.runs++; m.runs > 1 || m.finallyRefused[request] {
			t.Fatalf("run %d, finally refused for this request: %v", m.runs, m.finallyRefused[request])
		}
		m.ran = request
		m.running[i][d.Key] = request
	case claimer.VerdictRefused:
		if m.finallyRefused[request] = m.finallyRefused[request] || !d.AttemptOnly; !d.AttemptOnly && m.runs > 0 && m.ran == request {
			t.Fatal("refused as not run after the request ran")
		}
	case claimer.VerdictKnown:
		if m.ran != request || string(d.Result) != m.result {
			t.Fatalf("got answer %q, want %q", d.Result, m.result)
		}
	}
}

func (m *claimModel) finish(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "gateway")
	for key, request := range m.running[i] {
		delete(m.running[i], key)
		outcome := peerpb.Outcome(rapid.Int32Range(0, 2).Draw(t, "outcome"))
		if outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
			// A claim is used only once, so another run is a fault even if the
			// request did not run.
			m.ran = claimer.Fingerprint{}
			m.finallyRefused[request] = true
		}
		m.result = "done"
		_ = m.gateways[i].Finish(ctx, key, outcome, []byte(m.result))
	}
}

// Guards against a second run for a key, a refusal of a request that has run or
// runs later, an answer that changes, and a key that is never settled.
func TestClaimStateMachine(t *testing.T) {
	results := []string{answered, answered, unreachable, lostWritten, lostUnsent, lostDelayed, sentTwice}
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{store: newFakeStore(), finallyRefused: map[claimer.Fingerprint]bool{}, incarnation: 1}
		m.gateways = []*claimer.Claimer{newClaimer("gw-1", 1, m.store), newClaimer("gw-2", 1, m.store)}
		m.running = []map[string]claimer.Fingerprint{{}, {}}
		m.store.nextResult = func(string) string {
			m.interleave(t)
			return rapid.SampledFrom(results).Draw(t, "call result")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  m.begin,
			"finish": m.finish,
			"settle": func(t *rapid.T) { m.gateways[rapid.IntRange(0, 1).Draw(t, "gateway")].Settle(ctx) },
			"restart": func(t *rapid.T) {
				m.incarnation++
				m.gateways[0], m.running[0] = newClaimer("gw-1", m.incarnation, m.store), map[string]claimer.Fingerprint{}
			},
		})
		m.store.nextResult = func(string) string { return answered }
		m.store.applyDelayed()
		for i, gateway := range m.gateways {
			if got := gateway.Settle(ctx); got != 0 || gateway.Open() != len(m.running[i]) {
				t.Fatalf("%d keys not settled, %d open with %d running", got, gateway.Open(), len(m.running[i]))
			}
		}
	})
}
