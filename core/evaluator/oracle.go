package evaluator

import (
	"slices"
	"time"
)

// Oracle answers a scenario with full knowledge of every queue and of every
// service time. It sends each sub-request once, to the replica that answers
// first, and refuses a query that cannot be answered before the deadline. It is
// the reference that the policy is compared with.
func Oracle(s Scenario) *Result {
	o := &oracle{scenario: s, replicas: make(map[string][]*oracleTarget)}
	for _, spec := range s.targets() {
		key := spec.service.Name + spec.shard
		if _, ok := o.replicas[key]; !ok {
			o.shardKeys = append(o.shardKeys, key)
		}
		o.replicas[key] = append(o.replicas[key], &oracleTarget{spec: spec, freeAt: make([]time.Duration, spec.service.Slots)})
	}
	var samples []sample
	var executions int
	for _, a := range arrivals(s) {
		answer := o.scheduleQuery(a)
		samples = append(samples, answer)
		if answer.inTime {
			executions += len(o.shardKeys)
		}
	}
	return newResult(s, "oracle", samples, executions, executions)
}

type oracle struct {
	scenario  Scenario
	replicas  map[string][]*oracleTarget
	shardKeys []string
}

// oracleTarget holds the time at which each slot of a target becomes free.
type oracleTarget struct {
	spec   *targetSpec
	freeAt []time.Duration
}

// reservation holds one slot of a target until a given time. The answer arrives at
// answeredAt.
type reservation struct {
	target     *oracleTarget
	slot       int
	until      time.Duration
	answeredAt time.Duration
}

// scheduleQuery reserves a slot for each sub-request of a query, unless the query
// would miss the deadline.
func (o *oracle) scheduleQuery(a arrival) sample {
	deployment := o.scenario.Deployment
	domain := deployment.FailureDomains[a.gateway/deployment.VMsPerDomain]
	reservations := make([]reservation, 0, len(o.shardKeys))
	var lastAnswer time.Duration
	for _, key := range o.shardKeys {
		r := o.best(a, domain, key)
		lastAnswer = max(lastAnswer, r.answeredAt)
		reservations = append(reservations, r)
	}
	s := sample{arrival: a, latency: lastAnswer - a.at, coverage: 1}
	if s.latency > Deadline {
		s.refused = true
		return s
	}
	for _, r := range reservations {
		r.target.freeAt[r.slot] = r.until
	}
	s.inTime = true
	return s
}

// best returns the reservation at the replica that answers first.
func (o *oracle) best(a arrival, domain, key string) reservation {
	best := reservation{answeredAt: Missed}
	for _, t := range o.replicas[key] {
		delay := delayBetween(domain, t.spec.domain) + sameDomainDelay
		slot, freeAt := t.earliest()
		start := max(a.at+delay, freeAt)
		if t.spec.lost(start) {
			continue
		}
		duration := time.Duration(float64(serviceTime(o.scenario.Seed, a.number, key, t.spec.name)) * t.spec.factor(start))
		if end := start + duration; end+delay < best.answeredAt {
			best = reservation{target: t, slot: slot, until: end, answeredAt: end + delay}
		}
	}
	return best
}

// earliest returns the slot that becomes free first, and when.
func (t *oracleTarget) earliest() (int, time.Duration) {
	freeAt := slices.Min(t.freeAt)
	return slices.Index(t.freeAt, freeAt), freeAt
}
