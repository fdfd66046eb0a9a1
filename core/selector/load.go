package selector

import "time"

// Load is a relay's view of a target, sent with each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Latency is the recent mean latency of the relay's requests at the target.
	Latency time.Duration
}

// ownerLoad is what one relay last reported of its share of a target.
type ownerLoad struct {
	reported float64
	// mean is the moving average of the reports, which stands in for a report
	// that is older than the requests it counted.
	mean float64
	at   time.Time
	// sent counts the own requests since the report.
	sent   float64
	queued int
	limit  int
	// latency is the reported one, as if alone at the target, and since is when
	// it last changed.
	latency, reportedLatency time.Duration
	since                    time.Time
}

const (
	// meanWeight is the weight of a report in the moving average.
	meanWeight = 0.1
	// reportLife is the age at which a report counts as much as the average.
	reportLife = 20 * time.Millisecond
)

func (o *ownerLoad) report(now time.Time, load Load) {
	o.reported = float64(load.InFlight + load.Queued)
	if o.at.IsZero() {
		o.mean = o.reported
	}
	o.mean += meanWeight * (o.reported - o.mean)
	o.at = now
	o.sent = 0
	o.queued, o.limit = load.Queued, load.Limit
}

// reportLatency takes over a reported latency, of which the given factor is
// due to the load of the target.
func (o *ownerLoad) reportLatency(now time.Time, latency time.Duration, factor float64) {
	if latency == o.reportedLatency {
		return
	}
	o.reportedLatency = latency
	o.latency = time.Duration(float64(latency) / factor)
	o.since = now
}

// estimate returns the requests that the relay has at the target by now.
func (o *ownerLoad) estimate(now time.Time) float64 {
	trust := float64(reportLife) / float64(reportLife+max(now.Sub(o.at), 0))
	return trust*o.reported + (1-trust)*o.mean + o.sent
}
