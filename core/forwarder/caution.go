package forwarder

import (
	"slices"
	"time"

	"jackdawcart.org/core/placer"
)

// caution limits the targets that one request may crash. A request that has crashed a target
// is sent to no other one, and while it is not known what became of a target that broke off,
// nothing is repeated. A request under which a target was lost before is tried at a single
// target first.
type caution struct {
	// unexplained counts the attempts whose target broke off and has not been probed yet.
	unexplained int
	// crashed is set once a target has crashed under the request.
	crashed bool
	// trying is set until the trial has been answered.
	trying bool
	// trial is the shard that is tried first.
	trial int
}

// holds reports whether repeats wait until it is known what became of a target.
func (c *caution) holds() bool { return c.unexplained > 0 }

// forbids reports whether the shard must not be sent to another target.
func (c *caution) forbids(s *shard) bool { return c.crashed || c.trying && s.mayHaveRun }

func (c *caution) forbidsHedges() bool { return c.holds() || c.crashed || c.trying }

// TryFirst makes the request be sent to a target of one of the services first, and to those
// of the others once it has been answered. It is to be called before Start.
func (q *Query) TryFirst(services []string) {
	for i := range q.shards {
		if slices.Contains(services, q.shards[i].service) {
			q.caution.trying, q.caution.trial = true, i
			return
		}
	}
}

// Broke records that the target of an attempt ended the connection before an answer.
// Explained must follow.
func (q *Query) Broke() {
	q.caution.unexplained++
	q.nextWakeStale = true
}

// Explained records what became of the target of an attempt that broke off, and returns the
// retry, if there is one.
func (q *Query) Explained(now time.Time, shard, attempt int, crashed bool) []Send {
	q.caution.unexplained--
	q.nextWakeStale = true
	if crashed {
		q.caution.crashed = true
	}
	return q.Failed(now, shard, attempt, placer.Lost)
}

// trialAnswered ends the trial with the answer of its shard, and returns the first
// sub-requests of the others.
func (q *Query) trialAnswered(now time.Time, shard int) []Send {
	if !q.caution.trying || shard != q.caution.trial {
		return nil
	}
	q.caution.trying = false
	return q.startOthers(now)
}
