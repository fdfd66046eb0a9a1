package scheduler

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"strconv"
	"time"

	"jackdawcart.org/core/checker"
)

// Arrival is one request with the time at which it is to be sent.
type Arrival struct {
	// Offset is the time after the start of the run.
	Offset  time.Duration
	Request checker.Request
	// UseKey says that an execution uses an idempotency key and not a ticket.
	UseKey bool
	// Resend says that an execution is sent twice at the same time.
	Resend bool
}

// Arrivals yields the requests of the run in the order of their times. They
// arrive as a Poisson process and depend on the seed and the run's name alone.
// The name makes texts unique among runs against the same targets.
func (w *Workload) Arrivals(runName string) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		g := &generator{workload: w, runName: runName, random: rand.New(rand.NewPCG(w.Seed, 1))}
		phaseStart := time.Duration(0)
		for i := range w.Phases {
			if !g.generatePhase(&w.Phases[i], phaseStart, yield) {
				return
			}
			phaseStart += time.Duration(w.Phases[i].For)
		}
	}
}

type generator struct {
	workload *Workload
	runName  string
	random   *rand.Rand
	sequence int
}

// generatePhase draws arrivals at the phase's highest rate and keeps each with the
// probability of the present rate, which gives a Poisson process of any shape.
func (g *generator) generatePhase(p *Phase, phaseStart time.Duration, yield func(Arrival) bool) bool {
	highestRate := p.highestRate()
	if highestRate == 0 {
		return true
	}
	offset := time.Duration(0)
	for {
		offset += time.Duration(g.random.ExpFloat64() / highestRate * float64(time.Second))
		if offset >= time.Duration(p.For) {
			return true
		}
		if g.random.Float64()*highestRate > p.RateAt(offset) {
			continue
		}
		a := g.nextArrival(p)
		a.Offset = phaseStart + offset
		if !yield(a) {
			return false
		}
	}
}

func (g *generator) nextArrival(p *Phase) Arrival {
	g.sequence++
	a := g.newSearch()
	if g.random.Float64() < g.workload.NonIdempotent.Share {
		a = g.newExecution()
	}
	q := &a.Request
	q.ID = g.runName + "-" + strconv.Itoa(g.sequence)
	q.Caller = "caller-" + strconv.Itoa(g.random.IntN(g.workload.Callers))
	q.Phase = p.Name
	if q.Text == "" {
		q.Text = "sheet " + q.ID
	}
	if q.Deadline == 0 {
		q.Deadline = time.Duration(g.workload.Deadline)
	}
	return a
}

func (g *generator) newSearch() Arrival {
	e := g.pickEntry()
	q := checker.Request{
		Kind: checker.RequestQuery, Services: e.Services, Text: e.Text, Repeats: e.Text != "",
		Limit: e.Limit, Priority: e.Priority, Deadline: time.Duration(e.Deadline),
	}
	if q.Limit == 0 {
		q.Limit = g.workload.Limit
	}
	return Arrival{Request: q}
}

func (g *generator) newExecution() Arrival {
	n := &g.workload.NonIdempotent
	service := n.Services[g.random.IntN(len(n.Services))]
	return Arrival{
		Request: checker.Request{
			Kind: checker.RequestExecute, Services: []string{service}, Operation: n.Operation,
			Deadline: time.Duration(n.Deadline),
		},
		UseKey: g.random.Float64() < n.KeyShare,
		Resend: g.random.Float64() < n.ResendShare,
	}
}

// pickEntry draws an entry of the mix by weight.
func (g *generator) pickEntry() *MixEntry {
	mix := g.workload.Mix
	total := 0.0
	for _, e := range mix {
		total += e.Weight
	}
	remaining := g.random.Float64() * total
	for i := range mix {
		remaining -= mix[i].Weight
		if remaining < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}

// String names the arrival in messages.
func (a Arrival) String() string {
	return fmt.Sprintf("%s at %s", a.Request.ID, a.Offset)
}
