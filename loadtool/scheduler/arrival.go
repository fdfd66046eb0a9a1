package scheduler

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"strconv"
	"time"

	"jackdawcart.org/core/checker"
)

// Arrival is a request and its scheduled send time.
type Arrival struct {
	// Offset is the send time relative to the start of the run.
	Offset  time.Duration
	Request checker.Request
	// UseKey makes an execution use an idempotency key instead of a ticket.
	UseKey bool
	// Resend makes the driver send an execution twice concurrently.
	Resend bool
}

// Arrivals yields the requests of the run in time order. They follow a Poisson
// process and depend only on the workload, its seed and the run's name. The
// name makes texts unique among runs against the same targets.
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

// generator creates the requests of one run.
type generator struct {
	workload *Workload
	runName  string
	random   *rand.Rand
	sequence int
}

// generatePhase yields the arrivals of a phase. It draws them at the highest
// rate and keeps each with the probability current rate / highest rate
// (thinning), which gives a Poisson process with a varying rate.
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
		Kind: checker.RequestQuery, Services: e.Services, Text: e.Text, SharedText: e.Text != "",
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

// pickEntry returns a random entry of the mix, chosen by weight.
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

// String returns the request ID and the offset.
func (a Arrival) String() string {
	return fmt.Sprintf("%s at %s", a.Request.ID, a.Offset)
}
