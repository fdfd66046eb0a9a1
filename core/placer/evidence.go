package placer

import "time"

// Evidence is how the sub-requests of one VM to a target ended within a short
// time. Many entry VMs ask each target rarely; together they know it well.
type Evidence struct {
	Service string
	Target  string
	// Answered and Failed count ends; a refused sub-request has failed.
	Answered, Failed int
	// Latency is the mean latency of the answers as a multiple of what their
	// routes usually take.
	Latency float64
}

// note adds the end of an own sub-request to the evidence.
func (p *Placer) note(placed Placement, failed bool, relative time.Duration) {
	t := placed.target
	if t.seen == nil {
		t.seen = &Evidence{Service: placed.Record.Service, Target: placed.Record.ID}
		p.fresh = append(p.fresh, t)
	}
	if failed {
		t.seen.Failed++
		return
	}
	t.seen.Answered++
	multiple := float64(relative) / float64(relativeLatency)
	t.seen.Latency += (multiple - t.seen.Latency) / float64(t.seen.Answered)
}

// TakeEvidence returns what this process has seen since the last call.
func (p *Placer) TakeEvidence() []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	evidence := make([]Evidence, len(p.fresh))
	for i, t := range p.fresh {
		evidence[i] = *t.seen
		t.seen = nil
	}
	p.fresh = p.fresh[:0]
	return evidence
}

// maxHeard bounds how often the ends in one piece of evidence count. They fall
// into a short time, in which one pause or one burst meets all of them.
const maxHeard = 4

// Hear takes the evidence of other VMs about targets that this process asks.
func (p *Placer) Hear(now time.Time, evidence []Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range evidence {
		t, known := p.targets[e.Target]
		s, asked := p.services[e.Service]
		if !known || !asked {
			continue
		}
		// The ends that count hold as many failures for their number as all ends.
		ends := e.Answered + e.Failed
		heard := min(ends, maxHeard)
		for i := range heard {
			p.judge(now, t, i*ends < e.Failed*heard)
		}
		if e.Answered > 0 {
			relative := time.Duration(e.Latency * float64(relativeLatency))
			s.choice.Heard(now, e.Target, min(relative, maxJump*relativeLatency), min(e.Answered, maxHeard))
		}
	}
}
