package evaluator

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/timer"
)

// run is the state of one run.
type run struct {
	scenario Scenario
	variant  Variant
	started  time.Time
	timers   *timer.Service
	table    *planner.Table
	specs    []*targetSpec
	relays   map[string]*relay
	gateways []*gateway

	mu       sync.Mutex
	sequence uint64
	runs     int
	needed   map[subKey]struct{}
	samples  []sample
}

// subKey identifies a sub-request over all its attempts.
type subKey struct {
	query          int
	service, shard string
}

// Run measures a variant of the policy in a scenario. It must be called inside
// a synctest bubble.
func Run(scenario Scenario, variant Variant) *Result {
	r := &run{
		scenario: scenario,
		variant:  variant,
		started:  time.Now(),
		timers:   timer.NewService(),
		table:    planner.NewTable(),
		specs:    scenario.targets(),
		relays:   make(map[string]*relay),
		needed:   make(map[subKey]struct{}),
	}
	defer r.timers.Close()
	r.startTier()
	r.startTargets()
	r.drive(arrivals(scenario))
	for _, relay := range r.relays {
		relay.dispatcher.Close()
	}
	return newResult(scenario, variant.Name, r.samples, r.runs, len(r.needed))
}

func (r *run) elapsed() time.Duration { return time.Since(r.started) }

func (r *run) startTier() {
	deployment := r.scenario.Deployment
	for _, domain := range deployment.FailureDomains {
		for n := range deployment.VMsPerDomain {
			name := vmName(domain, n)
			r.relays[name] = &relay{name: name, domain: domain, dispatcher: dispatcher.New(r.timers, nil)}
			r.gateways = append(r.gateways, r.newGateway(domain))
		}
	}
}

func (r *run) newGateway(domain string) *gateway {
	g := &gateway{run: r, domain: domain}
	config := r.variant.Scatterer
	config.FailureDomain = domain
	config.Seed = r.scenario.Seed<<8 + uint64(len(r.gateways)) + 1
	g.engine = scatterer.New(config, r.timers, r.table, g)
	if r.variant.Admitter != nil {
		seed := r.scenario.Seed + uint64(len(r.gateways))
		g.admit = &admission{state: admitter.New(*r.variant.Admitter), rng: rand.New(rand.NewPCG(seed, 3))}
	}
	return g
}

func (r *run) startTargets() {
	r.publishDocuments()
	for _, spec := range r.specs {
		r.connect(spec)
		r.report(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, r.started.Add(-settled), oldSnapshot)
		r.planFaults(spec)
	}
}

// planFaults reports the faults of a target as late as its relays notice them.
func (r *run) planFaults(spec *targetSpec) {
	for _, f := range spec.faults {
		switch f.Kind {
		case Lost:
			r.at(f.From+detectionDelay, func() { r.report(spec, peerpb.TargetPhase_TARGET_PHASE_LOST, time.Now(), oldSnapshot) })
		case Cold:
			r.report(spec, peerpb.TargetPhase_TARGET_PHASE_LOST, r.started, oldSnapshot)
			r.at(f.Until, func() { r.report(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), oldSnapshot) })
		}
	}
	if r.scenario.ReplaceAt == 0 {
		return
	}
	r.at(spec.loadedNew+reportDelay, func() {
		r.report(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), oldSnapshot, newSnapshot)
	})
	r.at(spec.droppedOld+reportDelay, func() {
		r.report(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), newSnapshot)
	})
}

func (r *run) at(moment time.Duration, do func()) {
	time.AfterFunc(moment-r.elapsed(), do)
}

// drive starts every query at its intended arrival and waits for all answers.
func (r *run) drive(list []arrival) {
	var running sync.WaitGroup
	for _, a := range list {
		time.Sleep(a.at - r.elapsed())
		running.Go(func() { r.record(r.ask(a)) })
	}
	running.Wait()
}

// ask sends one query through its gateway.
func (r *run) ask(a arrival) sample {
	g := r.gateways[a.gateway]
	request := &scatterer.Request{
		Text:     strconv.Itoa(a.number),
		Deadline: r.started.Add(a.at + Deadline),
	}
	for i := range r.scenario.Deployment.Services {
		entry, _ := r.table.Service(r.scenario.Deployment.Services[i].Name)
		request.Services = append(request.Services, entry)
	}
	s := sample{arrival: a}
	if !g.admitted(a.priority) {
		s.refused = true
		return s
	}
	answer := g.engine.Query(context.Background(), request)
	s.latency = r.elapsed() - a.at
	s.whole = answer.Complete && s.latency <= Deadline
	s.coverage = answer.Coverage
	s.stats = answer.Stats
	g.ended(admitter.Outcome{WithinCapacity: s.whole || !answer.Overloaded, Elapsed: s.latency, Deadline: Deadline})
	return s
}

func (r *run) record(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// countRun counts a run at a target, and the first run of each sub-request.
func (r *run) countRun(query int, service, shard string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	r.needed[subKey{query, service, shard}] = struct{}{}
}
