package planner_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
)

const (
	serving  = peerpb.TargetPhase_TARGET_PHASE_SERVING
	starting = peerpb.TargetPhase_TARGET_PHASE_STARTING
	draining = peerpb.TargetPhase_TARGET_PHASE_DRAINING
	lost     = peerpb.TargetPhase_TARGET_PHASE_LOST
	released = peerpb.TargetPhase_TARGET_PHASE_UNKNOWN
)

var now = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// newDocument returns a document with sets old and new, each with targets t1 and
// t2.
func newDocument(change func(*parser.Answering)) *parser.Document {
	doc := &parser.Document{Service: "library", Answering: parser.Answering{Lead: "old"}}
	for i, name := range []string{"old", "new"} {
		set := parser.Set{Name: name}
		for k := 1; k <= 2; k++ {
			set.Targets = append(set.Targets, parser.Target{
				Name: fmt.Sprintf("t%d", k), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(k)}), 80),
			})
		}
		doc.Sets = append(doc.Sets, set)
	}
	if change != nil {
		change(&doc.Answering)
	}
	return doc
}

// snapshot returns a snapshot with shards a, b and c of weights 1, 2 and 5.
func snapshot(sequence uint64, held ...string) *peerpb.Snapshot {
	return &peerpb.Snapshot{
		Id: fmt.Sprintf("n%d", sequence), Sequence: sequence, Held: held,
		Shards: []*peerpb.Shard{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 5}},
	}
}

// report returns the state of a target as reported by one relay.
func report(relay, set, target string, phase planner.Phase, snapshots ...*peerpb.Snapshot) *peerpb.TargetState {
	return &peerpb.TargetState{
		Service: "library", Set: set, Target: target, Relay: relay, Phase: phase,
		Incarnation: 1, Sequence: 1, Snapshots: snapshots,
	}
}

// planSummary holds the compared fields of a plan.
type planSummary struct {
	Set, Snapshot string
	Coverage      float64
	// Replicas lists the targets of each shard with the relays that reach them.
	Replicas string
}

func summarizePlan(table *planner.Table, excluded container.Set[string]) planSummary {
	entry, ok := table.Service("library")
	if !ok {
		return planSummary{}
	}
	plan := table.PlanService(entry, "inspector", excluded)
	summary := planSummary{Set: plan.Set, Snapshot: plan.Snapshot, Coverage: plan.Coverage()}
	for _, shard := range plan.Shards {
		summary.Replicas += shard.Shard.Name + ":"
		for _, r := range shard.Replicas {
			summary.Replicas += fmt.Sprint(r.Target, r.Owners)
		}
		summary.Replicas += " "
	}
	return summary
}

// A plan must use a single set and snapshot, prefer complete snapshots to newer
// ones, and send nothing to a draining or unreachable target.
func TestPlan(t *testing.T) {
	fallback := func(a *parser.Answering) { a.Fallback = "new" }
	tests := []struct {
		name     string
		change   func(*parser.Answering)
		reports  []*peerpb.TargetState
		excluded container.Set[string]
		want     planSummary
	}{
		{
			name: "newest complete snapshot",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "a", "b", "c"), snapshot(2, "a", "b", "c"), snapshot(3, "a")),
				report("r1", "old", "t2", serving, snapshot(1, "a", "b", "c"), snapshot(3, "b")),
			},
			want: planSummary{"old", "n2", 1, "a:t1[r1] b:t1[r1] c:t1[r1] "},
		},
		{
			name: "highest coverage, then newest, when none is complete",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "b", "c"), snapshot(2, "b", "c"), snapshot(3, "a", "b")),
			},
			want: planSummary{"old", "n2", 7.0 / 8, "a: b:t1[r1] c:t1[r1] "},
		},
		{
			name:     "snapshot reported as gone",
			reports:  []*peerpb.TargetState{report("r1", "old", "t1", serving, snapshot(1, "a"), snapshot(2, "a", "b", "c"))},
			excluded: container.NewSet("n2"),
			want:     planSummary{"old", "n1", 1.0 / 8, "a:t1[r1] b: c: "},
		},
		{
			name:   "sets are not mixed to complete a plan",
			change: fallback,
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "a")),
				report("r1", "new", "t1", serving, snapshot(1, "a", "b", "c")),
			},
			want: planSummary{"old", "n1", 1.0 / 8, "a:t1[r1] b: c: "},
		},
		{
			name:   "fallback set when the leading one has no target left",
			change: fallback,
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", lost, snapshot(1, "a", "b", "c")),
				report("r1", "new", "t2", serving, snapshot(9, "a", "b", "c")),
			},
			want: planSummary{"new", "n9", 1, "a:t2[r1] b:t2[r1] c:t2[r1] "},
		},
		{
			name:    "moved caller",
			change:  func(a *parser.Answering) { a.Move = &parser.Move{Set: "new", Share: 1} },
			reports: []*peerpb.TargetState{report("r1", "new", "t1", serving, snapshot(4, "a", "b", "c"))},
			want:    planSummary{"new", "n4", 1, "a:t1[r1] b:t1[r1] c:t1[r1] "},
		},
		{
			name: "lost target keeps the shard map",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "a", "b")),
				report("r1", "old", "t2", lost, snapshot(1, "c")),
			},
			want: planSummary{"old", "n1", 3.0 / 8, "a:t1[r1] b:t1[r1] c: "},
		},
		{
			name: "draining at one relay outweighs serving at another",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "a", "b", "c")),
				report("r2", "old", "t1", draining, snapshot(1, "a", "b", "c")),
				report("r1", "old", "t2", starting, snapshot(1, "a", "b", "c")),
			},
			want: planSummary{"old", "n1", 1, "a:t2[r1] b:t2[r1] c:t2[r1] "},
		},
		{
			// Guards against retries that exhaust the budget because a relay that lost
			// the target refuses every sub-request.
			name: "no work through a relay that cannot reach the target",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", lost, snapshot(1, "a", "b", "c"), snapshot(2, "a", "b", "c")),
				report("r2", "old", "t1", serving, snapshot(1, "a", "b", "c")),
			},
			want: planSummary{"old", "n1", 1, "a:t1[r2] b:t1[r2] c:t1[r2] "},
		},
		{
			name: "relay that has released the target",
			reports: []*peerpb.TargetState{
				report("r1", "old", "t1", serving, snapshot(1, "a", "b", "c")),
				report("r2", "old", "t1", released),
			},
			want: planSummary{"old", "n1", 1, "a:t1[r1] b:t1[r1] c:t1[r1] "},
		},
		{name: "no report", want: planSummary{Set: "old"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Reports are stored in a map; the plan must not depend on the iteration
			// order.
			for range 10 {
				table := planner.NewTable()
				table.Put(newDocument(test.change), 1, now)
				table.Apply(test.reports, now)
				if diff := cmp.Diff(test.want, summarizePlan(table, test.excluded)); diff != "" {
					t.Fatalf("plan (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Reports and documents arrive through several relays, late and out of order. An
// older one must never replace a newer one.
func TestOlderUpdateIsIgnored(t *testing.T) {
	state := func(incarnation, sequence uint64, phase planner.Phase) *peerpb.TargetState {
		s := report("r1", "old", "t1", phase, snapshot(1, "a", "b", "c"))
		s.Incarnation, s.Sequence = incarnation, sequence
		return s
	}
	table := planner.NewTable()
	apply := func(s *peerpb.TargetState) func() { return func() { table.Apply([]*peerpb.TargetState{s}, now) } }
	put := func(revision uint64) func() { return func() { table.Put(newDocument(nil), revision, now) } }
	steps := []struct {
		name     string
		do       func()
		coverage float64
	}{
		{"document", put(5), 0},
		{"first report", apply(state(1, 8, serving)), 1},
		{"newer report", apply(state(1, 9, draining)), 0},
		{"older report", apply(state(1, 8, serving)), 0},
		{"restarted relay restarts its sequence", apply(state(2, 1, serving)), 1},
		{"late report from the previous relay process", apply(state(1, 10, draining)), 1},
		{"dead relay", func() { table.RemoveRelay("r1", now) }, 0},
		{"relay is back", apply(state(3, 1, serving)), 1},
		{"deletion", func() { table.Delete("library", 7, now) }, 0},
		{"document older than the deletion", put(6), 0},
		{"new document", put(8), 1},
	}
	for _, step := range steps {
		step.do()
		if got := summarizePlan(table, nil).Coverage; got != step.coverage {
			t.Fatalf("after %s the coverage is %v, want %v", step.name, got, step.coverage)
		}
	}
}
