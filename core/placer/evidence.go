package placer

import (
	"time"

	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/registrar"
)

// Evidence summarizes how the recent sub-requests of one VM to a target
// ended. Each entry VM sends few requests to a target, so the VMs exchange
// evidence to detect failures together.
type Evidence struct {
	Service string
	Target  string
	// Answered and Failed count results. A refused sub-request counts as
	// failed.
	Answered, Failed int
	// Latency is the mean latency of the answers as a multiple of the mean
	// latency of their routes.
	Latency float64
	// LimitObserved is true if an answer of the target has named a limit, or ended one.
	// Limit is what the last one says.
	LimitObserved bool
	Limit         pacer.Limit
	// Leaving is true if the start of the target at the time Born has said that it leaves.
	Leaving bool
	Born    time.Time
}

// recordEvidence adds the result of a sub-request of this process to the
// evidence that TakeEvidence returns.
func (p *Placer) recordEvidence(placed Placement, failed bool, normalized time.Duration) {
	e := p.pendingEvidence(placed.target, placed.Record)
	if failed {
		e.Failed++
		return
	}
	e.Answered++
	multiple := float64(normalized) / float64(normalizedLatency)
	e.Latency += (multiple - e.Latency) / float64(e.Answered)
}

func (p *Placer) addLimitEvidence(placed Placement, limit pacer.Limit) {
	e := p.pendingEvidence(placed.target, placed.Record)
	e.LimitObserved, e.Limit = true, limit
}

// pendingEvidence returns the evidence about a target that TakeEvidence will return.
func (p *Placer) pendingEvidence(t *target, record registrar.Record) *Evidence {
	if t.pendingEvidence == nil {
		t.pendingEvidence = &Evidence{Service: record.Service, Target: record.ID}
		p.unreported = append(p.unreported, t)
	}
	return t.pendingEvidence
}

// TakeEvidence returns the evidence that this process has gathered since the
// last call.
func (p *Placer) TakeEvidence() []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	evidence := make([]Evidence, len(p.unreported))
	for i, t := range p.unreported {
		evidence[i] = *t.pendingEvidence
		t.pendingEvidence = nil
	}
	p.unreported = p.unreported[:0]
	return evidence
}

// maxRemoteResults bounds how many results of one piece of evidence count.
// They fall into a short time, in which a single pause or burst affects all
// of them.
const maxRemoteResults = 4

// MergeEvidence merges the evidence of other VMs. Targets and services that this
// process does not use are ignored.
func (p *Placer) MergeEvidence(now time.Time, evidence []Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range evidence {
		if e.Leaving {
			p.leaving.add(e.Target, e.Born)
		}
		t, known := p.targets[e.Target]
		s, used := p.services[e.Service]
		if !known || !used {
			continue
		}
		if e.LimitObserved {
			t.pace.ObserveRemote(p.config.Pacer, now, e.Limit, p.rng.Float64())
			p.setLimited(e.Target, t)
		}
		// Spread the failures over the counted results, in the same
		// proportion as in all results.
		results := e.Answered + e.Failed
		counted := min(results, maxRemoteResults)
		for i := range counted {
			p.updateFailureRate(now, t, i*results < e.Failed*counted)
		}
		if e.Answered > 0 {
			normalized := time.Duration(e.Latency * float64(normalizedLatency))
			s.selectorState.ObserveRemote(now, e.Target, min(normalized, maxLatencyRatio*normalizedLatency), min(e.Answered, maxRemoteResults))
		}
	}
}
