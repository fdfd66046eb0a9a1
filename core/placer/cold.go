package placer

import (
	"slices"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/registrar"
)

// ObserveCold records that a target has said how long it is cold.
func (p *Placer) ObserveCold(now time.Time, id string, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).coldUntil = now.Add(length)
}

// coldLimit returns the requests that all VMs together may send to a cold target of the
// service in each second, and false if there is no limit.
func (p *Placer) coldLimit(r Request) (float64, bool) {
	if r.ColdRate <= 0 || p.limits.ColdOverage <= 0 {
		return 0, false
	}
	return r.ColdRate*p.limits.ColdOverage + p.limits.ColdSlack, true
}

func (p *Placer) cold(now time.Time, record registrar.Record) bool {
	return now.Before(record.ColdUntil) || now.Before(p.target(record.ID).coldUntil)
}

// closedWhileCold returns the IDs of the cold targets to which this VM sends no request now,
// nil if there are none. While the number of VMs is uncertain, their shares could add up to
// far more than the limit.
func (p *Placer) closedWhileCold(now time.Time, r Request) container.Set[string] {
	allowed, limited := p.coldLimit(r)
	if !limited {
		return nil
	}
	var closed container.Set[string]
	for _, record := range r.Targets {
		if !p.cold(now, record) {
			continue
		}
		slots := &p.target(record.ID).coldSlots
		slots.SetRate(now, p.config.Slots.PerSecond(allowed)*p.share(r.Targets, record), p.rng.Float64())
		if !p.count.uncertain && slots.Open(p.config.Slots, now) {
			continue
		}
		if closed == nil {
			closed = container.NewSet[string]()
		}
		closed.Add(record.ID)
	}
	return closed
}

// takeColdSlot counts a request to a target if it is cold.
func (p *Placer) takeColdSlot(now time.Time, r Request, record registrar.Record) {
	if _, limited := p.coldLimit(r); limited && p.cold(now, record) {
		p.target(record.ID).coldSlots.Take(now)
	}
}

// share returns the part of the limit of a target that this VM may use.
func (p *Placer) share(targets []registrar.Record, record registrar.Record) float64 {
	if len(p.limits.VMsByDomain) == 0 {
		return 1 / float64(p.limits.EntryVMs)
	}
	hasReplica := func(domain string) bool {
		return slices.ContainsFunc(targets, func(r registrar.Record) bool { return r.Domain == domain })
	}
	return pacer.Share(p.config.Pacer, p.domain, record.Domain, p.limits.VMsByDomain, hasReplica)
}
