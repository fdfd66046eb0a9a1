package placer

import (
	"slices"
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
	hasReplica := func(domain string) bool {
		return slices.ContainsFunc(targets, func(r registrar.Record) bool { return r.Domain == domain })
	}
	for _, record := range targets {
		if !p.limited.Has(record.ID) {
			continue
		}
		t := p.target(record.ID)
		if len(p.limits.VMsByDomain) == 0 {
			t.pace.SetShare(1 / float64(p.limits.EntryVMs))
			continue
		}
		t.pace.SetShare(pacer.Share(p.config.Pacer, p.domain, record.Domain, p.limits.VMsByDomain, hasReplica))
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
