package evaluator

import (
	"slices"
	"time"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/scatterer"
)

// sample is the end of one query.
type sample struct {
	arrival
	refused  bool
	whole    bool
	latency  time.Duration
	coverage float64
	stats    scatterer.Stats
}

// Missed stands for the latency of a query that got no whole answer in time; it
// is far above any deadline.
const Missed = time.Hour

// Result holds the measures of one run.
type Result struct {
	Scenario, Variant string
	Queries           int
	// P50, P99 and P999 are over all offered queries; one without a whole
	// answer counts as Missed.
	P50, P99, P999 time.Duration
	// Coverage is the mean coverage of all admitted queries.
	Coverage float64
	// Refused is the share of queries that were refused.
	Refused float64
	// ExtraLoad is the share of target runs beyond the first of a sub-request.
	ExtraLoad float64
	// Goodput is the rate of whole answers in time at the crest, over capacity.
	Goodput float64
	// HighServed is the share of high-priority queries answered at the crest.
	HighServed float64
	// Recovery is the time from the end of the crest until service is good.
	Recovery time.Duration
	// Attempts adds up the attempts behind the answers.
	Attempts scatterer.Stats
	// Latencies are the latencies of the measured queries, sorted.
	Latencies []time.Duration
}

func newResult(s Scenario, variant string, samples []sample, runs, needed int) *Result {
	result := &Result{Scenario: s.Name, Variant: variant}
	if needed > 0 {
		result.ExtraLoad = float64(runs-needed) / float64(needed)
	}
	var coverage float64
	var refused int
	for _, q := range samples {
		if q.at < s.Warmup {
			continue
		}
		result.Queries++
		result.Latencies = append(result.Latencies, q.usefulLatency())
		if q.refused {
			refused++
			continue
		}
		coverage += q.coverage
		result.Attempts.Subs += q.stats.Subs
		result.Attempts.Hedges += q.stats.Hedges
		result.Attempts.Retries += q.stats.Retries
		result.Attempts.Restarts += q.stats.Restarts
	}
	slices.Sort(result.Latencies)
	result.Refused = float64(refused) / float64(max(result.Queries, 1))
	result.Coverage = coverage / float64(max(result.Queries-refused, 1))
	result.P50 = quantile(result.Latencies, 0.50)
	result.P99 = quantile(result.Latencies, 0.99)
	result.P999 = quantile(result.Latencies, 0.999)
	if s.Crest != nil {
		result.measureCrest(s, samples)
	}
	return result
}

func (q sample) usefulLatency() time.Duration {
	if q.whole {
		return q.latency
	}
	return Missed
}

// quantile returns the value below which the share q of the sorted values lies.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// recoveryBin is the resolution of the recovery time, recoveredShare the share
// of whole answers from which service counts as good.
const (
	recoveryBin    = 100 * time.Millisecond
	recoveredShare = 0.99
)

func (r *Result) measureCrest(s Scenario, samples []sample) {
	var whole, high, highWhole int
	bins := make(map[int][2]int)
	end := s.Crest.Start + s.Crest.Length
	for _, q := range samples {
		if q.at >= end {
			count := bins[int((q.at-end)/recoveryBin)]
			count[0]++
			if q.whole {
				count[1]++
			}
			bins[int((q.at-end)/recoveryBin)] = count
		}
		if !s.Crest.contains(q.at) {
			continue
		}
		if q.whole {
			whole++
		}
		if q.priority == admitter.High {
			high++
			if q.whole {
				highWhole++
			}
		}
	}
	r.Goodput = float64(whole) / (s.Deployment.Capacity() * s.Crest.Length.Seconds())
	r.HighServed = float64(highWhole) / float64(max(high, 1))
	for bin, count := range bins {
		if float64(count[1]) < recoveredShare*float64(count[0]) {
			r.Recovery = max(r.Recovery, time.Duration(bin+1)*recoveryBin)
		}
	}
}
