package placer

import (
	"math"
	"time"

	"jackdawcart.org/core/registrar"
)

// silent reports whether a target has work of this process and has shown no
// sign of life for several times its usual latency. Targets pause for a moment
// now and then; the pause is over when one of the waiting answers arrives.
func (p *Placer) silent(now time.Time, t *target) bool {
	return t.inFlight > 0 && !now.Before(p.silentAt(t))
}

func (p *Placer) silentAt(t *target) time.Time {
	patience := time.Duration(p.config.SilentFactor * float64(t.usual))
	return t.alive.Add(max(patience, p.config.SilentFloor))
}

// failingBound returns the rate of failures above which a target is avoided.
func (p *Placer) failingBound(now time.Time, targets []registrar.Record, tried func(string) bool) float64 {
	least := 1.0
	for _, record := range targets {
		if !tried(record.ID) {
			least = min(least, p.failures(now, p.target(record.ID)))
		}
	}
	return max(p.config.FailingRate, 2*least)
}

// failures returns the recent rate of failures of a target.
func (p *Placer) failures(now time.Time, t *target) float64 {
	if t.failing == 0 {
		return 0
	}
	lives := float64(now.Sub(t.judged)) / float64(p.config.FailingLife)
	return t.failing * math.Exp2(-lives)
}

// judgeLife is the time between two ends at a target after which the later one
// counts half. Many entry VMs ask a target rarely, and each has to learn of its
// failures from a few ends.
const judgeLife = 2 * time.Second

// judge takes a good or bad end into the rate of failures.
func (p *Placer) judge(now time.Time, t *target, bad bool) {
	weight := usualWeight
	if !t.judged.IsZero() {
		weight = max(weight, 1-math.Exp2(-float64(now.Sub(t.judged))/float64(judgeLife)))
	}
	rate := (1 - weight) * p.failures(now, t)
	if bad {
		rate += weight
	}
	t.failing, t.judged = rate, now
}

// SetReachable takes whether a connection to the target opened.
func (p *Placer) SetReachable(id string, reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).down = !reachable
}

// Reachable reports whether the last connection to the target opened.
func (p *Placer) Reachable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[id]
	return !ok || !t.down
}

// busy reports whether every connection that this process may hold to the
// target is in use.
func (p *Placer) busy(id string) bool {
	t := p.target(id)
	return t.capacity > 0 && t.inFlight >= t.capacity
}
