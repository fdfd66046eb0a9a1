package placer

import (
	"math"
	"time"

	"jackdawcart.org/core/registrar"
)

// silent reports whether a target has requests of this process in flight and
// has sent no answer for several times its mean latency. A target pauses
// briefly now and then; the first answer to arrive ends the silence.
func (p *Placer) silent(now time.Time, t *target) bool {
	return t.inFlight > 0 && !now.Before(p.silentAt(t))
}

func (p *Placer) silentAt(t *target) time.Time {
	threshold := time.Duration(p.config.SilentFactor * float64(t.meanLatency))
	return t.lastActivity.Add(max(threshold, p.config.MinSilence))
}

// maxFailureRate returns the failure rate above which a target is avoided.
func (p *Placer) maxFailureRate(now time.Time, targets []registrar.Record, excluded func(string) bool) float64 {
	lowest := 1.0
	for _, record := range targets {
		if !excluded(record.ID) {
			lowest = min(lowest, p.failureRate(now, p.target(record.ID)))
		}
	}
	return max(p.config.AvoidFailureRate, 2*lowest)
}

// failureRate returns the current failure rate of a target, decayed since its
// last result.
func (p *Placer) failureRate(now time.Time, t *target) float64 {
	if t.lastFailureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(t.lastResultAt)) / float64(p.config.FailureHalfLife)
	return t.lastFailureRate * math.Exp2(-halfLives)
}

// resultWeightHalfLife is the time between two results of a target after which
// the later one gets half of the weight. With many entry VMs, each VM sends
// few requests to a target and must detect failures from a few results.
const resultWeightHalfLife = 2 * time.Second

// updateFailureRate adds a result to the failure rate of a target.
func (p *Placer) updateFailureRate(now time.Time, t *target, failed bool) {
	weight := targetWeight
	if !t.lastResultAt.IsZero() {
		weight = max(weight, 1-math.Exp2(-float64(now.Sub(t.lastResultAt))/float64(resultWeightHalfLife)))
	}
	rate := (1 - weight) * p.failureRate(now, t)
	if failed {
		rate += weight
	}
	t.lastFailureRate, t.lastResultAt = rate, now
}

// SetReachable records whether the last connection attempt to the target
// succeeded.
func (p *Placer) SetReachable(id string, reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).unreachable = !reachable
}

// Reachable reports whether the last connection attempt to the target
// succeeded. A target without an attempt counts as reachable.
func (p *Placer) Reachable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[id]
	return !ok || !t.unreachable
}

// busy reports whether every connection that this process may hold to the
// target is in use.
func (p *Placer) busy(id string) bool {
	t := p.target(id)
	return t.capacity > 0 && t.inFlight >= t.capacity
}

// ExpectedLatency returns the latency that most sub-requests of a route stay below, the
// latency objective if too few are known.
func (p *Placer) ExpectedLatency(route string, latencyObjective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.routes[route]
	if !ok || r.meanLatency == 0 {
		return latencyObjective
	}
	return max(r.meanLatency, r.hedgerState.Delay())
}
