package placer

import "time"

// HedgeAt returns when a hedge of the sub-request is due if no answer has
// arrived: after the hedge delay of its route, or once its target counts as
// silent, but not before MinHedgeShare of the latency objective.
func (p *Placer) HedgeAt(route string, latencyObjective time.Duration, placed Placement) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := p.route(route, latencyObjective).hedgerState.Delay()
	if bound := time.Duration(p.config.HedgeDelayShare * float64(latencyObjective)); delay > bound {
		delay = bound
	}
	at := placed.Started.Add(delay)
	if silent := p.silentAt(placed.target); placed.target.meanLatency > 0 && silent.Before(at) {
		at = silent
	}
	if earliest := placed.Started.Add(time.Duration(p.config.MinHedgeShare * float64(latencyObjective))); at.Before(earliest) {
		return earliest
	}
	return at
}
