package scatterer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
)

// fakeTransport answers each sub-request with a function set by the test.
type fakeTransport struct {
	answer func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer
	engine *scatterer.Engine

	mu   sync.Mutex
	sent []string
}

// Send delivers the answers to a batch after one millisecond.
func (f *fakeTransport) Send(_ string, batch *peerpb.Batch) error {
	for _, sub := range batch.Subs {
		f.mu.Lock()
		f.sent = append(f.sent, sub.Target+"/"+sub.Shard+"@"+sub.Snapshot)
		f.mu.Unlock()
		go func() {
			time.Sleep(time.Millisecond)
			for _, a := range f.answer(batch, sub) {
				f.engine.Deliver(a)
			}
		}()
	}
	return nil
}

// Cancel implements scatterer.Transport as a no-op.
func (f *fakeTransport) Cancel(string, *peerpb.Cancel) {}

func (f *fakeTransport) sentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// correctAnswer returns a valid answer to a sub-request.
func correctAnswer(batch *peerpb.Batch, sub *peerpb.SubRequest) *peerpb.SubAnswer {
	return &peerpb.SubAnswer{
		QueryId: batch.QueryId, Sub: sub.Sub, Attempt: sub.Attempt, Outcome: peerpb.Outcome_OUTCOME_RAN,
		Snapshot: sub.Snapshot, Shard: sub.Shard, Hits: []*peerpb.Hit{{Id: sub.Shard + "@" + sub.Snapshot, Score: 1}},
	}
}

func failedAnswer(batch *peerpb.Batch, sub *peerpb.SubRequest, kind peerpb.FailureKind) *peerpb.SubAnswer {
	return &peerpb.SubAnswer{QueryId: batch.QueryId, Sub: sub.Sub, Attempt: sub.Attempt, Failure: kind}
}

// newTable returns a table with shards a (weight 3) and b (weight 1) on three
// targets each, in the given snapshots.
func newTable(now time.Time, snapshots ...string) *planner.Table {
	table := planner.NewTable()
	doc := &parser.Document{
		Service: "library", Sets: []parser.Set{{Name: "old"}},
		Answering: parser.Answering{Lead: "old", Deadline: parser.Duration(130 * time.Millisecond), HedgeBudget: 0.05},
	}
	var states []*peerpb.TargetState
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		doc.Sets[0].Targets = append(doc.Sets[0].Targets, parser.Target{Name: name, FailureDomain: "east", Slots: 2})
		state := &peerpb.TargetState{
			Service: "library", Set: "old", Target: name, Relay: "east-1", Incarnation: 1, Sequence: 1,
			Phase: peerpb.TargetPhase_TARGET_PHASE_SERVING,
		}
		for i, id := range snapshots {
			state.Snapshots = append(state.Snapshots, &peerpb.Snapshot{
				Id: id, Sequence: uint64(i + 1), Held: []string{name[:1]},
				Shards: []*peerpb.Shard{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
			})
		}
		states = append(states, state)
	}
	table.Put(doc, 1, now)
	table.Apply(states, now)
	return table
}

// runQuery runs one query in virtual time with the given answers.
func runQuery(t *testing.T, snapshots []string, answer func(*peerpb.Batch, *peerpb.SubRequest) []*peerpb.SubAnswer, check func(*scatterer.Answer, time.Duration, *fakeTransport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Now().Add(-time.Hour), snapshots...)
		transport := &fakeTransport{answer: answer}
		timers := timer.NewService()
		transport.engine = scatterer.New(scatterer.DefaultConfig("east"), timers, table, transport)
		entry, _ := table.Service("library")
		started := time.Now()
		got := transport.engine.Query(t.Context(), &scatterer.Request{
			Services: []*planner.Service{entry}, Caller: "me", Text: "hut", Limit: 10, Deadline: started.Add(130 * time.Millisecond),
		})
		check(got, time.Since(started), transport)
		time.Sleep(time.Second)
	})
}

func hitIDs(answer *scatterer.Answer) []string {
	var list []string
	for _, h := range answer.Hits {
		list = append(list, h.ID)
	}
	return list
}

// Duplicate answers, and answers for another query, attempt or sub-request, must
// not contribute hits.
func TestForeignAnswersAreIgnored(t *testing.T) {
	runQuery(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		good := correctAnswer(batch, sub)
		foreign := correctAnswer(batch, sub)
		foreign.QueryId, foreign.Hits = "other", []*peerpb.Hit{{Id: "foreign", Score: 9}}
		unknownAttempt := correctAnswer(batch, sub)
		unknownAttempt.Attempt, unknownAttempt.Hits = 99, []*peerpb.Hit{{Id: "late", Score: 9}}
		unknownSub := correctAnswer(batch, sub)
		unknownSub.Sub = 99
		return []*peerpb.SubAnswer{foreign, unknownAttempt, unknownSub, good, good}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *fakeTransport) {
		if diff := cmp.Diff([]string{"a@one", "b@one"}, hitIDs(answer)); diff != "" {
			t.Errorf("hits (-want +got):\n%s", diff)
		}
		if !answer.Complete || answer.Coverage != 1 {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
	})
}

// An answer to the right attempt but from another shard or snapshot must count
// as a failure, so that coverage is not overstated.
func TestMismatchedAnswersAreNotCovered(t *testing.T) {
	runQuery(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		a := correctAnswer(batch, sub)
		if sub.Shard == "b" {
			a.Snapshot = "two"
		}
		return []*peerpb.SubAnswer{a}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *fakeTransport) {
		if answer.Complete || answer.Coverage != 0.75 {
			t.Errorf("complete %v, coverage %v, want a partial answer with coverage 0.75 (shard a only)", answer.Complete, answer.Coverage)
		}
	})
}

// If a snapshot disappears during a query, all sub-requests must restart on
// another one; an answer must never mix two.
func TestSnapshotGoneRestartsTheQuery(t *testing.T) {
	runQuery(t, []string{"one", "two"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		if sub.Snapshot == "two" && sub.Shard == "b" {
			return []*peerpb.SubAnswer{failedAnswer(batch, sub, peerpb.FailureKind_FAILURE_SNAPSHOT_GONE)}
		}
		return []*peerpb.SubAnswer{correctAnswer(batch, sub)}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *fakeTransport) {
		if diff := cmp.Diff([]string{"a@one", "b@one"}, hitIDs(answer)); diff != "" {
			t.Errorf("hits (-want +got):\n%s", diff)
		}
		if got := answer.Services[0].Snapshot; got != "one" || answer.Stats.Restarts != 1 {
			t.Errorf("snapshot %q after %d restarts, want \"one\" after 1", got, answer.Stats.Restarts)
		}
	})
}

// A shard that does not answer must not delay the answer past the deadline: the
// answer is partial and lists the shard as missing.
func TestPartialAnswerAtTheDeadline(t *testing.T) {
	runQuery(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		if sub.Shard == "a" {
			return nil
		}
		return []*peerpb.SubAnswer{correctAnswer(batch, sub)}
	}, func(answer *scatterer.Answer, elapsed time.Duration, _ *fakeTransport) {
		if answer.Coverage != 0.25 || answer.Complete {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
		if diff := cmp.Diff([]string{"a"}, answer.Services[0].Missing); diff != "" {
			t.Errorf("missing shards (-want +got):\n%s", diff)
		}
		if elapsed > 130*time.Millisecond {
			t.Errorf("query took %s, deadline 130ms", elapsed)
		}
	})
}

// A query that has lost two targets may itself be crashing them, so it must not
// be sent to a third, even with retry budget left.
func TestQueryStopsAfterTwoLostTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Now().Add(-time.Hour), "one")
		loseTargets := false
		transport := &fakeTransport{answer: func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
			if loseTargets {
				return []*peerpb.SubAnswer{failedAnswer(batch, sub, peerpb.FailureKind_FAILURE_LOST)}
			}
			return []*peerpb.SubAnswer{correctAnswer(batch, sub)}
		}}
		transport.engine = scatterer.New(scatterer.DefaultConfig("east"), timer.NewService(), table, transport)
		entry, _ := table.Service("library")
		query := func() *scatterer.Answer {
			return transport.engine.Query(t.Context(), &scatterer.Request{
				Services: []*planner.Service{entry}, Caller: "me", Limit: 10, Deadline: time.Now().Add(130 * time.Millisecond),
			})
		}
		const warmupQueries = 500 // accumulate budget for many retries
		for range warmupQueries {
			query()
		}
		loseTargets = true
		before := transport.sentCount()
		answer := query()
		// Both shards are in flight before the first loss is known, and that loss may
		// be followed by one retry.
		if got := transport.sentCount() - before; got > 3 {
			t.Errorf("%d sub-requests sent, want at most 3", got)
		}
		if answer.Coverage != 0 || answer.Complete {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
		time.Sleep(time.Second)
	})
}
