// Package measurer computes the measures of a run from its record.
package measurer

import (
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/parser"
)

// Duration is the duration type of service documents.
type Duration = parser.Duration

// Report is what a run showed.
type Report struct {
	Start    time.Time `json:"start"`
	Duration Duration  `json:"duration"`
	Counts   Counts    `json:"counts"`
	// Codes counts the answers that are no results, by code.
	Codes map[string]int `json:"codes"`

	TailLatency Latency   `json:"tail-latency"`
	Coverage    Coverage  `json:"coverage"`
	ExtraLoad   ExtraLoad `json:"extra-load"`
	Crest       Crest     `json:"crest"`
	Slowed      Slowed    `json:"slowed"`

	// Priorities and Phases split the latencies of searches and all requests.
	Priorities map[string]Latency `json:"priorities"`
	Phases     map[string]Latency `json:"phases"`
	Timeline   []Bucket           `json:"timeline"`

	Violations      []checker.Violation  `json:"violations"`
	ViolationCounts map[checker.Rule]int `json:"violation-counts"`
	// TargetsPartial says that some checks were left out for lack of records.
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
	// NotSent is the part of NotRun that the load tool could not send.
	NotSent int `json:"not-sent"`
}

// Latency summarizes the times from the intended sending to the answer. It
// holds results and requests without an answer, but no refusals, which are
// fast and would hide the tail.
type Latency struct {
	Count int64    `json:"count"`
	P50   Duration `json:"p50"`
	P90   Duration `json:"p90"`
	P99   Duration `json:"p99"`
	P999  Duration `json:"p99.9"`
	Max   Duration `json:"max"`
	// InTime is the share of these requests answered within their deadline and
	// the grace.
	InTime float64 `json:"in-time"`
}

// Coverage summarizes the coverage of the searches that have a result.
type Coverage struct {
	Mean     float64 `json:"mean"`
	Lowest   float64 `json:"lowest"`
	P1       float64 `json:"p1"`
	Complete float64 `json:"complete"`
}

// ExtraLoad compares the runs of searches with the needed ones. The first run
// of a shard for a query is needed; hedges and retries are extra.
type ExtraLoad struct {
	Runs   int `json:"runs"`
	Needed int `json:"needed"`
	// Share is the extra runs over the needed ones.
	Share float64 `json:"share"`
	// Cancelled counts the runs that were cancelled.
	Cancelled int `json:"cancelled"`
}

// Crest is the service at the crest of the swings: the times at which the
// offered rate is at least nine tenths of its maximum.
type Crest struct {
	Time Duration `json:"time"`
	// Offered and Goodput are requests per second.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	// OverOffered is goodput over offered rate.
	OverOffered float64 `json:"over-offered"`
	// OverCapacity is goodput over the workload's capacity, zero without one.
	OverCapacity float64 `json:"over-capacity,omitempty"`
	Latency      Latency `json:"latency"`
}

// Slowed compares latencies while a target is slowed with all other times.
type Slowed struct {
	Time   Duration `json:"time"`
	During Latency  `json:"during"`
	Other  Latency  `json:"other"`
	// Ratio is the p99 during slowness over the p99 of other times.
	Ratio float64 `json:"ratio"`
}

// Bucket is one interval of the run.
type Bucket struct {
	At Duration `json:"at"`
	// Offered and Goodput are requests per second.
	Offered  float64  `json:"offered"`
	Goodput  float64  `json:"goodput"`
	P50      Duration `json:"p50"`
	P99      Duration `json:"p99"`
	Coverage float64  `json:"coverage"`
	// ExtraLoad is the share of extra runs that started in the interval.
	ExtraLoad float64 `json:"extra-load"`
}
