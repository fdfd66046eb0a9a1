package checker

import (
	"math"
	"slices"
)

// tolerance of a coverage, for sums of weights in another order.
const tolerance = 1e-9

// coverage checks what the answer claims against the shard maps.
func (c *check) coverage(q *Request, a *Answer) {
	var answered, all float64
	missing := false
	for _, s := range a.Services {
		part, whole := c.serviceCoverage(q, s)
		answered += part
		all += whole
		missing = missing || part < whole
	}
	if a.Complete && missing {
		c.report(RuleTrueCoverage, q.ID, "the answer says that it is complete, but shards are missing")
	}
	if all == 0 {
		return
	}
	if limit := answered / all; a.Coverage > limit+tolerance {
		c.report(RuleTrueCoverage, q.ID, "coverage %g is claimed, but the listed shards weigh %g", a.Coverage, limit)
	}
}

// serviceCoverage checks one service, and returns the weights of the shards
// that it claims and of all its shards.
func (c *check) serviceCoverage(q *Request, s ServiceAnswer) (answered, all float64) {
	m, ok := c.mapOf(s)
	if !ok {
		if s.Coverage > 0 {
			c.report(RuleTrueCoverage, q.ID, "service %s claims coverage %g without a snapshot", s.Service, s.Coverage)
		}
		return 0, c.lightest(s.Service)
	}
	for _, name := range s.Missing {
		if !slices.ContainsFunc(m.Shards, func(shard Shard) bool { return shard.Name == name }) {
			c.report(RuleTrueCoverage, q.ID, "missing shard %s is not in snapshot %q", name, s.Snapshot)
		}
	}
	answered, all = weight(claimed(m, s)), weight(m.Shards)
	if all > 0 && s.Coverage > answered/all+tolerance {
		c.report(RuleTrueCoverage, q.ID, "service %s claims coverage %g, but its shards weigh %g", s.Service, s.Coverage, answered/all)
	}
	return answered, all
}

// lightest returns the smallest weight of a snapshot of the service, which is
// the least that a service without a snapshot counts.
func (c *check) lightest(service string) float64 {
	least := math.Inf(1)
	for _, m := range c.maps {
		if m.Service == service {
			least = min(least, weight(m.Shards))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func weight(shards []Shard) float64 {
	sum := 0.0
	for _, shard := range shards {
		sum += shard.Weight
	}
	return sum
}
