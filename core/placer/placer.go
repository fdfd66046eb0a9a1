package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/hedger"
	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/selector"
)

// Result is the way in which a sub-request to a target ended.
type Result int

// Results.
const (
	// Answered means a successful answer.
	Answered Result = iota
	// Refused means that the target did not run the request.
	Refused
	// Failed means an answer that reports a failure or cannot be read.
	Failed
	// Lost means that no answer arrived although the request may have run.
	Lost
	// Unsent means that no byte of the request reached the target.
	Unsent
	// Abandoned means that the answer was no longer needed.
	Abandoned
)

var resultNames = [...]string{"answered", "refused", "failed", "lost", "unsent", "abandoned"}

// String returns the name of the result for logs.
func (r Result) String() string { return resultNames[r] }

// Outcome reports whether a sub-request was placed.
type Outcome int

// Outcomes.
const (
	// Placed means that a target was chosen.
	Placed Outcome = iota
	// NoTarget means that no target is available for the request.
	NoTarget
	// NoBudget means that the repeat budget is used up.
	NoBudget
	// Limited means that a target is available, but the limit that it has named leaves no
	// room for the request now.
	Limited
)

// Placement is a sub-request that is assigned to a target.
type Placement struct {
	Record  registrar.Record
	Started time.Time
	// IdleTimeout is how long an idle connection to the target stays open; 0 means
	// until the target closes it.
	IdleTimeout time.Duration
	// loadFactor is what selector.State.Started returned for the sub-request.
	loadFactor float64
	// probeUntil is what pause.begin returned for the sub-request.
	probeUntil time.Time
	target     *target
}

// Placer chooses the targets for the sub-requests of one process. It is safe
// for concurrent use.
type Placer struct {
	config Config
	vm     string
	domain string

	mu       sync.Mutex
	rng      *rand.Rand
	limits   Limits
	services map[string]*service
	targets  map[string]*target
	routes   map[string]*route
	// limited holds the IDs of the targets that have named a limit.
	limited container.Set[string]
	leaving leaving
	// firstPlacedAt is the time of the first sub-request.
	firstPlacedAt time.Time
	count         vmCount
	// unreported lists the targets with evidence that TakeEvidence has not
	// returned.
	unreported []*target
}

// route holds the latency statistics of a route.
type route struct {
	hedgerState *hedger.State
	meanLatency time.Duration
	usedAt      time.Time
}

type service struct {
	selectorState *selector.State
	budget        *window
	// fullUntil holds, for each target that refused a request, the time until
	// which it is avoided.
	fullUntil map[string]time.Time
	usedAt    time.Time
}

// target holds the requests in flight and the health of one target.
type target struct {
	inFlight int
	capacity int
	// lastActivity is the time of the last answer, or of the first request
	// after an idle period if that is later.
	lastActivity time.Time
	meanLatency  time.Duration
	// lastLate is the time of the last answer that took far longer than the
	// mean.
	lastLate time.Time
	// lastFailureRate is the failure rate as of the last result, whose time
	// is lastResultAt.
	lastFailureRate float64
	lastResultAt    time.Time
	// unreachable is true if the last connection attempt failed.
	unreachable bool
	pace        pacer.State
	pause       pause
	use         use
	coldUntil   time.Time
	coldSlots   pacer.Slots
	// pendingEvidence is what TakeEvidence has not returned yet; nil if there
	// is none.
	pendingEvidence *Evidence
	// rendezvousWeight ranks the targets of a service when this VM chooses
	// those that it keeps connections to.
	rendezvousWeight uint64
}

// New returns a placer for a VM in the given failure domain.
func New(config Config, vm, domain string, rng *rand.Rand) *Placer {
	return &Placer{
		config:   config,
		vm:       vm,
		domain:   domain,
		rng:      rng,
		limits:   Limits{EntryVMs: 1},
		services: make(map[string]*service),
		targets:  make(map[string]*target),
		routes:   make(map[string]*route),
		limited:  container.NewSet[string](),
		leaving:  make(leaving),
	}
}

// Request describes a sub-request to place.
type Request struct {
	Service string
	// Targets are the targets of the service.
	Targets []registrar.Record
	// MaxConnections is the number of connections to a target that the
	// service allows across all callers.
	MaxConnections int
	// ColdRate is the number of requests a second that all VMs together may send
	// to a cold target of the service; 0 means no limit.
	ColdRate float64
	// Avoid holds the IDs of the targets already tried.
	Avoid []string
	// Repeat is true if the request was sent to a target of the service
	// before.
	Repeat bool
	// Hedge is true for a repeat while an earlier attempt may still be
	// answered.
	Hedge bool
	// Unbudgeted is true for a repeat that does not count against the shared
	// budget, because no byte of the earlier attempt reached a target.
	Unbudgeted bool
}

// Place chooses a target and counts the sub-request as in flight there. The
// outcome gives the reason if no target was chosen.
func (p *Placer) Place(now time.Time, r Request) (Placement, Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstPlacedAt.IsZero() {
		p.firstPlacedAt = now
	}
	s := p.service(now, r.Service)
	s.budget.advance(now)
	p.setShares(r.Targets)
	p.updateCount(now)
	kept := p.selectKept(r.Targets, r.MaxConnections)
	closed := p.closedWhileCold(now, r)
	i, ok := p.choose(now, s, r, kept, closed)
	if !ok {
		return Placement{}, p.missingTarget(now, r, closed)
	}
	if !r.Repeat {
		s.budget.addFirst()
	} else if !r.Unbudgeted && !p.takeRepeat(s.budget, r.Hedge) {
		return Placement{}, NoBudget
	}
	record := r.Targets[i]
	t := p.target(record.ID)
	t.capacity = p.connections(r.MaxConnections)
	if t.inFlight == 0 {
		t.lastActivity = now
	}
	t.inFlight++
	t.pace.Take(p.config.Pacer, now)
	p.takeColdSlot(now, r, record)
	loadFactor := s.selectorState.Started(now, p.candidate(record, kept, i), "")
	t.use.add(now)
	idleTimeout := p.idleTimeout(now, kept, i, r.MaxConnections, t)
	return Placement{Record: record, Started: now, IdleTimeout: idleTimeout, loadFactor: loadFactor, probeUntil: t.pause.begin(now), target: t}, Placed
}

func (p *Placer) choose(now time.Time, s *service, r Request, kept keptTargets, closed container.Set[string]) (int, bool) {
	candidates := make([]selector.Candidate, len(r.Targets))
	for i, record := range r.Targets {
		candidates[i] = p.candidate(record, kept, i)
	}
	leaves := p.leaving.among(r.Targets)
	excluded := func(id string) bool {
		return leaves.Has(id) || closed.Has(id) || p.unavailable(id, r) || p.withoutRoom(now, p.target(id), r)
	}
	failureRateLimit := p.maxFailureRate(now, r.Targets, excluded)
	unfit := func(id string) bool {
		return excluded(id) || p.failureRate(now, p.target(id)) > failureRateLimit || p.silent(now, p.target(id)) || p.busy(id) || now.Before(s.fullUntil[id])
	}
	if i, ok := s.selectorState.Pick(now, p.rng, candidates, unfit); ok {
		return i, true
	}
	if r.Repeat && !r.Unbudgeted {
		// A repeat at a silent or full target would only add load.
		return 0, false
	}
	return s.selectorState.Pick(now, p.rng, candidates, excluded)
}

// unavailable reports whether the request cannot be sent to a target, whatever its limit.
func (p *Placer) unavailable(id string, r Request) bool {
	return p.target(id).unreachable || slices.Contains(r.Avoid, id)
}

// missingTarget returns the reason why no target was chosen.
func (p *Placer) missingTarget(now time.Time, r Request, closed container.Set[string]) Outcome {
	for _, record := range r.Targets {
		if !p.leaving.has(record.ID, record.Born) && !p.unavailable(record.ID, r) && (closed.Has(record.ID) || p.withoutRoom(now, p.target(record.ID), r)) {
			return Limited
		}
	}
	return NoTarget
}

func (p *Placer) candidate(record registrar.Record, kept keptTargets, i int) selector.Candidate {
	c := selector.Candidate{
		Target: record.ID,
		Since:  record.ColdUntil.Add(-p.config.Selector.Ramp),
		Slots:  record.Slots,
	}
	kept.setPreference(&c, i, p.config.UnkeptPenalty)
	return c
}

// Ended updates the statistics with the result of a sub-request.
func (p *Placer) Ended(now time.Time, route string, latencyObjective time.Duration, placed Placement, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, placed.Record.Service)
	t, id := placed.target, placed.Record.ID
	t.inFlight--
	t.pause.probed(placed.probeUntil)
	latency := now.Sub(placed.Started)
	r := p.route(route, latencyObjective)
	r.usedAt = now
	switch result {
	case Answered:
		t.lastActivity = now
		p.updateFailureRate(now, t, false)
		p.recordEvidence(placed, false, r.normalized(latency))
		t.meanLatency = movingAverage(t.meanLatency, latency, targetWeight)
		r.meanLatency = movingAverage(r.meanLatency, latency, routeWeight)
		p.observeLatency(now, s, r, placed, latency)
		r.hedgerState.Observe(now, latency)
		delete(s.fullUntil, id)
	case Refused:
		t.lastActivity = now
		p.recordEvidence(placed, true, 0)
		p.updateFailureRate(now, t, true)
		s.selectorState.Released(id)
		s.fullUntil[id] = now.Add(max(t.meanLatency, p.config.MinSilence))
	case Failed, Lost, Unsent:
		if result != Unsent {
			// An unsent request is not shared as evidence: only this VM may
			// have found no free connection.
			p.recordEvidence(placed, true, 0)
		}
		p.updateFailureRate(now, t, true)
		s.selectorState.Failed(now, id)
	case Abandoned:
		s.selectorState.Cancelled(now, id, r.normalized(latency), placed.loadFactor)
	}
}

// observeLatency passes a latency to the selector. Late answers that arrive
// together at the end of a pause count as one.
func (p *Placer) observeLatency(now time.Time, s *service, r *route, placed Placement, latency time.Duration) {
	t := placed.target
	normalized := min(r.normalized(latency), maxLatencyRatio*normalizedLatency)
	if float64(normalized) > p.config.Selector.OutlierFactor*float64(normalizedLatency) {
		if now.Sub(t.lastLate) < r.meanLatency {
			s.selectorState.Released(placed.Record.ID)
			return
		}
		t.lastLate = now
	}
	s.selectorState.Succeeded(now, placed.Record.ID, normalized, placed.loadFactor)
}

// Weights of an answer in the mean latency of a target and of a route. The
// means cover about ten and a hundred answers, so that one long request has
// little effect.
const (
	targetWeight = 0.1
	routeWeight  = 0.01
)

// maxLatencyRatio bounds a single latency, as a multiple of the mean, before
// it is averaged, so that one pause does not raise the mean enough to hide
// the next.
const maxLatencyRatio = 4

func movingAverage(mean, latency time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return latency
	}
	latency = min(latency, maxLatencyRatio*mean)
	return time.Duration(weight*float64(latency) + (1-weight)*float64(mean))
}

// normalized scales a latency so that the mean latency of the route maps to
// normalizedLatency.
func (r *route) normalized(latency time.Duration) time.Duration {
	if r.meanLatency == 0 {
		return latency
	}
	return time.Duration(float64(normalizedLatency) * float64(latency) / float64(r.meanLatency))
}

func (p *Placer) service(now time.Time, name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{
			selectorState: selector.New(p.config.Selector),
			budget:        p.newBudget(now),
			fullUntil:     make(map[string]time.Time),
		}
		p.services[name] = s
	}
	s.usedAt = now
	return s
}

func (p *Placer) target(id string) *target {
	t, ok := p.targets[id]
	if !ok {
		t = &target{rendezvousWeight: rendezvousWeight(p.vm, id)}
		t.pace.SetShare(1 / float64(p.limits.EntryVMs))
		p.targets[id] = t
	}
	return t
}

// route returns the statistics of a route. Until enough latencies are known,
// the hedge delay is a share of the latency objective.
func (p *Placer) route(name string, latencyObjective time.Duration) *route {
	r, ok := p.routes[name]
	if !ok {
		config := p.config.Hedger
		config.InitialDelay = time.Duration(p.config.HedgeDelayShare * float64(latencyObjective))
		r = &route{hedgerState: hedger.New(config)}
		p.routes[name] = r
	}
	return r
}
