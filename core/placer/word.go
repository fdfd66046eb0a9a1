package placer

import (
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/registrar"
)

// What a target says itself about the requests that it wants goes before what others say of
// it. A limit is kept by all VMs together (limit.go). That it leaves holds for this start of
// the target, on the VMs of the failure domain. A pause holds for this VM only.

// maxLeaving limits the targets that are remembered as leaving.
const maxLeaving = 8192

// leaving holds the start times of the targets that have said that they leave, by ID. They
// are remembered after their registration has ended, because an older one may come back.
type leaving map[string]time.Time

// add records that a target leaves, and reports whether that is new.
func (l leaving) add(id string, born time.Time) bool {
	known, ok := l[id]
	if ok && !born.After(known) {
		return false
	}
	if !ok && len(l) >= maxLeaving {
		l.removeOldest()
	}
	l[id] = born
	return true
}

func (l leaving) removeOldest() {
	var oldest string
	for id, born := range l {
		if oldest == "" || born.Before(l[oldest]) {
			oldest = id
		}
	}
	delete(l, oldest)
}

// has reports whether a start of a target leaves. A later start under the same ID doesn't.
func (l leaving) has(id string, born time.Time) bool {
	since, ok := l[id]
	return ok && !born.After(since)
}

// among returns the IDs of the targets that leave, nil if none does.
func (l leaving) among(targets []registrar.Record) container.Set[string] {
	var ids container.Set[string]
	for _, record := range targets {
		if !l.has(record.ID, record.Born) {
			continue
		}
		if ids == nil {
			ids = container.NewSet[string]()
		}
		ids.Add(record.ID)
	}
	return ids
}

// ObserveLeaving records that a target has said that it leaves, and reports whether that is
// new. The neighbours of this VM learn of it with the evidence.
func (p *Placer) ObserveLeaving(record registrar.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaving.add(record.ID, record.Born) {
		return false
	}
	// The neighbours know already that a target without state has gone.
	if t, ok := p.targets[record.ID]; ok {
		e := p.pendingEvidence(t, record)
		e.Leaving, e.Born = true, record.Born
	}
	return true
}

// Leaving reports whether a target has said that it leaves.
func (p *Placer) Leaving(record registrar.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving.has(record.ID, record.Born)
}

// probeTime is the time for which the first request after a pause keeps others back, unless
// it is answered sooner. It finds out whether the target takes requests again.
const probeTime = 200 * time.Millisecond

// pause is the time for which a target wants no requests of this process.
type pause struct{ until time.Time }

func (w *pause) forbids(now time.Time) bool { return now.Before(w.until) }

// begin starts a probe if a pause is over, and returns when it ends without an answer, the
// zero time if there is none.
func (w *pause) begin(now time.Time) time.Time {
	if !w.until.IsZero() {
		w.until = now.Add(probeTime)
	}
	return w.until
}

// probed ends the probe that begin has started.
func (w *pause) probed(until time.Time) {
	if w.until.Equal(until) {
		w.until = time.Time{}
	}
}

// ObservePause records that a target wants no requests of this process for a time, and
// reports whether it is longer than known.
func (p *Placer) ObservePause(now time.Time, placed Placement, length time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(length)
	if !until.After(placed.target.pause.until) {
		return false
	}
	placed.target.pause.until = until
	return true
}

// AvailableAt returns when the first of the targets takes requests of this process again, and
// false if none is reachable.
func (p *Placer) AvailableAt(targets []registrar.Record) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	found := false
	for _, record := range targets {
		t := p.target(record.ID)
		if t.unreachable || p.leaving.has(record.ID, record.Born) {
			continue
		}
		at := t.pace.NextAt(p.config.Pacer)
		if t.pause.until.After(at) {
			at = t.pause.until
		}
		if !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first, found
}
