package evaluator

import (
	"slices"
	"time"
)

// Oracle answers a scenario with full knowledge of every queue and of every
// service time: it sends each sub-request once, to the replica that ends first,
// and refuses a query that could not end in time. It is the reference that the
// policy is compared with.
func Oracle(s Scenario) *Result {
	o := &oracle{scenario: s, shards: make(map[string][]*oracleTarget)}
	for _, spec := range s.targets() {
		key := spec.service.Name + spec.shard
		if _, ok := o.shards[key]; !ok {
			o.order = append(o.order, key)
		}
		o.shards[key] = append(o.shards[key], &oracleTarget{spec: spec, free: make([]time.Duration, spec.service.Slots)})
	}
	var samples []sample
	var runs int
	for _, a := range arrivals(s) {
		answer := o.ask(a)
		samples = append(samples, answer)
		if answer.whole {
			runs += len(o.order)
		}
	}
	return newResult(s, "oracle", samples, runs, runs)
}

type oracle struct {
	scenario Scenario
	shards   map[string][]*oracleTarget
	order    []string
}

// oracleTarget knows when each of its slots becomes free.
type oracleTarget struct {
	spec *targetSpec
	free []time.Duration
}

// booking is the use of one slot.
type booking struct {
	target   *oracleTarget
	slot     int
	until    time.Duration
	answered time.Duration
}

func (o *oracle) ask(a arrival) sample {
	deployment := o.scenario.Deployment
	domain := deployment.FailureDomains[a.gateway/deployment.VMsPerDomain]
	bookings := make([]booking, 0, len(o.order))
	var last time.Duration
	for _, key := range o.order {
		b := o.best(a, domain, key)
		last = max(last, b.answered)
		bookings = append(bookings, b)
	}
	s := sample{arrival: a, latency: last - a.at, coverage: 1}
	if s.latency > Deadline {
		s.refused = true
		return s
	}
	for _, b := range bookings {
		b.target.free[b.slot] = b.until
	}
	s.whole = true
	return s
}

// best returns the booking at the replica that answers first.
func (o *oracle) best(a arrival, domain, key string) booking {
	best := booking{answered: Missed}
	for _, t := range o.shards[key] {
		hop := delayBetween(domain, t.spec.domain) + linkDelay
		slot, free := t.earliest()
		start := max(a.at+hop, free)
		if t.spec.lost(start) {
			continue
		}
		needed := time.Duration(float64(work(o.scenario.Seed, a.number, key, t.spec.name)) * t.spec.factor(start))
		if end := start + needed; end+hop < best.answered {
			best = booking{target: t, slot: slot, until: end, answered: end + hop}
		}
	}
	return best
}

func (t *oracleTarget) earliest() (int, time.Duration) {
	free := slices.Min(t.free)
	return slices.Index(t.free, free), free
}
