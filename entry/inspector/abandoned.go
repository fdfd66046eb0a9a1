package inspector

import (
	"time"

	"jackdawcart.org/core/registrar"
)

// abandonedTarget is a target at which requests were given up.
type abandonedTarget struct {
	registrar.Record
	// heard is set once it has answered another request, or accepted a connection, since the
	// first one was given up: it was not silent.
	heard bool
}

// heard records that a target accepts connections.
func (i *Inspector) heard(target registrar.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordHeard(target)
}

// recordHeard records that a target is not silent. The caller holds mu.
func (i *Inspector) recordHeard(target registrar.Record) {
	if at, ok := i.abandonedAt[target.ID]; ok && !at.heard && incarnation(at.Record) == incarnation(target) {
		at.heard = true
		i.abandonedAt[target.ID] = at
	}
}

// GaveUp records that a request at a target is no longer waited for, while the target may
// still run it. If the target is lost soon after, the loss counts against the request.
func (i *Inspector) GaveUp(target registrar.Record, fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	key := incarnation(target)
	i.abandoned.Add(i.timers.Now(), key, runOf(target, fingerprint))
	if known, ok := i.abandonedAt[target.ID]; i.abandoned.Has(key) && (!ok || incarnation(known.Record) != key) {
		i.abandonedAt[target.ID] = abandonedTarget{Record: target}
		// Tells a target that is at work from one that is silent or gone already.
		i.startProbe(target)
	}
}

// ConnectionEnded records that a target has ended an idle connection, as one that crashes
// does, or accepts no new ones.
func (i *Inspector) ConnectionEnded(id string) {
	i.mu.Lock()
	target, ok := i.abandonedAt[id]
	i.mu.Unlock()
	if ok {
		// Beyond the limit of probes, the target is probed when the next connection ends.
		i.startProbe(target.Record)
	}
}

// TargetChanged records a change of a target's registration. Without notice, a target that
// is gone may have crashed under a request that was given up. One that had been silent before
// it was replaced has not: its host was gone, and the requests were given up for that.
func (i *Inspector) TargetChanged(event registrar.Event) {
	switch event.Change {
	case registrar.Drained:
		i.forgetAbandoned(event.Record)
	case registrar.Removed, registrar.Held:
		i.ConnectionEnded(event.Record.ID)
	case registrar.Added, registrar.Restarted, registrar.Vacated:
		for _, target := range i.replacedBy(event) {
			i.targetLost(target, nil)
		}
	case registrar.Unchanged, registrar.Updated:
	}
}

// replacedBy returns the targets with abandoned runs that are gone according to an event:
// another target, or a later start of the same one, has the address.
func (i *Inspector) replacedBy(event registrar.Event) []registrar.Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	var gone []registrar.Record
	for id, target := range i.abandonedAt {
		if !target.heard {
			continue
		}
		vacated := event.Change == registrar.Vacated && id == event.Record.ID
		sameAddress := target.Address == event.Record.Address && incarnation(target.Record) != incarnation(event.Record)
		restarted := id == event.Record.ID && incarnation(target.Record) != incarnation(event.Record)
		if vacated || sameAddress || restarted {
			gone = append(gone, target.Record)
		}
	}
	return gone
}

// forgetAbandoned drops the runs that were given up at a target which leaves as planned.
func (i *Inspector) forgetAbandoned(target registrar.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.abandoned.Take(i.timers.Now(), incarnation(target))
	delete(i.abandonedAt, target.ID)
}

// expireAbandoned drops the runs that no longer count. The caller holds mu.
func (i *Inspector) expireAbandoned(now time.Time) {
	if len(i.abandonedAt) == 0 {
		return
	}
	i.abandoned.Expire(now)
	for id, target := range i.abandonedAt {
		if !i.abandoned.Has(incarnation(target.Record)) {
			delete(i.abandonedAt, id)
		}
	}
}
