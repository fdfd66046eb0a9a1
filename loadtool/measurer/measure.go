package measurer

import (
	"slices"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/scheduler"
)

// request is a recorded request with its answer.
type request struct {
	*checker.Request
	answer *checker.Answer
	// offset is the intended send time relative to the start of the run.
	offset  time.Duration
	latency time.Duration
	// hasLatency is true if latency summaries include the request; see Latency.
	hasLatency bool
	inTime     bool
	good       bool
}

// Measure checks the run for violations and computes its measures.
func Measure(run *driver.Run) *Report {
	requests := joinAnswers(run)
	violations := checker.Check(&run.Record)
	report := &Report{
		Start: run.Start, Duration: Duration(run.Workload.TotalDuration()),
		Counts: countOutcomes(requests), Codes: countCodes(requests),
		TailLatency: latencyOf(requests, includeAll),
		Coverage:    coverageOf(requests),
		ExtraLoad:   extraLoadOf(searchRuns(run)),
		Crest:       crestOf(run.Workload, requests),
		Slowed:      slowedOf(run.Workload, requests),
		Priorities:  latencyByGroup(requests, priorityOf),
		Phases:      latencyByGroup(requests, func(r *request) string { return r.Phase }),
		Timeline:    timelineOf(run, requests),
		Violations:  violations, ViolationCounts: map[checker.Rule]int{},
		TargetsPartial: run.Record.TargetsPartial, Notes: run.Notes,
	}
	for _, v := range violations {
		report.ViolationCounts[v.Rule]++
	}
	return report
}

func joinAnswers(run *driver.Run) []*request {
	answers := map[string]*checker.Answer{}
	for i := range run.Record.Answers {
		a := &run.Record.Answers[i]
		answers[a.Request] = a
	}
	var requests []*request
	for i := range run.Record.Requests {
		q := &run.Record.Requests[i]
		a, ok := answers[q.ID]
		if !ok {
			continue
		}
		requests = append(requests, newRequest(run, q, a))
	}
	return requests
}

func newRequest(run *driver.Run, q *checker.Request, a *checker.Answer) *request {
	r := &request{Request: q, answer: a, offset: q.Intended.Sub(run.Start), latency: a.At.Sub(q.Intended)}
	answered := a.Outcome == checker.OutcomeAnswered
	r.hasLatency = a.Outcome != checker.OutcomeNotRun || a.Code == driver.CodeNotSent
	r.inTime = answered && r.latency <= q.Deadline+time.Duration(run.Workload.Grace)
	r.good = r.inTime && a.Coverage >= run.Workload.GoodCoverage
	return r
}

func includeAll(*request) bool { return true }

func priorityOf(r *request) string {
	if r.Kind == checker.RequestExecute {
		return "non-idempotent"
	}
	if r.Priority == "" {
		return "normal"
	}
	return r.Priority
}

func latencyByGroup(requests []*request, key func(*request) string) map[string]Latency {
	groups := map[string][]*request{}
	for _, r := range requests {
		groups[key(r)] = append(groups[key(r)], r)
	}
	result := map[string]Latency{}
	for name, group := range groups {
		result[name] = latencyOf(group, includeAll)
	}
	return result
}

func countOutcomes(requests []*request) Counts {
	c := Counts{Offered: len(requests)}
	for _, r := range requests {
		switch r.answer.Outcome {
		case checker.OutcomeAnswered:
			c.Answered++
			if !r.answer.Complete {
				c.Partial++
			}
		case checker.OutcomeNotRun:
			c.NotRun++
		case checker.OutcomeRan:
			c.Ran++
		default:
			c.Unknown++
		}
		if r.answer.Code == driver.CodeNotSent {
			c.NotSent++
		}
	}
	return c
}

func countCodes(requests []*request) map[string]int {
	result := map[string]int{}
	for _, r := range requests {
		if r.answer.Code != "" {
			result[r.answer.Code]++
		}
	}
	return result
}

func coverageOf(requests []*request) Coverage {
	var values []float64
	complete, sum := 0, 0.0
	for _, r := range requests {
		if r.Kind != checker.RequestQuery || r.answer.Outcome != checker.OutcomeAnswered {
			continue
		}
		values = append(values, r.answer.Coverage)
		sum += r.answer.Coverage
		if r.answer.Complete {
			complete++
		}
	}
	if len(values) == 0 {
		return Coverage{}
	}
	slices.Sort(values)
	n := float64(len(values))
	return Coverage{Mean: sum / n, Lowest: values[0], P1: values[len(values)/100], Complete: float64(complete) / n}
}

// searchRuns returns the search runs on targets, sorted by start time.
func searchRuns(run *driver.Run) []checker.Run {
	var runs []checker.Run
	for _, r := range run.Record.Targets.Runs {
		if r.Kind == checker.RunSearch {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b checker.Run) int { return a.Start.Compare(b.Start) })
	return runs
}

// searchKey identifies the search of one shard for one query.
type searchKey struct {
	queryID, service, shard string
}

func extraLoadOf(runs []checker.Run) ExtraLoad {
	load := ExtraLoad{Runs: len(runs)}
	for i, extra := range extraRuns(runs) {
		if !extra {
			load.Needed++
		}
		if runs[i].Cancelled {
			load.Cancelled++
		}
	}
	load.Share = ratio(float64(load.Runs-load.Needed), float64(load.Needed))
	return load
}

// extraRuns reports for each run whether an earlier run has the same searchKey.
func extraRuns(runs []checker.Run) []bool {
	seen := map[searchKey]bool{}
	result := make([]bool, len(runs))
	for i, r := range runs {
		key := searchKey{r.QueryID, r.Service, r.Shard}
		result[i] = seen[key]
		seen[key] = true
	}
	return result
}

// crestRateShare is the share of the highest rate at which a crest begins.
const crestRateShare = 0.9

// windowStep is the resolution at which the time in crests and slowed windows
// is summed.
const windowStep = time.Millisecond

func crestOf(w *scheduler.Workload, requests []*request) Crest {
	minRate := crestRateShare * w.HighestRate()
	length := time.Duration(0)
	for offset := time.Duration(0); offset < w.TotalDuration(); offset += windowStep {
		if w.RateAt(offset) >= minRate {
			length += windowStep
		}
	}
	inCrest := func(r *request) bool { return w.RateAt(r.offset) >= minRate }
	offered, good := 0.0, 0.0
	for _, r := range requests {
		if !inCrest(r) {
			continue
		}
		offered++
		if r.good {
			good++
		}
	}
	crest := Crest{Time: Duration(length), Latency: latencyOf(requests, inCrest)}
	crest.Offered = ratio(offered, length.Seconds())
	crest.Goodput = ratio(good, length.Seconds())
	crest.OverOffered = ratio(good, offered)
	crest.OverCapacity = ratio(crest.Goodput, w.Capacity)
	return crest
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
