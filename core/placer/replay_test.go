package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
)

// events are calls in virtual time.
type events struct {
	queue []event
	count int
}

type event struct {
	at   time.Time
	seq  int
	call func(now time.Time)
}

func (e *events) Len() int { return len(e.queue) }
func (e *events) Less(i, j int) bool {
	a, b := e.queue[i], e.queue[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (e *events) Swap(i, j int) { e.queue[i], e.queue[j] = e.queue[j], e.queue[i] }
func (e *events) Push(x any)    { e.queue = append(e.queue, x.(event)) }
func (e *events) Pop() any {
	last := e.queue[len(e.queue)-1]
	e.queue = e.queue[:len(e.queue)-1]
	return last
}

func (e *events) at(t time.Time, call func(now time.Time)) {
	e.count++
	heap.Push(e, event{t, e.count, call})
}

func (e *events) runUntil(end time.Time) {
	for len(e.queue) > 0 && e.queue[0].at.Before(end) {
		next := heap.Pop(e).(event)
		next.call(next.at)
	}
}

// backEnd is a target whose requests take longer the more it runs.
type backEnd struct {
	events    *events
	rng       *rand.Rand
	speed     float64
	slowAbove int
	running   int
	queue     []func(now time.Time)
	offset    time.Duration
	noisyFrom time.Time
	slowed    func(at time.Duration) float64
	served    int
}

const (
	replayPauseEvery  = 2400 * time.Millisecond
	replayPauseLength = 100 * time.Millisecond
	replayNoiseLength = 600 * time.Millisecond
	replaySlots       = 4
)

func (b *backEnd) untilAwake(t time.Time) time.Time {
	if into := (t.Sub(start) + b.offset) % replayPauseEvery; into < replayPauseLength {
		return t.Add(replayPauseLength - into)
	}
	return t
}

func (b *backEnd) serve(now time.Time, work time.Duration, done func(now time.Time)) {
	run := func(now time.Time) {
		b.running++
		b.served++
		factor := b.speed * b.slowed(now.Sub(start)) * (1 + 0.5*float64(max(b.running-b.slowAbove, 0)))
		if now.After(b.noisyFrom.Add(replayNoiseLength)) {
			b.noisyFrom = now.Add(time.Duration(5 * b.rng.ExpFloat64() * float64(replayNoiseLength)))
		} else if now.After(b.noisyFrom) {
			factor *= 2.5
		}
		end := b.untilAwake(b.untilAwake(now).Add(time.Duration(factor * float64(work))))
		b.events.at(end, func(now time.Time) {
			b.running--
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next(now)
			}
			done(now)
		})
	}
	if b.running < replaySlots {
		run(now)
		return
	}
	b.queue = append(b.queue, run)
}

// replay is entry VMs, the replicas of several shards and their load.
type replay struct {
	events
	rng      *rand.Rand
	placers  []*placer.Placer
	domains  int
	shards   [][]registrar.Record
	backEnds map[string]*backEnd
	work     time.Duration
	// latencies and missing hold the answered sub-requests and the number of the others by
	// route; first and repeats count what was sent. All begin at from.
	latencies map[string][]time.Duration
	missing   map[string]int
	first     int
	repeats   int
	from      time.Time
}

var replayObjectives = map[string]time.Duration{"urgent": 40 * time.Millisecond, "usual": 120 * time.Millisecond}

func newReplay(config placer.Config, vms, domains, shards, slowAbove int, work time.Duration, seed uint64) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), domains: domains, backEnds: make(map[string]*backEnd), work: work,
		latencies: make(map[string][]time.Duration), missing: make(map[string]int), from: start.Add(5 * time.Second),
	}
	byDomain := make(map[string]int)
	for i := range vms {
		byDomain[fmt.Sprint("domain-", i%domains)]++
	}
	for i := range vms {
		p := placer.New(config, fmt.Sprint("vm-", i), fmt.Sprint("domain-", i%domains), rand.New(rand.NewPCG(seed, uint64(2+i))))
		p.SetLimits(placer.Limits{EntryVMs: vms, VMsByDomain: byDomain, Domains: domains, RepeatRatio: 0.2, RepeatExtra: 348, RepeatWindow: 10 * time.Second})
		r.placers = append(r.placers, p)
	}
	for s := range shards {
		var targets []registrar.Record
		speeds := []float64{0.8, 1, 1.3}
		r.rng.Shuffle(3, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
		for k := range 3 {
			id := fmt.Sprintf("i-%d-%d", s, k)
			targets = append(targets, registrar.Record{Target: registrar.Target{ID: id, Service: fmt.Sprint("shard-", s), Domain: fmt.Sprint("domain-", (s+k)%domains), Slots: replaySlots}})
			r.backEnds[id] = &backEnd{
				events: &r.events, rng: r.rng, speed: speeds[k], slowAbove: slowAbove,
				offset: time.Duration(r.rng.Int64N(int64(replayPauseEvery))), slowed: func(time.Duration) float64 { return 1 },
			}
		}
		r.shards = append(r.shards, targets)
	}
	return r
}

func (r *replay) run(length time.Duration, perSecond float64) {
	end := start.Add(length)
	total := perSecond * float64(len(r.placers)*len(r.shards))
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		r.call(now, r.placers[r.rng.IntN(len(r.placers))], r.shards[r.rng.IntN(len(r.shards))])
		r.at(now.Add(time.Duration(r.rng.ExpFloat64()/total*float64(time.Second))), arrive)
	}
	r.at(start, arrive)
	var exchange func(now time.Time)
	exchange = func(now time.Time) {
		for d := range r.domains {
			var taken [][]placer.Evidence
			for i := d; i < len(r.placers); i += r.domains {
				taken = append(taken, r.placers[i].TakeEvidence())
			}
			for n, i := 0, d; i < len(r.placers); n, i = n+1, i+r.domains {
				r.placers[i].MergeEvidence(now, merged(taken, n))
			}
		}
		r.at(now.Add(evidencePeriod), exchange)
	}
	r.at(start, exchange)
	r.runUntil(end)
}

// merged returns the evidence of all but one VM, merged for each target as the informer
// does it.
func merged(taken [][]placer.Evidence, without int) []placer.Evidence {
	var all []placer.Evidence
	index := make(map[string]int)
	for m, evidence := range taken {
		if m == without {
			continue
		}
		for _, e := range evidence {
			i, ok := index[e.Target]
			if !ok {
				index[e.Target] = len(all)
				all = append(all, e)
				continue
			}
			a := &all[i]
			if n := a.Answered + e.Answered; n > 0 {
				a.Latency = (a.Latency*float64(a.Answered) + e.Latency*float64(e.Answered)) / float64(n)
			}
			a.Answered, a.Failed = a.Answered+e.Answered, a.Failed+e.Failed
		}
	}
	return all
}

const evidencePeriod = 250 * time.Millisecond

type subCall struct {
	tried    []string
	inFlight int
	ended    bool
}

func (r *replay) call(now time.Time, p *placer.Placer, targets []registrar.Record) {
	route := "usual"
	if r.rng.IntN(4) == 0 {
		route = "urgent"
	}
	objective := replayObjectives[route]
	begin, deadline := now, now.Add(objective-9*time.Millisecond)
	c := &subCall{}
	counts := now.After(r.from)
	if counts {
		r.first++
	}
	var send func(now time.Time)
	send = func(now time.Time) {
		placed, outcome := p.Place(now, placer.Request{
			Service: targets[0].Service, Targets: targets, MaxConnections: 121, Avoid: slices.Clone(c.tried),
			Repeat: len(c.tried) > 0, Hedge: c.inFlight > 0,
		})
		if outcome != placer.Placed {
			return
		}
		if counts && len(c.tried) > 0 {
			r.repeats++
		}
		c.tried = append(c.tried, placed.Record.ID)
		c.inFlight++
		const oneWay = 500 * time.Microsecond
		work := time.Duration((0.4 + 0.6*r.rng.ExpFloat64()) * float64(r.work))
		over := false
		finish := func(now time.Time, result placer.Result) {
			if over {
				return
			}
			over = true
			c.inFlight--
			p.Ended(now, route, objective, placed, result)
			if result == placer.Answered && !c.ended {
				c.ended = true
				if counts {
					r.latencies[route] = append(r.latencies[route], now.Sub(begin))
				}
			}
		}
		r.at(now.Add(oneWay), func(now time.Time) {
			r.backEnds[placed.Record.ID].serve(now, work, func(now time.Time) {
				r.at(now.Add(oneWay), func(now time.Time) { finish(now, placer.Answered) })
			})
		})
		r.at(deadline.Add(time.Millisecond), func(now time.Time) { finish(now, placer.Lost) })
		if hedge := p.HedgeAt(route, objective, placed); len(c.tried) == 1 && hedge.Before(deadline) {
			r.at(hedge, func(now time.Time) {
				if !c.ended {
					send(now)
				}
			})
		}
	}
	send(now)
	r.at(deadline, func(time.Time) {
		if !c.ended {
			c.ended = true
			if counts {
				r.missing[route]++
			}
		}
	})
}

// share returns the share of the sub-requests of a route that were answered in time.
func (r *replay) share(route string) float64 {
	answered := len(r.latencies[route])
	return float64(answered) / float64(answered+r.missing[route])
}
