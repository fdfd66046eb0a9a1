package checker

import "time"

// Shard is one part of a snapshot.
type Shard struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Map is the shard map of one snapshot of a set.
type Map struct {
	Service  string  `json:"service"`
	Set      string  `json:"set"`
	Snapshot string  `json:"snapshot"`
	Sequence uint64  `json:"sequence"`
	Shards   []Shard `json:"shards"`
}

// RunKind says what a target ran.
type RunKind string

// Kinds of runs.
const (
	RunSearch  RunKind = "search"
	RunExecute RunKind = "execute"
)

// RunOutcome says how a run ended.
type RunOutcome string

// Outcomes of runs.
const (
	RunRunning   RunOutcome = "running"
	RunCompleted RunOutcome = "completed"
	RunCancelled RunOutcome = "cancelled"
	RunCrashed   RunOutcome = "crashed"
)

// Run is one request that a target started to run. A request that the target
// refused is not a run.
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

// TargetRecord is everything that the targets of a process ran.
type TargetRecord struct {
	Runs []Run `json:"runs"`
	// Maps lists every snapshot that was ever published.
	Maps []Map `json:"maps"`
	// Refusals counts the requests that were refused, by error code.
	Refusals map[string]int `json:"refusals"`
}

// RequestKind says what a caller asked for.
type RequestKind string

// Kinds of requests.
const (
	RequestQuery   RequestKind = "query"
	RequestExecute RequestKind = "execute"
)

// Request is one request of a caller. Text is unique to the request, which
// joins it with the runs that it caused.
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
	// Repeats says that the text is shared with other requests on purpose, so
	// that runs cannot be joined by it.
	Repeats bool `json:"repeats,omitempty"`
	// Intended is when the workload wanted the request to be sent.
	Intended time.Time `json:"intended"`
	Sent     time.Time `json:"sent"`
}

// Outcome says what an answer states about runs of its request.
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
	// Request is the identity of the request that the caller sent.
	Request string `json:"request"`
	// Echoed is the request identity inside the answer.
	Echoed   string          `json:"echoed,omitempty"`
	QueryID  string          `json:"query-id,omitempty"`
	Outcome  Outcome         `json:"outcome"`
	Code     string          `json:"code,omitempty"`
	Message  string          `json:"message,omitempty"`
	Complete bool            `json:"complete"`
	Coverage float64         `json:"coverage"`
	Hits     []AnswerHit     `json:"hits,omitempty"`
	Services []ServiceAnswer `json:"services,omitempty"`
	// Result is the result of an execution.
	Result string    `json:"result,omitempty"`
	At     time.Time `json:"at"`
}

// AnswerHit is one hit of an answer.
type AnswerHit struct {
	Service string `json:"service"`
	Hit
}

// ServiceAnswer is what an answer claims about one service.
type ServiceAnswer struct {
	Service  string   `json:"service"`
	Set      string   `json:"set"`
	Snapshot string   `json:"snapshot"`
	Coverage float64  `json:"coverage"`
	Missing  []string `json:"missing-shards,omitempty"`
}

// Record is what callers and targets saw during one run of the load tool.
type Record struct {
	Requests []Request    `json:"requests"`
	Answers  []Answer     `json:"answers"`
	Targets  TargetRecord `json:"targets"`
	// TargetsPartial says that runs of some targets are missing, for example
	// because a stand-in process was killed. Checks that need a run or a shard
	// map to exist are then left out; checks that forbid a run remain.
	TargetsPartial bool `json:"targets-partial"`
}
