package checker

import "time"

// Shard is one part of a snapshot.
type Shard struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// ShardMap is the shard map of one snapshot of a set.
type ShardMap struct {
	Service  string  `json:"service"`
	Set      string  `json:"set"`
	Snapshot string  `json:"snapshot"`
	Sequence uint64  `json:"sequence"`
	Shards   []Shard `json:"shards"`
}

// RunKind is the kind of a run.
type RunKind string

// Kinds of runs.
const (
	RunSearch  RunKind = "search"
	RunExecute RunKind = "execute"
)

// RunOutcome is the state of a run at the end of the record.
type RunOutcome string

// Outcomes of runs.
const (
	RunRunning   RunOutcome = "running"
	RunCompleted RunOutcome = "completed"
	RunCancelled RunOutcome = "cancelled"
	RunCrashed   RunOutcome = "crashed"
)

// Run is one execution of a request by a target. A request that the target refused
// is not a run.
type Run struct {
	Target    string  `json:"target"`
	Service   string  `json:"service"`
	Set       string  `json:"set"`
	Kind      RunKind `json:"kind"`
	QueryID   string  `json:"query-id,omitempty"`
	SubID     string  `json:"sub-id,omitempty"`
	RequestID string  `json:"request-id,omitempty"`
	Shard     string  `json:"shard,omitempty"`
	Snapshot  string  `json:"snapshot,omitempty"`
	// Text is the text of a search or the payload of an execution.
	Text      string     `json:"text"`
	Start     time.Time  `json:"start"`
	End       time.Time  `json:"end,omitzero"`
	Outcome   RunOutcome `json:"outcome"`
	Cancelled bool       `json:"cancelled"`
}

// TargetRecord holds the runs of all targets of a stand-in process.
type TargetRecord struct {
	Runs []Run `json:"runs"`
	// Maps holds the shard map of every published snapshot.
	Maps []ShardMap `json:"maps"`
	// Refusals is the number of refused requests by error code.
	Refusals map[string]int `json:"refusals"`
}

// RequestKind is the kind of a caller's request.
type RequestKind string

// Kinds of requests.
const (
	RequestQuery   RequestKind = "query"
	RequestExecute RequestKind = "execute"
)

// Request is one request of a caller. Its text is unique, so that it identifies
// the runs of the request.
type Request struct {
	ID       string        `json:"id"`
	Kind     RequestKind   `json:"kind"`
	Caller   string        `json:"caller"`
	Services []string      `json:"services"`
	Text     string        `json:"text"`
	Limit    int           `json:"limit,omitempty"`
	Priority string        `json:"priority,omitempty"`
	Deadline time.Duration `json:"deadline"`
	Phase    string        `json:"phase"`
	// Operation names the operation of an execution.
	Operation string `json:"operation,omitempty"`
	// SharedText is true if other requests have the same text on purpose, so that the
	// text does not identify the runs of this one.
	SharedText bool `json:"repeats,omitempty"`
	// Intended is the send time that the workload scheduled.
	Intended time.Time `json:"intended"`
	Sent     time.Time `json:"sent"`
}

// Outcome is what an answer states about the runs of its request.
type Outcome string

// Outcomes of answers.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeRan      Outcome = "ran"
	OutcomeUnknown  Outcome = "unknown"
)

// Answer is what a caller received for one request. A broken connection is
// recorded as an answer with outcome unknown.
type Answer struct {
	// Request is the ID of the request that the caller sent.
	Request string `json:"request"`
	// EchoedRequest is the request ID contained in the answer.
	EchoedRequest string          `json:"echoed,omitempty"`
	QueryID       string          `json:"query-id,omitempty"`
	Outcome       Outcome         `json:"outcome"`
	Code          string          `json:"code,omitempty"`
	Message       string          `json:"message,omitempty"`
	Complete      bool            `json:"complete"`
	Coverage      float64         `json:"coverage"`
	Hits          []AnswerHit     `json:"hits,omitempty"`
	Services      []ServiceAnswer `json:"services,omitempty"`
	// Result is set for answers to executions.
	Result string    `json:"result,omitempty"`
	At     time.Time `json:"at"`
}

// AnswerHit is one hit of an answer.
type AnswerHit struct {
	Service string `json:"service"`
	Hit
}

// ServiceAnswer is the part of an answer that concerns one service.
type ServiceAnswer struct {
	Service  string   `json:"service"`
	Set      string   `json:"set"`
	Snapshot string   `json:"snapshot"`
	Coverage float64  `json:"coverage"`
	Missing  []string `json:"missing-shards,omitempty"`
}

// Record holds the requests, answers and target runs of one load test.
type Record struct {
	Requests []Request    `json:"requests"`
	Answers  []Answer     `json:"answers"`
	Targets  TargetRecord `json:"targets"`
	// TargetsPartial is true if runs of some targets are missing, for example
	// because a stand-in process was killed. Checks that require a run or a shard
	// map are then skipped; checks that forbid a run still apply.
	TargetsPartial bool `json:"targets-partial"`
}
