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

// run is the state of one run of a variant in a scenario.
type run struct {
	scenario Scenario
	variant  Variant
	started  time.Time
	timers   *timer.Service
	table    *planner.Table
	specs    []*targetSpec
	relays   map[string]*relay
	gateways []*gateway

	mu          sync.Mutex
	sequence    uint64
	executions  int
	subRequests map[subRequestKey]struct{}
	samples     []sample
}

// subRequestKey identifies a sub-request; all its attempts have the same key.
type subRequestKey struct {
	query          int
	service, shard string
}

// Run measures a variant of the policy in a scenario. It must be called inside
// a synctest bubble.
func Run(scenario Scenario, variant Variant) *Result {
	r := &run{
		scenario:    scenario,
		variant:     variant,
		started:     time.Now(),
		timers:      timer.NewService(),
		table:       planner.NewTable(),
		specs:       scenario.targets(),
		relays:      make(map[string]*relay),
		subRequests: make(map[subRequestKey]struct{}),
	}
	defer r.timers.Close()
	r.startTier()
	r.startTargets()
	r.issueQueries(arrivals(scenario))
	for _, relay := range r.relays {
		relay.dispatcher.Close()
	}
	return newResult(scenario, variant.Name, r.samples, r.executions, len(r.subRequests))
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
		g.admission = &admissionControl{state: admitter.New(*r.variant.Admitter), rng: rand.New(rand.NewPCG(seed, 3))}
	}
	return g
}

func (r *run) startTargets() {
	r.publishDocuments()
	for _, spec := range r.specs {
		r.addTarget(spec)
		r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, r.started.Add(-priorUptime), oldSnapshot)
		r.scheduleReports(spec)
	}
}

// scheduleReports schedules the reports on the faults and snapshots of a target,
// with the time that its relays take to detect a change.
func (r *run) scheduleReports(spec *targetSpec) {
	for _, f := range spec.faults {
		switch f.Kind {
		case Lost:
			r.scheduleAt(f.From+detectionDelay, func() { r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_LOST, time.Now(), oldSnapshot) })
		case Cold:
			r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_LOST, r.started, oldSnapshot)
			r.scheduleAt(f.Until, func() { r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), oldSnapshot) })
		}
	}
	if r.scenario.ReplaceAt == 0 {
		return
	}
	r.scheduleAt(spec.newLoadedAt+reportDelay, func() {
		r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), oldSnapshot, newSnapshot)
	})
	r.scheduleAt(spec.oldDroppedAt+reportDelay, func() {
		r.publishState(spec, peerpb.TargetPhase_TARGET_PHASE_SERVING, time.Now(), newSnapshot)
	})
}

// scheduleAt runs action at a moment, counted from the start of the run.
func (r *run) scheduleAt(moment time.Duration, action func()) {
	time.AfterFunc(moment-r.elapsed(), action)
}

// issueQueries starts every query at its intended arrival time and waits for all
// answers.
func (r *run) issueQueries(list []arrival) {
	var running sync.WaitGroup
	for _, a := range list {
		time.Sleep(a.at - r.elapsed())
		running.Go(func() { r.addSample(r.runQuery(a)) })
	}
	running.Wait()
}

// runQuery sends one query through its gateway and returns its outcome.
func (r *run) runQuery(a arrival) sample {
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
	if !g.admitQuery(a.priority) {
		s.refused = true
		return s
	}
	answer := g.engine.Query(context.Background(), request)
	s.latency = r.elapsed() - a.at
	s.inTime = answer.Complete && s.latency <= Deadline
	s.coverage = answer.Coverage
	s.stats = answer.Stats
	g.finishQuery(admitter.Outcome{WithinCapacity: s.inTime || !answer.Overloaded, Elapsed: s.latency, Deadline: Deadline})
	return s
}

func (r *run) addSample(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// countExecution counts an execution at a target and records its sub-request.
func (r *run) countExecution(query int, service, shard string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
	r.subRequests[subRequestKey{query, service, shard}] = struct{}{}
}
