package measurer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/measurer"
	"jackdawcart.org/loadtool/scheduler"
)

// newRun returns a run with known measures. Of ten searches, one is late and ran
// twice on its shard, and the last is reported as not run although it ran.
func newRun(t *testing.T) *driver.Run {
	t.Helper()
	w, err := scheduler.Parse([]byte(`{"gateways": ["127.0.0.1:1"], "capacity": 8,
		"phases": [{"name": "steady", "for": "1s", "rate": 10}], "mix": [{"weight": 1, "services": ["agenda"]}],
		"events": [{"at": "500ms", "to": "targets", "target": "agenda-1", "faults": [{"kind":"slow","factor":10,"for":"500ms"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	run := &driver.Run{Workload: w, Start: start}
	run.Record.Targets.Maps = []checker.ShardMap{{Service: "agenda", Set: "old", Snapshot: "a1", Shards: []checker.Shard{{Name: "x", Weight: 1}}}}
	for i := range 10 {
		addRequest(run, i, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	last := &run.Record.Answers[9]
	*last = checker.Answer{Request: last.Request, Outcome: checker.OutcomeNotRun, Code: "overloaded", At: last.At}
	return run
}

func addRequest(run *driver.Run, i int, at time.Time) {
	id := string(rune('a' + i))
	latency := 20 * time.Millisecond
	search := checker.Run{Target: "agenda-1", Service: "agenda", Set: "old", Kind: checker.RunSearch, QueryID: id, Shard: "x", Snapshot: "a1", Text: id, Start: at, Outcome: checker.RunCompleted}
	run.Record.Targets.Runs = append(run.Record.Targets.Runs, search)
	if i == 7 {
		latency = 400 * time.Millisecond
		run.Record.Targets.Runs = append(run.Record.Targets.Runs, search)
	}
	answer := checker.Answer{
		Request: id, EchoedRequest: id, QueryID: id, Outcome: checker.OutcomeAnswered, Complete: true, Coverage: 1, At: at.Add(latency),
		Services: []checker.ServiceAnswer{{Service: "agenda", Set: "old", Snapshot: "a1", Coverage: 1}},
	}
	for _, hit := range checker.Search("x", "a1", id, 0) {
		answer.Hits = append(answer.Hits, checker.AnswerHit{Service: "agenda", Hit: hit})
	}
	run.Record.Answers = append(run.Record.Answers, answer)
	run.Record.Requests = append(run.Record.Requests, checker.Request{
		ID: id, Kind: checker.RequestQuery, Services: []string{"agenda"}, Text: id, Limit: 20,
		Deadline: 130 * time.Millisecond, Phase: "steady", Intended: at, Sent: at,
	})
}

// The five measures must match the record. A wrong measure would make later
// comparisons worthless.
func TestMeasures(t *testing.T) {
	r := measurer.Measure(newRun(t))
	const ms = measurer.Duration(time.Millisecond)
	near := cmp.Comparer(func(a, b measurer.Duration) bool { return max(a, b)-min(a, b) <= max(a, b)/500 })
	slow := measurer.Latency{Count: 4, P50: 20 * ms, P90: 400 * ms, P99: 400 * ms, P999: 400 * ms, Max: 400 * ms, InTime: 0.75}
	fast := measurer.Latency{Count: 5, P50: 20 * ms, P90: 20 * ms, P99: 20 * ms, P999: 20 * ms, Max: 20 * ms, InTime: 1}
	// The histogram rounds the rank of a quantile: 8 of 9 for p90.
	total := measurer.Latency{Count: 9, P50: 20 * ms, P90: 20 * ms, P99: 400 * ms, P999: 400 * ms, Max: 400 * ms, InTime: 8.0 / 9}
	want := measurer.Report{
		Counts:      measurer.Counts{Offered: 10, Answered: 9, NotRun: 1},
		TailLatency: total,
		Coverage:    measurer.Coverage{Mean: 1, Lowest: 1, P1: 1, Complete: 1},
		ExtraLoad:   measurer.ExtraLoad{Runs: 11, Needed: 10, Share: 0.1},
		Crest:       measurer.Crest{Time: 1000 * ms, Offered: 10, Goodput: 8, OverOffered: 0.8, OverCapacity: 1, Latency: total},
		Slowed:      measurer.Slowed{Time: 500 * ms, During: slow, Other: fast, Ratio: r.Slowed.Ratio},
	}
	got := measurer.Report{Counts: r.Counts, TailLatency: r.TailLatency, Coverage: r.Coverage, ExtraLoad: r.ExtraLoad, Crest: r.Crest, Slowed: r.Slowed}
	if diff := cmp.Diff(want, got, near); diff != "" {
		t.Error(diff)
	}
	if r.Slowed.Ratio < 19 || r.Slowed.Ratio > 21 {
		t.Errorf("slowed ratio %v, want 19 to 21", r.Slowed.Ratio)
	}
	if diff := cmp.Diff(map[checker.Rule]int{checker.RuleNotRun: 1}, r.ViolationCounts); diff != "" {
		t.Error(diff)
	}
}
