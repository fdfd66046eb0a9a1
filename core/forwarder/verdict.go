package forwarder

import (
	"math"
	"time"
)

// Verdict says whether and how the request is to be answered now.
type Verdict int

var verdictNames = [...]string{"waiting", "whole", "partial", "not-run", "unserved", "timed-out"}

// String returns the name of the verdict for logs.
func (v Verdict) String() string { return verdictNames[v] }

// Judge says whether the request is answered now. A partial answer goes out as
// soon as nothing more can come, or when waiting on would make it late: credit
// falls with the square of the missing share, and to a tenth when it is late.
func (q *Query) Judge(now time.Time) Verdict {
	open := len(q.shards) - q.answered - q.lost
	switch {
	case q.answered == len(q.shards):
		return Whole
	case q.enough() && (open == 0 || !now.Before(q.cut())):
		return Partial
	case !now.Before(q.deadline):
		if q.ran() {
			return TimedOut
		}
		return NotRun
	case q.answered+open < q.least():
		return q.failure()
	default:
		return Waiting
	}
}

func (q *Query) failure() Verdict {
	if q.ran() {
		return Unserved
	}
	return NotRun
}

// ran reports whether a target may have run, or may still run, a part of the
// request.
func (q *Query) ran() bool {
	for i := range q.shards {
		if q.shards[i].ran || q.shards[i].inFlight() > 0 {
			return true
		}
	}
	return false
}

// cut is when a partial answer is worth more than a whole one that is late.
func (q *Query) cut() time.Time {
	return q.arrived.Add(q.route.Aim - q.config.CallerTime)
}

// Verdicts.
const (
	// Waiting says that the request goes on.
	Waiting Verdict = iota
	// Whole says that every shard has answered.
	Whole
	// Partial says that enough shards have answered and the others would come
	// too late.
	Partial
	// NotRun says that no target has run or will run the request.
	NotRun
	// Unserved says that the request failed although a target may have run it.
	Unserved
	// TimedOut says that the time of the request is over.
	TimedOut
)

// least is the number of shards without which an answer is no success.
func (q *Query) least() int {
	if !q.route.Gathers() {
		return len(q.shards)
	}
	const rounding = 1e-9
	return max(int(math.Ceil(q.route.LeastShare*float64(len(q.shards))-rounding)), 1)
}

// Missing returns the number of shards without an answer.
func (q *Query) Missing() int { return len(q.shards) - q.answered }
