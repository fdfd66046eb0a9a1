package checker_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/checker"
)

func ExampleSearch() {
	for _, hit := range checker.Search("agenda-00", "agenda-old-1", "roof", 2) {
		fmt.Println(hit.ID, hit.Title)
	}
	// Output:
	// agenda-00-a68e199003e5 Sheet agenda-00-a68e199003e5 of agenda-old-1
	// agenda-00-9928243e1b02 Sheet agenda-00-9928243e1b02 of agenda-old-1
}

func ExampleCheck() {
	record := &checker.Record{
		Requests: []checker.Request{{ID: "r1", Kind: checker.RequestQuery, Text: "roof"}},
		Answers:  []checker.Answer{{Request: "r1", Outcome: checker.OutcomeNotRun}},
		Targets:  checker.TargetRecord{Runs: []checker.Run{{Target: "t1", Kind: checker.RunSearch, Text: "roof"}}},
	}
	for _, v := range checker.Check(record) {
		fmt.Println(v.Rule, v.Request, v.Message)
	}
	// Output: not-run r1 target t1 ran it at 00:00:00.000000
}

// newRecord returns a record without violations: a complete query of two
// services, a partial one, an execution and a request that was not run.
func newRecord() *checker.Record {
	maps := []checker.ShardMap{
		{Service: "agenda", Set: "old", Snapshot: "a1", Shards: []checker.Shard{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}}},
		{Service: "agenda", Set: "new", Snapshot: "a2", Shards: []checker.Shard{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}}},
		{Service: "campo", Set: "old", Snapshot: "c1", Shards: []checker.Shard{{Name: "z", Weight: 4}}},
	}
	r := &checker.Record{Targets: checker.TargetRecord{Maps: maps}}
	r.Requests = []checker.Request{
		{ID: "full", Kind: checker.RequestQuery, Services: []string{"agenda", "campo"}, Text: "t-full", Limit: 100},
		{ID: "part", Kind: checker.RequestQuery, Services: []string{"agenda", "campo"}, Text: "t-part", Limit: 2},
		{ID: "exec", Kind: checker.RequestExecute, Services: []string{"agenda"}, Text: "p-1", Operation: "issue"},
		{ID: "shed", Kind: checker.RequestQuery, Services: []string{"agenda"}, Text: "t-shed"},
	}
	full := []checker.AnswerHit{}
	for _, at := range []struct{ service, shard, snapshot string }{{"agenda", "x", "a1"}, {"agenda", "y", "a1"}, {"campo", "z", "c1"}} {
		full = append(full, hits(at.service, at.shard, at.snapshot, "t-full")...)
		r.Targets.Runs = append(r.Targets.Runs, run(at.service, at.shard, at.snapshot, "t-full"))
	}
	r.Targets.Runs = append(r.Targets.Runs, run("agenda", "y", "a1", "t-part"))
	r.Targets.Runs = append(r.Targets.Runs, checker.Run{Target: "t1", Kind: checker.RunExecute, RequestID: "e1", Text: "p-1", Outcome: checker.RunCompleted})
	r.Answers = []checker.Answer{
		{
			Request: "full", EchoedRequest: "full", QueryID: "q1", Outcome: checker.OutcomeAnswered, Complete: true, Coverage: 1, Hits: full,
			Services: []checker.ServiceAnswer{
				{Service: "agenda", Set: "old", Snapshot: "a1", Coverage: 1}, {Service: "campo", Set: "old", Snapshot: "c1", Coverage: 1},
			},
		},
		{
			Request: "part", EchoedRequest: "part", QueryID: "q2", Outcome: checker.OutcomeAnswered, Coverage: 0.375,
			Hits: hits("agenda", "y", "a1", "t-part")[:2],
			Services: []checker.ServiceAnswer{
				{Service: "agenda", Set: "old", Snapshot: "a1", Coverage: 0.75, Missing: []string{"x"}}, {Service: "campo"},
			},
		},
		{Request: "exec", Outcome: checker.OutcomeAnswered, Result: checker.Execute("issue", "p-1")},
		{Request: "shed", Outcome: checker.OutcomeNotRun, Code: "overloaded"},
	}
	return r
}

func hits(service, shard, snapshot, text string) []checker.AnswerHit {
	var all []checker.AnswerHit
	for _, hit := range checker.Search(shard, snapshot, text, 0) {
		all = append(all, checker.AnswerHit{Service: service, Hit: hit})
	}
	return all
}

func run(service, shard, snapshot, text string) checker.Run {
	return checker.Run{
		Target: "t1", Service: service, Set: "old", Kind: checker.RunSearch, Shard: shard, Snapshot: snapshot,
		Text: text, Outcome: checker.RunCompleted,
	}
}

// Guards against false positives.
func TestCheckAcceptsCorrectRecord(t *testing.T) {
	if diff := cmp.Diff([]checker.Violation(nil), checker.Check(newRecord())); diff != "" {
		t.Error(diff)
	}
}

// Guards against a violation that is missed or reported under another rule.
func TestCheckReportsViolations(t *testing.T) {
	cases := map[string]struct {
		rule    checker.Rule
		corrupt func(*checker.Record)
	}{
		"lost answer":       {checker.RuleOneAnswer, func(r *checker.Record) { r.Answers = r.Answers[:3] }},
		"second answer":     {checker.RuleOneAnswer, func(r *checker.Record) { r.Answers = append(r.Answers, r.Answers[3]) }},
		"stray answer":      {checker.RuleOneAnswer, func(r *checker.Record) { r.Answers = append(r.Answers, checker.Answer{Request: "x"}) }},
		"repeated request":  {checker.RuleOneAnswer, func(r *checker.Record) { r.Requests = append(r.Requests, r.Requests[3]) }},
		"other request ID":  {checker.RuleOwnAnswer, func(r *checker.Record) { r.Answers[0].EchoedRequest = "part" }},
		"repeated query ID": {checker.RuleOwnAnswer, func(r *checker.Record) { r.Answers[1].QueryID = "q1" }},
		"other result":      {checker.RuleOwnAnswer, func(r *checker.Record) { r.Answers[2].Result = "x" }},
		"execution without run": {checker.RuleOwnAnswer, func(r *checker.Record) {
			r.Targets.Runs = r.Targets.Runs[:4]
		}},
		"other service": {checker.RuleOwnAnswer, func(r *checker.Record) {
			r.Requests[0].Services = []string{"agenda"}
		}},
		"hit of another snapshot": {checker.RuleOneSnapshot, func(r *checker.Record) {
			r.Answers[0].Hits[0] = hits("agenda", "x", "a2", "t-full")[0]
		}},
		"service twice": {checker.RuleOneSnapshot, func(r *checker.Record) {
			r.Answers[0].Services = append(r.Answers[0].Services, r.Answers[0].Services[0])
		}},
		"unknown snapshot": {checker.RuleOneSnapshot, func(r *checker.Record) { r.Answers[0].Services[0].Set = "new" }},
		"hit of another text": {checker.RuleRightHits, func(r *checker.Record) {
			r.Answers[0].Hits[0] = hits("agenda", "x", "a1", "t-part")[0]
		}},
		"hit of a missing shard": {checker.RuleRightHits, func(r *checker.Record) {
			r.Answers[1].Hits = hits("agenda", "x", "a1", "t-part")[:2]
		}},
		"lost hit":       {checker.RuleRightHits, func(r *checker.Record) { r.Answers[0].Hits = r.Answers[0].Hits[1:] }},
		"duplicated hit": {checker.RuleRightHits, func(r *checker.Record) { r.Answers[0].Hits[1] = r.Answers[0].Hits[0] }},
		"unweighted coverage": {checker.RuleTrueCoverage, func(r *checker.Record) {
			r.Answers[1].Services[0].Missing = []string{"y"}
			r.Answers[1].Hits = hits("agenda", "x", "a1", "t-part")[:2]
			r.Targets.Runs[3].Shard = "x"
		}},
		"overall coverage without a service": {checker.RuleTrueCoverage, func(r *checker.Record) { r.Answers[1].Coverage = 0.75 }},
		"complete with a missing shard":      {checker.RuleTrueCoverage, func(r *checker.Record) { r.Answers[1].Complete = true }},
		"service left out": {checker.RuleTrueCoverage, func(r *checker.Record) {
			r.Answers[1].Services = r.Answers[1].Services[:1]
		}},
		"coverage without snapshot": {checker.RuleTrueCoverage, func(r *checker.Record) { r.Answers[1].Services[1].Coverage = 0.1 }},
		"unknown missing shard": {checker.RuleTrueCoverage, func(r *checker.Record) {
			r.Answers[1].Services[0].Missing = []string{"x", "w"}
		}},
		"shard without completed run": {checker.RuleTrueCoverage, func(r *checker.Record) {
			r.Targets.Runs[0].Outcome = checker.RunCancelled
		}},
		"false not-run": {checker.RuleNotRun, func(r *checker.Record) {
			r.Targets.Runs = append(r.Targets.Runs, run("agenda", "x", "a1", "t-shed"))
		}},
		"second run of a request ID": {checker.RuleAtMostOnce, func(r *checker.Record) {
			r.Targets.Runs = append(r.Targets.Runs, checker.Run{Kind: checker.RunExecute, RequestID: "e1", Text: "p-2"})
		}},
		"second run under another request ID": {checker.RuleAtMostOnce, func(r *checker.Record) {
			r.Targets.Runs = append(r.Targets.Runs, checker.Run{Kind: checker.RunExecute, RequestID: "e2", Text: "p-1"})
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			record := newRecord()
			c.corrupt(record)
			violations := checker.Check(record)
			if len(violations) == 0 {
				t.Fatal("nothing reported")
			}
			for _, v := range violations {
				if v.Rule != c.rule {
					t.Errorf("reported %+v, want only rule %s", v, c.rule)
				}
			}
		})
	}
}

// Guards against false positives for a record that lacks runs. Rules that forbid
// a run must still apply to the recorded runs.
func TestCheckPartialTargetRecord(t *testing.T) {
	r := newRecord()
	r.TargetsPartial = true
	r.Targets.Runs = nil
	r.Targets.Maps = r.Targets.Maps[1:]
	if violations := checker.Check(r); len(violations) != 0 {
		t.Errorf("reported %v", violations)
	}
	r.Targets.Runs = []checker.Run{run("agenda", "x", "a1", "t-shed")}
	if violations := checker.Check(r); len(violations) != 1 || violations[0].Rule != checker.RuleNotRun {
		t.Errorf("reported %v", violations)
	}
}
