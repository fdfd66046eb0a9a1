package checker

import (
	"math"
	"slices"
)

// coverageTolerance allows for rounding errors, because the query tier may sum the
// weights in another order.
const coverageTolerance = 1e-9

// checkCoverage checks the claimed coverage of the answer and of its services
// against the shard maps.
func (c *recordChecker) checkCoverage(q *Request, a *Answer) {
	var claimed, all float64
	missing := false
	for _, s := range a.Services {
		part, whole := c.checkServiceCoverage(q, s)
		claimed += part
		all += whole
		missing = missing || part < whole
	}
	if a.Complete && missing {
		c.report(RuleTrueCoverage, q.ID, "the answer is marked complete, but shards are missing")
	}
	if all == 0 {
		return
	}
	if limit := claimed / all; a.Coverage > limit+coverageTolerance {
		c.report(RuleTrueCoverage, q.ID, "the answer claims coverage %g, but its shards have a share of %g of the weight", a.Coverage, limit)
	}
}

// checkServiceCoverage checks one service. It returns the total weight of the
// shards that the answer claims to cover and of all shards.
func (c *recordChecker) checkServiceCoverage(q *Request, s ServiceAnswer) (claimed, all float64) {
	m, ok := c.shardMapOf(s)
	if !ok {
		if s.Coverage > 0 {
			c.report(RuleTrueCoverage, q.ID, "service %s claims coverage %g without a snapshot", s.Service, s.Coverage)
		}
		return 0, c.minServiceWeight(s.Service)
	}
	for _, name := range s.Missing {
		if !slices.ContainsFunc(m.Shards, func(shard Shard) bool { return shard.Name == name }) {
			c.report(RuleTrueCoverage, q.ID, "missing shard %s is not in snapshot %q", name, s.Snapshot)
		}
	}
	claimed, all = totalWeight(claimedShards(m, s)), totalWeight(m.Shards)
	if all > 0 && s.Coverage > claimed/all+coverageTolerance {
		c.report(RuleTrueCoverage, q.ID, "service %s claims coverage %g, but its shards have a share of %g of the weight", s.Service, s.Coverage, claimed/all)
	}
	return claimed, all
}

// minServiceWeight returns the total weight of the service's lightest snapshot.
// It is the lower bound for the weight of a service that answered without one.
func (c *recordChecker) minServiceWeight(service string) float64 {
	least := math.Inf(1)
	for _, m := range c.shardMaps {
		if m.Service == service {
			least = min(least, totalWeight(m.Shards))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func totalWeight(shards []Shard) float64 {
	sum := 0.0
	for _, shard := range shards {
		sum += shard.Weight
	}
	return sum
}
