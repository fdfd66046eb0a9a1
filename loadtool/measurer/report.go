// Package measurer computes the measures of a run from its record.
package measurer

import (
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/parser"
)

// Duration is the duration type of service documents.
type Duration = parser.Duration

// Report holds the measures and violations of a run.
type Report struct {
	Start    time.Time `json:"start"`
	Duration Duration  `json:"duration"`
	Counts   Counts    `json:"counts"`
	// Codes counts the requests without a result by error code.
	Codes map[string]int `json:"codes"`

	TailLatency Latency   `json:"tail-latency"`
	Coverage    Coverage  `json:"coverage"`
	ExtraLoad   ExtraLoad `json:"extra-load"`
	Crest       Crest     `json:"crest"`
	Slowed      Slowed    `json:"slowed"`

	// Priorities holds latencies by priority, with non-idempotent requests as
	// one group. Phases holds them by phase.
	Priorities map[string]Latency `json:"priorities"`
	Phases     map[string]Latency `json:"phases"`
	Timeline   []Bucket           `json:"timeline"`

	Violations      []checker.Violation  `json:"violations"`
	ViolationCounts map[checker.Rule]int `json:"violation-counts"`
	// TargetsPartial indicates that checks were skipped because target records
	// are missing.
	TargetsPartial bool     `json:"targets-partial"`
	Notes          []string `json:"notes"`
}

// Counts are numbers of requests.
type Counts struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Partial  int `json:"partial"`
	NotRun   int `json:"not-run"`
	Ran      int `json:"ran"`
	Unknown  int `json:"unknown"`
	// NotSent counts the requests in NotRun that the load tool could not send.
	NotSent int `json:"not-sent"`
}

// Latency summarizes the times from the intended send time to the answer. It
// includes results and requests that got no answer or were not sent. It excludes
// refusals, which are fast and would hide the tail.
type Latency struct {
	Count int64    `json:"count"`
	P50   Duration `json:"p50"`
	P90   Duration `json:"p90"`
	P99   Duration `json:"p99"`
	P999  Duration `json:"p99.9"`
	Max   Duration `json:"max"`
	// InTime is the share of these requests that were answered within their
	// deadline plus the workload's grace time.
	InTime float64 `json:"in-time"`
}

// Coverage summarizes the coverage of answered searches.
type Coverage struct {
	Mean     float64 `json:"mean"`
	Lowest   float64 `json:"lowest"`
	P1       float64 `json:"p1"`
	Complete float64 `json:"complete"`
}

// ExtraLoad compares all search runs on targets with the needed ones. The first
// run for a query and shard is needed; hedges and retries are extra.
type ExtraLoad struct {
	Runs   int `json:"runs"`
	Needed int `json:"needed"`
	// Share is the ratio of extra to needed runs.
	Share     float64 `json:"share"`
	Cancelled int     `json:"cancelled"`
}

// Crest measures the service at peak load: the times at which the offered rate
// is at least nine tenths of its maximum.
type Crest struct {
	Time Duration `json:"time"`
	// Offered and Goodput are requests per second.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	// OverOffered is the ratio of goodput to offered rate.
	OverOffered float64 `json:"over-offered"`
	// OverCapacity is the ratio of goodput to the workload's capacity, or zero
	// if the capacity is unknown.
	OverCapacity float64 `json:"over-capacity,omitempty"`
	Latency      Latency `json:"latency"`
}

// Slowed compares latencies while a target is slowed with those at other times.
type Slowed struct {
	Time   Duration `json:"time"`
	During Latency  `json:"during"`
	Other  Latency  `json:"other"`
	// Ratio is the ratio of During's p99 to Other's.
	Ratio float64 `json:"ratio"`
}

// Bucket holds the measures of one interval of the timeline.
type Bucket struct {
	At Duration `json:"at"`
	// Offered and Goodput are requests per second.
	Offered  float64  `json:"offered"`
	Goodput  float64  `json:"goodput"`
	P50      Duration `json:"p50"`
	P99      Duration `json:"p99"`
	Coverage float64  `json:"coverage"`
	// ExtraLoad is the ratio of extra to needed runs that started in the interval.
	ExtraLoad float64 `json:"extra-load"`
}
