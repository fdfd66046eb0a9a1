package placer

import (
	"math/rand/v2"
	"sync"
	"time"

	"jackdawcart.org/core/hedger"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/selector"
)

// Result is how a sub-request at a target ended.
type Result int

// Results.
const (
	// Answered is a good answer.
	Answered Result = iota
	// Refused says that the target did not run the request.
	Refused
	// Failed is an answer that reports a failure, or one that cannot be read.
	Failed
	// Lost says that no answer came although the request may have run.
	Lost
	// Unsent says that no byte of the request reached the target.
	Unsent
	// Abandoned says that the answer was no longer wanted.
	Abandoned
)

var resultNames = [...]string{"answered", "refused", "failed", "lost", "unsent", "abandoned"}

// String returns the name of the result for logs.
func (r Result) String() string { return resultNames[r] }

// Outcome says whether a sub-request was placed.
type Outcome int

// Outcomes.
const (
	// Placed says that a target was chosen.
	Placed Outcome = iota
	// NoTarget says that no target may take the request.
	NoTarget
	// NoBudget says that the budget of repeats is used up.
	NoBudget
)

// Placement is a sub-request at a target.
type Placement struct {
	Record  registrar.Record
	Started time.Time
	// Linger is how long an idle connection to the target stays open, 0 for as
	// long as the target keeps it.
	Linger time.Duration
	factor float64
	target *target
}

// Placer decides for one process. It is safe for concurrent use.
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
	// began is the time of the first sub-request.
	began time.Time
	// fresh lists the targets with evidence that was not told.
	fresh []*target
}

// route is what is known of the latencies on a route.
type route struct {
	delay *hedger.State
	usual time.Duration
}

type service struct {
	choice *selector.State
	budget *window
	// fullUntil is when a target that refused for want of room may have some.
	fullUntil map[string]time.Time
}

// target is what is in flight at one target.
type target struct {
	inFlight int
	capacity int
	// alive is the last answer, or the first sending after idleness.
	alive time.Time
	usual time.Duration
	// late is the last answer that took far longer than usual.
	late time.Time
	// failing is the rate of failures as of the last end, judged.
	failing float64
	judged  time.Time
	// down is true while no connection to the target opens.
	down bool
	// seen is what has not been told to other VMs yet, if anything.
	seen *Evidence
	// weight orders the targets of a service in the choice of those that this
	// VM keeps connections to.
	weight uint64
}

// New returns a placer of a VM in the given failure domain.
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
	}
}

// Request describes a sub-request that is to be placed.
type Request struct {
	Service string
	// Targets may take the request.
	Targets []registrar.Record
	// MaxConnections is what the service allows over all callers.
	MaxConnections int
	// Avoid holds the identities of targets that were tried.
	Avoid []string
	// Again is true if the request was sent to a target of the service before.
	Again bool
	// Hedge is true for a repeat while an earlier answer may still come.
	Hedge bool
	// Free is true for a repeat that the shared budget does not count, as no
	// byte of the earlier one arrived.
	Free bool
}

// Place chooses a target and counts the sub-request as in flight there. It
// says why not if it did not.
func (p *Placer) Place(now time.Time, r Request) (Placement, Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.IsZero() {
		p.began = now
	}
	s := p.service(now, r.Service)
	s.budget.advance(now)
	kept := p.keeps(r.Targets, r.MaxConnections)
	i, ok := p.choose(now, s, r, kept)
	if !ok {
		return Placement{}, NoTarget
	}
	if !r.Again {
		s.budget.first()
	} else if !r.Free && !p.withdraw(s.budget, r.Hedge) {
		return Placement{}, NoBudget
	}
	record := r.Targets[i]
	t := p.target(record.ID)
	t.capacity = p.connections(r.MaxConnections)
	if t.inFlight == 0 {
		t.alive = now
	}
	t.inFlight++
	factor := s.choice.Started(now, p.candidate(record, kept, i), "")
	linger := p.linger(now, kept, i, r.MaxConnections)
	return Placement{Record: record, Started: now, Linger: linger, factor: factor, target: t}, Placed
}

func (p *Placer) choose(now time.Time, s *service, r Request, kept kept) (int, bool) {
	candidates := make([]selector.Candidate, len(r.Targets))
	for i, record := range r.Targets {
		candidates[i] = p.candidate(record, kept, i)
	}
	tried := func(id string) bool {
		if p.target(id).down {
			return true
		}
		for _, avoided := range r.Avoid {
			if avoided == id {
				return true
			}
		}
		return false
	}
	failing := p.failingBound(now, r.Targets, tried)
	unfit := func(id string) bool {
		return tried(id) || p.failures(now, p.target(id)) > failing || p.silent(now, p.target(id)) || p.busy(id) || now.Before(s.fullUntil[id])
	}
	if i, ok := s.choice.Pick(now, p.rng, candidates, unfit); ok {
		return i, true
	}
	if r.Again && !r.Free {
		// A repeat at a target that is silent or full would only add load.
		return 0, false
	}
	return s.choice.Pick(now, p.rng, candidates, tried)
}

func (p *Placer) candidate(record registrar.Record, kept kept, i int) selector.Candidate {
	c := selector.Candidate{
		Target: record.ID,
		Since:  record.ColdUntil.Add(-p.config.Selector.Ramp),
		Slots:  record.Slots,
	}
	kept.mark(&c, i, p.config.UnkeptPenalty)
	return c
}

// HedgeAt returns when the sub-request should be sent to another target as
// well if no answer has arrived: at the delay of its route, or when its target
// has gone silent.
func (p *Placer) HedgeAt(route string, aim time.Duration, placed Placement) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := p.route(route, aim).delay.Delay()
	if bound := time.Duration(p.config.DelayShare * float64(aim)); delay > bound {
		delay = bound
	}
	at := placed.Started.Add(delay)
	if silent := p.silentAt(placed.target); placed.target.usual > 0 && silent.Before(at) {
		at = silent
	}
	return at
}

// Ended takes the end of a sub-request into account.
func (p *Placer) Ended(now time.Time, route string, aim time.Duration, placed Placement, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, placed.Record.Service)
	t, id := placed.target, placed.Record.ID
	t.inFlight--
	latency := now.Sub(placed.Started)
	r := p.route(route, aim)
	switch result {
	case Answered:
		t.alive = now
		p.judge(now, t, false)
		p.note(placed, false, r.relative(latency))
		t.usual = observe(t.usual, latency, usualWeight)
		r.usual = observe(r.usual, latency, routeWeight)
		p.tellLatency(now, s, r, placed, latency)
		r.delay.Observe(now, latency)
		delete(s.fullUntil, id)
	case Refused:
		t.alive = now
		p.note(placed, true, 0)
		p.judge(now, t, true)
		s.choice.Released(id)
		s.fullUntil[id] = now.Add(max(t.usual, p.config.SilentFloor))
	case Failed, Lost, Unsent:
		if result != Unsent {
			// That no connection opened may be due to the room for this VM only.
			p.note(placed, true, 0)
		}
		p.judge(now, t, true)
		s.choice.Failed(now, id)
	case Abandoned:
		s.choice.Cancelled(now, id, r.relative(latency), placed.factor)
	}
}

// tellLatency gives a latency to the choice between replicas. When a pause ends,
// several late answers come together; they say no more than one of them.
func (p *Placer) tellLatency(now time.Time, s *service, r *route, placed Placement, latency time.Duration) {
	t := placed.target
	relative := min(r.relative(latency), maxJump*relativeLatency)
	if float64(relative) > p.config.Selector.OutlierFactor*float64(relativeLatency) {
		if now.Sub(t.late) < r.usual {
			s.choice.Released(placed.Record.ID)
			return
		}
		t.late = now
	}
	s.choice.Succeeded(now, placed.Record.ID, relative, placed.factor)
}

// Weights of an answer in the usual latency of a target and of a route: about
// ten and a hundred answers, so that one long request does not change it much.
const (
	usualWeight = 0.1
	routeWeight = 0.01
)

// maxJump bounds a single answer's part in a usual latency, as a pause must not
// make the next pause look usual.
const maxJump = 4

func observe(usual, latency time.Duration, weight float64) time.Duration {
	if usual == 0 {
		return latency
	}
	latency = min(latency, maxJump*usual)
	return time.Duration(weight*float64(latency) + (1-weight)*float64(usual))
}

// relative returns a latency as a multiple of the route's usual one.
func (r *route) relative(latency time.Duration) time.Duration {
	if r.usual == 0 {
		return latency
	}
	return time.Duration(float64(relativeLatency) * float64(latency) / float64(r.usual))
}

func (p *Placer) service(now time.Time, name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{
			choice:    selector.New(p.config.Selector),
			budget:    p.newBudget(now),
			fullUntil: make(map[string]time.Time),
		}
		p.services[name] = s
	}
	return s
}

func (p *Placer) target(id string) *target {
	t, ok := p.targets[id]
	if !ok {
		t = &target{weight: weight(p.vm, id)}
		p.targets[id] = t
	}
	return t
}

// route returns the latencies of a route. Until enough are known, a hedge waits
// for a share of the aim.
func (p *Placer) route(name string, aim time.Duration) *route {
	r, ok := p.routes[name]
	if !ok {
		config := p.config.Hedger
		config.InitialDelay = time.Duration(p.config.DelayShare * float64(aim))
		r = &route{delay: hedger.New(config)}
		p.routes[name] = r
	}
	return r
}

// Forget drops what is known of a target that has left, and of its successor
// under the same identity.
func (p *Placer) Forget(service, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.targets, id)
	if s, ok := p.services[service]; ok {
		s.choice.Retain(func(target string) bool { return target != id })
		delete(s.fullUntil, id)
	}
}
