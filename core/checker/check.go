package checker

import (
	"fmt"
	"slices"
)

// Rule identifies an invariant of the query tier.
type Rule string

// Invariants that Check verifies.
const (
	// RuleOneAnswer: every request has exactly one answer.
	RuleOneAnswer Rule = "one-answer"
	// RuleOwnAnswer: an answer belongs to its request.
	RuleOwnAnswer Rule = "own-answer"
	// RuleOneSnapshot: the hits of a service come from one snapshot of one set.
	RuleOneSnapshot Rule = "one-snapshot"
	// RuleRightHits: the hits are exactly those of the shards that the answer
	// claims to cover.
	RuleRightHits Rule = "right-hits"
	// RuleTrueCoverage: the answer does not overstate its coverage.
	RuleTrueCoverage Rule = "true-coverage"
	// RuleNotRun: no target ran a request that was answered as not run.
	RuleNotRun Rule = "not-run"
	// RuleAtMostOnce: a non-idempotent request runs at most once.
	RuleAtMostOnce Rule = "at-most-once"
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Request string `json:"request"`
	Message string `json:"message"`
}

// Check returns every violation in the record. Those found for single requests
// come first, in the order of the requests.
func Check(record *Record) []Violation {
	c := newRecordChecker(record)
	for i := range record.Requests {
		c.checkRequest(&record.Requests[i])
	}
	c.checkStrayAnswers()
	c.checkAtMostOnce()
	return c.violations
}

// recordChecker holds a record, indexes of it and the violations found so far.
type recordChecker struct {
	record           *Record
	answers          map[string][]*Answer
	runsByText       map[string][]*Run
	shardMaps        map[shardMapKey]*ShardMap
	requestByQueryID map[string]string
	requestIDs       map[string]bool
	violations       []Violation
}

type shardMapKey struct {
	service, set, snapshot string
}

func newRecordChecker(record *Record) *recordChecker {
	c := &recordChecker{
		record:           record,
		answers:          map[string][]*Answer{},
		runsByText:       map[string][]*Run{},
		shardMaps:        map[shardMapKey]*ShardMap{},
		requestByQueryID: map[string]string{},
		requestIDs:       map[string]bool{},
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
		c.shardMaps[shardMapKey{m.Service, m.Set, m.Snapshot}] = m
	}
	return c
}

func (c *recordChecker) report(rule Rule, request, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, request, fmt.Sprintf(format, args...)})
}

func (c *recordChecker) checkRequest(q *Request) {
	if c.requestIDs[q.ID] {
		c.report(RuleOneAnswer, q.ID, "the record has two requests with this ID")
	}
	c.requestIDs[q.ID] = true
	answers := c.answers[q.ID]
	if len(answers) != 1 {
		c.report(RuleOneAnswer, q.ID, "got %d answers, want exactly one", len(answers))
	}
	for _, a := range answers {
		c.checkAnswer(q, a)
	}
}

func (c *recordChecker) checkAnswer(q *Request, a *Answer) {
	switch {
	case a.Outcome == OutcomeNotRun:
		c.checkNotRun(q)
	case a.Outcome != OutcomeAnswered:
		return
	case q.Kind == RequestExecute:
		c.checkExecuteAnswer(q, a)
	default:
		c.checkQueryAnswer(q, a)
	}
}

// checkNotRun checks an answer which states that no target ran the request.
func (c *recordChecker) checkNotRun(q *Request) {
	if q.SharedText {
		return
	}
	for _, r := range c.runsByText[q.Text] {
		c.report(RuleNotRun, q.ID, "target %s ran it at %s", r.Target, r.Start.Format(timeLayout))
	}
}

const timeLayout = "15:04:05.000000"

func (c *recordChecker) checkExecuteAnswer(q *Request, a *Answer) {
	if want := Execute(q.Operation, q.Text); a.Result != want {
		c.report(RuleOwnAnswer, q.ID, "got result %q, want %q", a.Result, want)
	}
	if len(c.runsByText[q.Text]) == 0 && !c.record.TargetsPartial {
		c.report(RuleOwnAnswer, q.ID, "answered, but no target ran it")
	}
}

func (c *recordChecker) checkQueryAnswer(q *Request, a *Answer) {
	if a.EchoedRequest != q.ID {
		c.report(RuleOwnAnswer, q.ID, "the answer echoes request ID %q", a.EchoedRequest)
	}
	if other, ok := c.requestByQueryID[a.QueryID]; ok {
		c.report(RuleOwnAnswer, q.ID, "query ID %q was already used in the answer to request %q", a.QueryID, other)
	}
	c.requestByQueryID[a.QueryID] = q.ID
	if !c.checkServices(q, a) {
		return
	}
	c.checkCoverage(q, a)
	c.checkHits(q, a)
	c.checkShardRuns(q, a)
}

// checkServices checks that the answer lists each service of the request once and
// that each snapshot is known. It returns false if the expected coverage and hits
// cannot be computed.
func (c *recordChecker) checkServices(q *Request, a *Answer) bool {
	before := len(c.violations)
	listed := map[string]bool{}
	for _, s := range a.Services {
		if listed[s.Service] {
			c.report(RuleOneSnapshot, q.ID, "service %s is listed twice", s.Service)
		}
		listed[s.Service] = true
		if !slices.Contains(q.Services, s.Service) {
			c.report(RuleOwnAnswer, q.ID, "service %s was not requested", s.Service)
		}
		_, known := c.shardMapOf(s)
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

func (c *recordChecker) shardMapOf(s ServiceAnswer) (*ShardMap, bool) {
	m, ok := c.shardMaps[shardMapKey{s.Service, s.Set, s.Snapshot}]
	return m, ok
}

// checkHits compares the hits with those expected from the shards that the answer
// claims to cover.
func (c *recordChecker) checkHits(q *Request, a *Answer) {
	var want []AnswerHit
	for _, s := range a.Services {
		m, ok := c.shardMapOf(s)
		if !ok {
			continue
		}
		for _, shard := range claimedShards(m, s) {
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
	rule, message := c.explainMismatch(q, a, want, got)
	c.report(rule, q.ID, "%s", message)
}

// claimedShards returns the shards that a service answer claims to cover.
func claimedShards(m *ShardMap, s ServiceAnswer) []Shard {
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

// explainMismatch returns the violated rule and a message that names the origin of
// the first unexpected hit.
func (c *recordChecker) explainMismatch(q *Request, a *Answer, want, got []AnswerHit) (Rule, string) {
	for _, hit := range got {
		if slices.Contains(want, hit) {
			continue
		}
		origin, ok := c.origin(q, hit)
		if ok && isAnswerSnapshot(a, origin) {
			return RuleRightHits, fmt.Sprintf("hit %s of service %s comes from a shard that is listed as missing", hit.ID, hit.Service)
		}
		if ok {
			return RuleOneSnapshot, fmt.Sprintf("hit %s of service %s comes from snapshot %q of set %q", hit.ID, hit.Service, origin.Snapshot, origin.Set)
		}
		return RuleRightHits, fmt.Sprintf("hit %s of service %s is not among the %d expected hits", hit.ID, hit.Service, len(want))
	}
	return RuleRightHits, fmt.Sprintf("got %d hits, want %d for query %q", len(got), len(want), a.QueryID)
}

func isAnswerSnapshot(a *Answer, m *ShardMap) bool {
	return slices.ContainsFunc(a.Services, func(s ServiceAnswer) bool {
		return s.Service == m.Service && s.Set == m.Set && s.Snapshot == m.Snapshot
	})
}

// origin returns the shard map of a snapshot that contains the hit.
func (c *recordChecker) origin(q *Request, hit AnswerHit) (*ShardMap, bool) {
	for _, m := range c.shardMaps {
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

// checkShardRuns checks that a target completed a search of each shard that the
// answer claims to cover.
func (c *recordChecker) checkShardRuns(q *Request, a *Answer) {
	if c.record.TargetsPartial {
		return
	}
	// The fields of these keys hold service, snapshot and shard.
	done := map[shardMapKey]bool{}
	for _, r := range c.runsByText[q.Text] {
		if r.Outcome == RunCompleted {
			done[shardMapKey{r.Service, r.Snapshot, r.Shard}] = true
		}
	}
	for _, s := range a.Services {
		m, ok := c.shardMapOf(s)
		if !ok {
			continue
		}
		for _, shard := range claimedShards(m, s) {
			if !done[shardMapKey{s.Service, s.Snapshot, shard.Name}] {
				c.report(RuleTrueCoverage, q.ID, "the answer claims to cover shard %s, but no target completed a search of it", shard.Name)
			}
		}
	}
}

// checkAtMostOnce checks that no non-idempotent request ran twice, whether
// identified by its ID or by its payload.
func (c *recordChecker) checkAtMostOnce() {
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

func (c *recordChecker) checkStrayAnswers() {
	for i := range c.record.Answers {
		if id := c.record.Answers[i].Request; !c.requestIDs[id] {
			c.report(RuleOneAnswer, id, "answer to a request that was not sent")
		}
	}
}
