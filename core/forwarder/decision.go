package forwarder

import (
	"math"
	"time"
)

// Decision is whether and how the request is answered now.
type Decision int

var decisionNames = [...]string{"waiting", "whole", "partial", "not-run", "unserved", "timed-out"}

// String returns the name of the decision for logs.
func (d Decision) String() string { return decisionNames[d] }

// Decide returns whether and how the request is answered now. A partial answer is
// sent once no further shard can answer, or at the cutoff, when waiting longer
// would make it late. The value of an answer falls with the square of the share
// of missing shards, and to a tenth once it is late.
func (q *Query) Decide(now time.Time) Decision {
	pending := len(q.shards) - q.answered - q.failedShards
	switch {
	case q.answered == len(q.shards):
		return Complete
	case q.hasEnoughShards() && (pending == 0 || !now.Before(q.partialCutoff())):
		return Partial
	case !now.Before(q.deadline):
		return q.Finish()
	case q.answered+pending < q.minShards():
		return q.failureDecision()
	default:
		return Waiting
	}
}

// Finish returns how the request is answered if no more answers are waited for.
func (q *Query) Finish() Decision {
	switch {
	case q.answered == len(q.shards):
		return Complete
	case q.hasEnoughShards():
		return Partial
	case q.mayHaveRun():
		return TimedOut
	default:
		return NotRun
	}
}

func (q *Query) failureDecision() Decision {
	if q.mayHaveRun() {
		return FailedMaybeRun
	}
	return NotRun
}

// mayHaveRun reports whether a target may have run, or may still run, a part of
// the request.
func (q *Query) mayHaveRun() bool {
	for i := range q.shards {
		if q.shards[i].mayHaveRun || q.shards[i].inFlight() > 0 {
			return true
		}
	}
	return false
}

// partialCutoff returns the time from which a partial answer is sent: it is worth
// more than a complete one that is late.
func (q *Query) partialCutoff() time.Time {
	return q.arrived.Add(q.route.LatencyObjective - q.config.CallerTime)
}

// Decisions.
const (
	// Waiting means that the request continues.
	Waiting Decision = iota
	// Complete means that every shard has answered.
	Complete
	// Partial means that enough shards have answered and the others have failed
	// or would be too late.
	Partial
	// NotRun means that no target has run or will run the request.
	NotRun
	// FailedMaybeRun means that the request failed although a target may have run it.
	FailedMaybeRun
	// TimedOut means that the deadline passed although a target may have run the
	// request.
	TimedOut
)

// minShards returns the number of shards that must answer for a success.
func (q *Query) minShards() int {
	if !q.route.Gathers() {
		return len(q.shards)
	}
	const rounding = 1e-9
	return max(int(math.Ceil(q.route.MinShardShare*float64(len(q.shards))-rounding)), 1)
}

// Missing returns the number of shards without an answer.
func (q *Query) Missing() int { return len(q.shards) - q.answered }
