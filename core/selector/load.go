package selector

import "time"

// Load is the load of a target as seen by a relay. It is sent with each
// answer.
type Load struct {
	InFlight int
	Queued   int
	// Limit is the relay's current concurrency limit for the target.
	Limit int
	// Latency is the recent mean latency of the relay's requests to the
	// target.
	Latency time.Duration
}

// ownerLoad is the last load report of one relay about a target.
type ownerLoad struct {
	reportedLoad float64
	// meanLoad is the moving average of the reports. It replaces the last
	// report as that becomes stale.
	meanLoad   float64
	reportedAt time.Time
	// sentSinceReport counts the requests that this process has sent since
	// the report.
	sentSinceReport float64
	queued          int
	limit           int
	// latency is the reported latency corrected for the load of the target;
	// latencyChangedAt is the time of the last change.
	latency, reportedLatency time.Duration
	latencyChangedAt         time.Time
}

const (
	// meanWeight is the weight of a report in the moving average.
	meanWeight = 0.1
	// reportTrustAge is the age at which a report and the moving average have
	// equal weight.
	reportTrustAge = 20 * time.Millisecond
)

func (o *ownerLoad) updateLoad(now time.Time, load Load) {
	o.reportedLoad = float64(load.InFlight + load.Queued)
	if o.reportedAt.IsZero() {
		o.meanLoad = o.reportedLoad
	}
	o.meanLoad += meanWeight * (o.reportedLoad - o.meanLoad)
	o.reportedAt = now
	o.sentSinceReport = 0
	o.queued, o.limit = load.Queued, load.Limit
}

// updateLatency updates the latency from a report. The factor is the effect
// of the load on the reported latency.
func (o *ownerLoad) updateLatency(now time.Time, latency time.Duration, factor float64) {
	if latency == o.reportedLatency {
		return
	}
	o.reportedLatency = latency
	o.latency = time.Duration(float64(latency) / factor)
	o.latencyChangedAt = now
}

// estimate returns the estimated number of requests that the relay has at the
// target now.
func (o *ownerLoad) estimate(now time.Time) float64 {
	reportWeight := float64(reportTrustAge) / float64(reportTrustAge+max(now.Sub(o.reportedAt), 0))
	return reportWeight*o.reportedLoad + (1-reportWeight)*o.meanLoad + o.sentSinceReport
}
