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

// relays answers each sub-request as a test says.
type relays struct {
	answer func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer
	engine *scatterer.Engine

	mu   sync.Mutex
	sent []string
}

// Send delivers the answers of a batch one millisecond later.
func (r *relays) Send(_ string, batch *peerpb.Batch) error {
	for _, sub := range batch.Subs {
		r.mu.Lock()
		r.sent = append(r.sent, sub.Target+"/"+sub.Shard+"@"+sub.Snapshot)
		r.mu.Unlock()
		go func() {
			time.Sleep(time.Millisecond)
			for _, a := range r.answer(batch, sub) {
				r.engine.Deliver(a)
			}
		}()
	}
	return nil
}

// Cancel does nothing.
func (r *relays) Cancel(string, *peerpb.Cancel) {}

func (r *relays) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent)
}

// right is the answer that a target owes.
func right(batch *peerpb.Batch, sub *peerpb.SubRequest) *peerpb.SubAnswer {
	return &peerpb.SubAnswer{
		QueryId: batch.QueryId, Sub: sub.Sub, Attempt: sub.Attempt, Outcome: peerpb.Outcome_OUTCOME_RAN,
		Snapshot: sub.Snapshot, Shard: sub.Shard, Hits: []*peerpb.Hit{{Id: sub.Shard + "@" + sub.Snapshot, Score: 1}},
	}
}

func failed(batch *peerpb.Batch, sub *peerpb.SubRequest, kind peerpb.FailureKind) *peerpb.SubAnswer {
	return &peerpb.SubAnswer{QueryId: batch.QueryId, Sub: sub.Sub, Attempt: sub.Attempt, Failure: kind}
}

// newTable serves shards a (weight 3) and b (weight 1) on three targets each,
// in the given snapshots.
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

// run asks one query on virtual time, with the given answers.
func run(t *testing.T, snapshots []string, answer func(*peerpb.Batch, *peerpb.SubRequest) []*peerpb.SubAnswer, check func(*scatterer.Answer, time.Duration, *relays)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Now().Add(-time.Hour), snapshots...)
		r := &relays{answer: answer}
		timers := timer.NewService()
		r.engine = scatterer.New(scatterer.DefaultConfig("east"), timers, table, r)
		entry, _ := table.Service("library")
		started := time.Now()
		got := r.engine.Query(t.Context(), &scatterer.Request{
			Services: []*planner.Service{entry}, Caller: "me", Text: "hut", Limit: 10, Deadline: started.Add(130 * time.Millisecond),
		})
		check(got, time.Since(started), r)
		time.Sleep(time.Second)
	})
}

func ids(answer *scatterer.Answer) []string {
	var list []string
	for _, h := range answer.Hits {
		list = append(list, h.ID)
	}
	return list
}

// Answers that are duplicated, or name another query, attempt, shard or
// snapshot, must not enter an answer.
func TestForeignAnswersAreIgnored(t *testing.T) {
	run(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		good := right(batch, sub)
		foreign := right(batch, sub)
		foreign.QueryId, foreign.Hits = "other", []*peerpb.Hit{{Id: "foreign", Score: 9}}
		late := right(batch, sub)
		late.Attempt, late.Hits = 99, []*peerpb.Hit{{Id: "late", Score: 9}}
		beyond := right(batch, sub)
		beyond.Sub = 99
		return []*peerpb.SubAnswer{foreign, late, beyond, good, good}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *relays) {
		if diff := cmp.Diff([]string{"a@one", "b@one"}, ids(answer)); diff != "" {
			t.Errorf("hits (-want +got):\n%s", diff)
		}
		if !answer.Complete || answer.Coverage != 1 {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
	})
}

// An answer with the right identity for another shard or snapshot must count as
// a failure, so that coverage is not overstated.
func TestMismatchedAnswersAreNotCovered(t *testing.T) {
	run(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		a := right(batch, sub)
		if sub.Shard == "b" {
			a.Snapshot = "two"
		}
		return []*peerpb.SubAnswer{a}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *relays) {
		if answer.Complete || answer.Coverage != 0.75 {
			t.Errorf("complete %v, coverage %v, want the 3 of 4 of shard a", answer.Complete, answer.Coverage)
		}
	})
}

// A query whose snapshot goes away must start again as a whole on the next one,
// never mix two.
func TestSnapshotGoneRestartsTheQuery(t *testing.T) {
	run(t, []string{"one", "two"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		if sub.Snapshot == "two" && sub.Shard == "b" {
			return []*peerpb.SubAnswer{failed(batch, sub, peerpb.FailureKind_FAILURE_SNAPSHOT_GONE)}
		}
		return []*peerpb.SubAnswer{right(batch, sub)}
	}, func(answer *scatterer.Answer, _ time.Duration, _ *relays) {
		if diff := cmp.Diff([]string{"a@one", "b@one"}, ids(answer)); diff != "" {
			t.Errorf("hits (-want +got):\n%s", diff)
		}
		if got := answer.Services[0].Snapshot; got != "one" || answer.Stats.Restarts != 1 {
			t.Errorf("snapshot %q after %d restarts", got, answer.Stats.Restarts)
		}
	})
}

// A shard that does not answer must not make the answer late: it is partial at
// the deadline and names the shard.
func TestPartialAnswerAtTheDeadline(t *testing.T) {
	run(t, []string{"one"}, func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
		if sub.Shard == "a" {
			return nil
		}
		return []*peerpb.SubAnswer{right(batch, sub)}
	}, func(answer *scatterer.Answer, elapsed time.Duration, _ *relays) {
		if answer.Coverage != 0.25 || answer.Complete {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
		if diff := cmp.Diff([]string{"a"}, answer.Services[0].Missing); diff != "" {
			t.Errorf("missing shards (-want +got):\n%s", diff)
		}
		if elapsed > 130*time.Millisecond {
			t.Errorf("the answer took %s", elapsed)
		}
	})
}

// A query that has lost two targets may be what takes them down, so no third
// one may be put at risk, however much of the retry budget is left.
func TestQueryStopsAfterTwoLostTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Now().Add(-time.Hour), "one")
		poison := false
		r := &relays{answer: func(batch *peerpb.Batch, sub *peerpb.SubRequest) []*peerpb.SubAnswer {
			if poison {
				return []*peerpb.SubAnswer{failed(batch, sub, peerpb.FailureKind_FAILURE_LOST)}
			}
			return []*peerpb.SubAnswer{right(batch, sub)}
		}}
		r.engine = scatterer.New(scatterer.DefaultConfig("east"), timer.NewService(), table, r)
		entry, _ := table.Service("library")
		ask := func() *scatterer.Answer {
			return r.engine.Query(t.Context(), &scatterer.Request{
				Services: []*planner.Service{entry}, Caller: "me", Limit: 10, Deadline: time.Now().Add(130 * time.Millisecond),
			})
		}
		const earlier = 500 // They earn the budget for many retries.
		for range earlier {
			ask()
		}
		poison = true
		before := r.count()
		answer := ask()
		// Both shards are under way before the first loss is known; one retry may
		// follow the first loss.
		if got := r.count() - before; got > 3 {
			t.Errorf("%d sub-requests were sent", got)
		}
		if answer.Coverage != 0 || answer.Complete {
			t.Errorf("complete %v, coverage %v", answer.Complete, answer.Coverage)
		}
		time.Sleep(time.Second)
	})
}
