package checker

import (
	"fmt"
	"slices"
)

// Rule names an invariant of the query tier.
type Rule string

// Invariants that Check tests.
const (
	// RuleOneAnswer: every request has exactly one answer.
	RuleOneAnswer Rule = "one-answer"
	// RuleOwnAnswer: an answer belongs to its request.
	RuleOwnAnswer Rule = "own-answer"
	// RuleOneSnapshot: a service's hits come from one snapshot of one set.
	RuleOneSnapshot Rule = "one-snapshot"
	// RuleRightHits: the hits are those of the shards that the answer claims.
	RuleRightHits Rule = "right-hits"
	// RuleTrueCoverage: the coverage is not overstated.
	RuleTrueCoverage Rule = "true-coverage"
	// RuleNotRun: a request answered as not run has no run.
	RuleNotRun Rule = "not-run"
	// RuleAtMostOnce: a non-idempotent request has at most one run.
	RuleAtMostOnce Rule = "at-most-once"
)

// Violation is one breach of an invariant.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Request string `json:"request"`
	Message string `json:"message"`
}

// Check returns every violation in the record, in the order of the requests.
func Check(record *Record) []Violation {
	c := newCheck(record)
	for i := range record.Requests {
		c.request(&record.Requests[i])
	}
	c.strayAnswers()
	c.runs()
	return c.violations
}

// check holds the record's indexes while it is checked.
type check struct {
	record     *Record
	answers    map[string][]*Answer
	runsByText map[string][]*Run
	maps       map[mapKey]*Map
	queryIDs   map[string]string
	requests   map[string]bool
	violations []Violation
}

type mapKey struct {
	service, set, snapshot string
}

func newCheck(record *Record) *check {
	c := &check{
		record:     record,
		answers:    map[string][]*Answer{},
		runsByText: map[string][]*Run{},
		maps:       map[mapKey]*Map{},
		queryIDs:   map[string]string{},
		requests:   map[string]bool{},
	}
	for i := range record.Answers {
		a := &record.Answers[i]
		c.answers[a.Request] = append(c.answers[a.Request], a)
	}
	for i := range record.Targets.Runs {
		r := &record.Targets.Runs[i]
		c.runsByText[r.Text] = append(c.runsByText[r.Text], r)
	}
	for i := range record.Targets.Maps {
		m := &record.Targets.Maps[i]
		c.maps[mapKey{m.Service, m.Set, m.Snapshot}] = m
	}
	return c
}

func (c *check) report(rule Rule, request, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, request, fmt.Sprintf(format, args...)})
}

func (c *check) request(q *Request) {
	if c.requests[q.ID] {
		c.report(RuleOneAnswer, q.ID, "the record has two requests of this identity")
	}
	c.requests[q.ID] = true
	answers := c.answers[q.ID]
	if len(answers) != 1 {
		c.report(RuleOneAnswer, q.ID, "%d answers", len(answers))
	}
	for _, a := range answers {
		c.answer(q, a)
	}
}

func (c *check) answer(q *Request, a *Answer) {
	switch {
	case a.Outcome == OutcomeNotRun:
		c.notRun(q)
	case a.Outcome != OutcomeAnswered:
		return
	case q.Kind == RequestExecute:
		c.executed(q, a)
	default:
		c.searched(q, a)
	}
}

// notRun checks a refusal that says that no target ran the request.
func (c *check) notRun(q *Request) {
	if q.Repeats {
		return
	}
	for _, r := range c.runsByText[q.Text] {
		c.report(RuleNotRun, q.ID, "target %s ran it at %s", r.Target, r.Start.Format(timeLayout))
	}
}

const timeLayout = "15:04:05.000000"

func (c *check) executed(q *Request, a *Answer) {
	if want := Execute(q.Operation, q.Text); a.Result != want {
		c.report(RuleOwnAnswer, q.ID, "result %q instead of %q", a.Result, want)
	}
	if len(c.runsByText[q.Text]) == 0 && !c.record.TargetsPartial {
		c.report(RuleOwnAnswer, q.ID, "answered, but no target ran it")
	}
}

func (c *check) searched(q *Request, a *Answer) {
	if a.Echoed != q.ID {
		c.report(RuleOwnAnswer, q.ID, "the answer is for request %q", a.Echoed)
	}
	if other, ok := c.queryIDs[a.QueryID]; ok {
		c.report(RuleOwnAnswer, q.ID, "query identity %q was also that of request %q", a.QueryID, other)
	}
	c.queryIDs[a.QueryID] = q.ID
	if !c.services(q, a) {
		return
	}
	c.coverage(q, a)
	c.hits(q, a)
	c.ran(q, a)
}

// services checks that the answer lists each service of the request once and
// that each snapshot is known. Only then can coverage and hits be computed.
func (c *check) services(q *Request, a *Answer) bool {
	before := len(c.violations)
	listed := map[string]bool{}
	for _, s := range a.Services {
		if listed[s.Service] {
			c.report(RuleOneSnapshot, q.ID, "service %s is listed twice", s.Service)
		}
		listed[s.Service] = true
		if !slices.Contains(q.Services, s.Service) {
			c.report(RuleOwnAnswer, q.ID, "service %s was not asked for", s.Service)
		}
		_, known := c.mapOf(s)
		if !known && s.Snapshot != "" && c.record.TargetsPartial {
			return false
		}
		if !known && s.Snapshot != "" {
			c.report(RuleOneSnapshot, q.ID, "service %s has no snapshot %q in set %q", s.Service, s.Snapshot, s.Set)
		}
	}
	for _, name := range q.Services {
		if !listed[name] {
			c.report(RuleTrueCoverage, q.ID, "service %s is not listed", name)
		}
	}
	return len(c.violations) == before
}

func (c *check) mapOf(s ServiceAnswer) (*Map, bool) {
	m, ok := c.maps[mapKey{s.Service, s.Set, s.Snapshot}]
	return m, ok
}

// hits compares the answer with the one right answer for the shards that it
// claims.
func (c *check) hits(q *Request, a *Answer) {
	var want []AnswerHit
	for _, s := range a.Services {
		m, ok := c.mapOf(s)
		if !ok {
			continue
		}
		for _, shard := range claimed(m, s) {
			for _, hit := range Search(shard.Name, s.Snapshot, q.Text, q.Limit) {
				want = append(want, AnswerHit{s.Service, hit})
			}
		}
	}
	slices.SortFunc(want, compareAnswerHits)
	if q.Limit > 0 && len(want) > q.Limit {
		want = want[:q.Limit]
	}
	got := slices.Clone(a.Hits)
	slices.SortFunc(got, compareAnswerHits)
	if slices.Equal(want, got) {
		return
	}
	rule, message := c.explain(q, a, want, got)
	c.report(rule, q.ID, "%s", message)
}

// claimed returns the shards that a service's answer claims to cover.
func claimed(m *Map, s ServiceAnswer) []Shard {
	var shards []Shard
	for _, shard := range m.Shards {
		if !slices.Contains(s.Missing, shard.Name) {
			shards = append(shards, shard)
		}
	}
	return shards
}

func compareAnswerHits(a, b AnswerHit) int {
	if order := compareHits(a.Hit, b.Hit); order != 0 {
		return order
	}
	if a.Service < b.Service {
		return -1
	}
	if a.Service > b.Service {
		return 1
	}
	return 0
}

// explain finds where the first wrong hit comes from.
func (c *check) explain(q *Request, a *Answer, want, got []AnswerHit) (Rule, string) {
	for _, hit := range got {
		if slices.Contains(want, hit) {
			continue
		}
		origin, ok := c.origin(q, hit)
		if ok && isClaimed(a, origin) {
			return RuleRightHits, fmt.Sprintf("hit %s of service %s comes from a shard that is listed as missing", hit.ID, hit.Service)
		}
		if ok {
			return RuleOneSnapshot, fmt.Sprintf("hit %s of service %s comes from snapshot %q of set %q", hit.ID, hit.Service, origin.Snapshot, origin.Set)
		}
		return RuleRightHits, fmt.Sprintf("hit %s of service %s is not one of the claimed shards' %d hits", hit.ID, hit.Service, len(want))
	}
	return RuleRightHits, fmt.Sprintf("%d hits instead of %d for query %q", len(got), len(want), a.QueryID)
}

func isClaimed(a *Answer, m *Map) bool {
	return slices.ContainsFunc(a.Services, func(s ServiceAnswer) bool {
		return s.Service == m.Service && s.Set == m.Set && s.Snapshot == m.Snapshot
	})
}

// origin returns a snapshot that contains the hit.
func (c *check) origin(q *Request, hit AnswerHit) (*Map, bool) {
	for _, m := range c.maps {
		if m.Service != hit.Service {
			continue
		}
		for _, shard := range m.Shards {
			if slices.Contains(Search(shard.Name, m.Snapshot, q.Text, 0), hit.Hit) {
				return m, true
			}
		}
	}
	return nil, false
}

// ran checks that a target completed a run of each shard that is claimed.
func (c *check) ran(q *Request, a *Answer) {
	if c.record.TargetsPartial {
		return
	}
	done := map[mapKey]bool{}
	for _, r := range c.runsByText[q.Text] {
		if r.Outcome == RunCompleted {
			done[mapKey{r.Service, r.Snapshot, r.Shard}] = true
		}
	}
	for _, s := range a.Services {
		m, ok := c.mapOf(s)
		if !ok {
			continue
		}
		for _, shard := range claimed(m, s) {
			if !done[mapKey{s.Service, s.Snapshot, shard.Name}] {
				c.report(RuleTrueCoverage, q.ID, "shard %s is claimed, but no target completed a run of it", shard.Name)
			}
		}
	}
}

// runs checks that each non-idempotent request has at most one run.
func (c *check) runs() {
	first := map[string]*Run{}
	for i := range c.record.Targets.Runs {
		r := &c.record.Targets.Runs[i]
		if r.Kind != RunExecute {
			continue
		}
		for _, key := range []string{"id " + r.RequestID, "payload " + r.Text} {
			if earlier, ok := first[key]; ok {
				c.report(RuleAtMostOnce, r.RequestID, "%s ran on target %s and again on target %s", key, earlier.Target, r.Target)
				break
			}
			first[key] = r
		}
	}
}

func (c *check) strayAnswers() {
	for i := range c.record.Answers {
		if id := c.record.Answers[i].Request; !c.requests[id] {
			c.report(RuleOneAnswer, id, "answer to a request that was not sent")
		}
	}
}
