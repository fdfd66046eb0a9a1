package placer

import (
	"time"

	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/registrar"
)

// ObserveLimit records what an answer to a sub-request says about the limit of its target.
// It returns true if that differs from the answer before.
func (p *Placer) ObserveLimit(now time.Time, placed Placement, limit pacer.Limit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := placed.target
	changed := t.pace.Limit() != limit
	if !changed && !limit.Named {
		return false
	}
	t.pace.Observe(p.config.Pacer, now, limit, p.rng.Float64())
	p.setLimited(placed.Record.ID, t)
	p.addLimitEvidence(placed, limit)
	return changed
}

// setLimited records whether a target names a limit, unless the target has left.
func (p *Placer) setLimited(id string, t *target) {
	if t.pace.Limit().Named && p.targets[id] == t {
		p.limited.Add(id)
		return
	}
	p.limited.Remove(id)
}

// setShares updates the shares of the limits that targets of a service have named.
func (p *Placer) setShares(targets []registrar.Record) {
	if len(p.limited) == 0 {
		return
	}
	for _, record := range targets {
		if p.limited.Has(record.ID) {
			p.target(record.ID).pace.SetShare(p.share(targets, record))
		}
	}
}

// withoutRoom reports whether the limit of a target, or the pause that it wants, leaves no
// room for a request now. Hedges leave what little room there is to requests that have no
// other target.
func (p *Placer) withoutRoom(now time.Time, t *target, r Request) bool {
	if t.pause.forbids(now) {
		return true
	}
	if r.Hedge {
		return !t.pace.Full(now)
	}
	return now.Before(t.pace.NextAt(p.config.Pacer))
}

// Available reports whether a sub-request can be sent to a target by the given time: new
// connections to it succeed, it neither leaves nor wants a pause, and its limit leaves room.
func (p *Placer) Available(record registrar.Record, by time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(record.ID)
	return !t.unreachable && !p.leaving.has(record.ID, record.Born) && !t.pause.forbids(by) && !by.Before(t.pace.NextAt(p.config.Pacer))
}
