// Package stopper decides which requests a process takes during its planned stop, and until
// when it answers them.
//
// The load that it answers: callers that keep their connections send requests until the
// process is gone, and what is cut may have run. A request is refused as not run if the time
// that is left is too short for it, and what is taken is answered before the process ends.
package stopper

import "time"

// Shares of the grace period that the platform leaves between the signal and the end.
const (
	// acceptShare is how long new connections are accepted, because a load balancer notices
	// the stop only after two health checks.
	acceptShare = 0.55
	// answerShare is when every request has been answered. The rest is for withdrawing
	// registrations and for exiting; in the last sixth no target works on the requests.
	answerShare = 0.83
	// closeShare is when connections are closed, after the last answers have been written.
	closeShare = 0.87
)

// latencyMargin is the time that is kept for a request, as a multiple of the latency that
// most requests of its kind stay below.
const latencyMargin = 1.5

// Plan is the course of a planned stop.
type Plan struct {
	Began time.Time
	Grace time.Duration
}

func (p Plan) at(share float64) time.Time {
	return p.Began.Add(time.Duration(share * float64(p.Grace)))
}

// LastAccept returns when the last connection is accepted.
func (p Plan) LastAccept() time.Time { return p.at(acceptShare) }

// LastAnswer returns when every request must have been answered.
func (p Plan) LastAnswer() time.Time { return p.at(answerShare) }

// Close returns when connections are closed, whatever happens on them.
func (p Plan) Close() time.Time { return p.at(closeShare) }

// Takes reports whether a request can be answered in the time that is left. latency is what
// most requests of its kind stay below.
func (p Plan) Takes(now time.Time, latency time.Duration) bool {
	return now.Add(time.Duration(latencyMargin * float64(latency))).Before(p.LastAnswer())
}

// Limit returns the deadline of a request that is taken.
func (p Plan) Limit(deadline time.Time) time.Time {
	if last := p.LastAnswer(); last.Before(deadline) {
		return last
	}
	return deadline
}
