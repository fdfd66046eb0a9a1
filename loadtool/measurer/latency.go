package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and significant decimal digits of the latency histograms.
const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 3
)

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	bounded := min(max(latency, lowestLatency), highestLatency)
	// RecordValue fails only for values outside the histogram's range.
	_ = h.RecordValue(bounded.Microseconds())
}

func quantile(h *hdrhistogram.Histogram, percent float64) Duration {
	return Duration(time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond)
}

// latencyOf summarizes the latencies of the requests that include accepts.
func latencyOf(requests []*request, include func(*request) bool) Latency {
	h := newHistogram()
	inTime := 0.0
	for _, r := range requests {
		if !r.hasLatency || !include(r) {
			continue
		}
		recordLatency(h, r.latency)
		if r.inTime {
			inTime++
		}
	}
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: h.TotalCount(),
		P50:   quantile(h, 50), P90: quantile(h, 90), P99: quantile(h, 99), P999: quantile(h, 99.9),
		Max:    Duration(time.Duration(h.Max()) * time.Microsecond),
		InTime: inTime / float64(h.TotalCount()),
	}
}
