package evaluator

import (
	"slices"
	"time"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/scatterer"
)

// sample is the outcome of one query.
type sample struct {
	arrival
	refused bool
	// inTime is set when a complete answer arrived before the deadline.
	inTime   bool
	latency  time.Duration
	coverage float64
	stats    scatterer.Stats
}

// Missed is recorded as the latency of a query without a complete answer before
// the deadline. It is far above any deadline.
const Missed = time.Hour

// Result holds the measurements of one run.
type Result struct {
	Scenario, Variant string
	Queries           int
	// P50, P99 and P999 are latency quantiles over all offered queries. A query
	// without a complete answer before the deadline counts as Missed.
	P50, P99, P999 time.Duration
	// Coverage is the mean coverage of all admitted queries.
	Coverage float64
	// Refused is the share of queries that were refused.
	Refused float64
	// ExtraLoad is the number of executions at targets beyond the first of each
	// sub-request, divided by the number of sub-requests.
	ExtraLoad float64
	// Goodput is the rate of complete answers before the deadline during the
	// crest, divided by the capacity.
	Goodput float64
	// HighServed is the share of high-priority queries answered completely before
	// the deadline during the crest.
	HighServed float64
	// Recovery is the time from the end of the crest until the share of queries
	// answered in time stays at recoveredShare or above.
	Recovery time.Duration
	// Attempts is the sum of the attempts of all admitted queries.
	Attempts scatterer.Stats
	// Latencies are the latencies of the measured queries, sorted.
	Latencies []time.Duration
}

func newResult(s Scenario, variant string, samples []sample, executions, subRequests int) *Result {
	result := &Result{Scenario: s.Name, Variant: variant}
	if subRequests > 0 {
		result.ExtraLoad = float64(executions-subRequests) / float64(subRequests)
	}
	var coverage float64
	var refused int
	for _, q := range samples {
		if q.at < s.Warmup {
			continue
		}
		result.Queries++
		result.Latencies = append(result.Latencies, q.latencyOrMissed())
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

func (q sample) latencyOrMissed() time.Duration {
	if q.inTime {
		return q.latency
	}
	return Missed
}

// quantile returns the q-quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// recoveryBin is the resolution of the recovery time. Service has recovered when
// at least recoveredShare of the queries are answered in time.
const (
	recoveryBin    = 100 * time.Millisecond
	recoveredShare = 0.99
)

// measureCrest computes the measurements during and after the crest.
func (r *Result) measureCrest(s Scenario, samples []sample) {
	var inTime, high, highInTime int
	bins := make(map[int][2]int)
	end := s.Crest.Start + s.Crest.Length
	for _, q := range samples {
		if q.at >= end {
			count := bins[int((q.at-end)/recoveryBin)]
			count[0]++
			if q.inTime {
				count[1]++
			}
			bins[int((q.at-end)/recoveryBin)] = count
		}
		if !s.Crest.contains(q.at) {
			continue
		}
		if q.inTime {
			inTime++
		}
		if q.priority == admitter.High {
			high++
			if q.inTime {
				highInTime++
			}
		}
	}
	r.Goodput = float64(inTime) / (s.Deployment.Capacity() * s.Crest.Length.Seconds())
	r.HighServed = float64(highInTime) / float64(max(high, 1))
	for bin, count := range bins {
		if float64(count[1]) < recoveredShare*float64(count[0]) {
			r.Recovery = max(r.Recovery, time.Duration(bin+1)*recoveryBin)
		}
	}
}
