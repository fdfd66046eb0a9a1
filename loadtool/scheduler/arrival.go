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
	// Key says that an execution uses an idempotency key and not a ticket.
	Key bool
	// Resend says that an execution is sent twice at the same time.
	Resend bool
}

// Arrivals yields the requests of the run in the order of their times. They
// arrive as a Poisson process and depend on the seed and the run's name alone.
// The name makes texts unique among runs against the same targets.
func (w *Workload) Arrivals(name string) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		m := &maker{workload: w, name: name, random: rand.New(rand.NewPCG(w.Seed, 1))}
		began := time.Duration(0)
		for i := range w.Phases {
			if !m.phase(&w.Phases[i], began, yield) {
				return
			}
			began += time.Duration(w.Phases[i].For)
		}
	}
}

type maker struct {
	workload *Workload
	name     string
	random   *rand.Rand
	number   int
}

// phase draws arrivals at the phase's highest rate and keeps each with the
// probability of the present rate, which gives a Poisson process of any shape.
func (m *maker) phase(p *Phase, began time.Duration, yield func(Arrival) bool) bool {
	highest := p.highest()
	if highest == 0 {
		return true
	}
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / highest * float64(time.Second))
		if at >= time.Duration(p.For) {
			return true
		}
		if m.random.Float64()*highest > p.RateAt(at) {
			continue
		}
		a := m.next(p)
		a.Offset = began + at
		if !yield(a) {
			return false
		}
	}
}

func (m *maker) next(p *Phase) Arrival {
	m.number++
	a := m.search()
	if m.random.Float64() < m.workload.NonIdempotent.Share {
		a = m.execution()
	}
	q := &a.Request
	q.ID = m.name + "-" + strconv.Itoa(m.number)
	q.Caller = "caller-" + strconv.Itoa(m.random.IntN(m.workload.Callers))
	q.Phase = p.Name
	if q.Text == "" {
		q.Text = "sheet " + q.ID
	}
	if q.Deadline == 0 {
		q.Deadline = time.Duration(m.workload.Deadline)
	}
	return a
}

func (m *maker) search() Arrival {
	e := m.pick()
	q := checker.Request{
		Kind: checker.RequestQuery, Services: e.Services, Text: e.Text, SharedText: e.Text != "",
		Limit: e.Limit, Priority: e.Priority, Deadline: time.Duration(e.Deadline),
	}
	if q.Limit == 0 {
		q.Limit = m.workload.Limit
	}
	return Arrival{Request: q}
}

func (m *maker) execution() Arrival {
	n := &m.workload.NonIdempotent
	service := n.Services[m.random.IntN(len(n.Services))]
	return Arrival{
		Request: checker.Request{
			Kind: checker.RequestExecute, Services: []string{service}, Operation: n.Operation,
			Deadline: time.Duration(n.Deadline),
		},
		Key:    m.random.Float64() < n.KeyShare,
		Resend: m.random.Float64() < n.ResendShare,
	}
}

// pick draws an entry of the mix by weight.
func (m *maker) pick() *Entry {
	mix := m.workload.Mix
	total := 0.0
	for _, e := range mix {
		total += e.Weight
	}
	left := m.random.Float64() * total
	for i := range mix {
		left -= mix[i].Weight
		if left < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}

// String names the arrival in messages.
func (a Arrival) String() string {
	return fmt.Sprintf("%s at %s", a.Request.ID, a.Offset)
}
