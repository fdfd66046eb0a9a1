// Package registrar tracks which targets and processes are live, based on
// registrations that may be delayed, or expire and reappear around a store outage.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/sequencer"
)

// Target is the registration of one target.
type Target struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Version string
	Slots   int
	// Draining targets accept no new requests.
	Draining bool
	// ColdFor is the remaining cold-start time when the target wrote the
	// registration.
	ColdFor time.Duration
	// Born is the start time of the target's process. A different time under
	// the same ID means that the target restarted.
	Born time.Time
	// Sequence is the target's own count of its registrations since its start.
	Sequence uint64
}

// supersedes reports whether the target itself wrote t later than another of its
// registrations. A target never returns from draining.
func (t Target) supersedes(other Target) bool {
	switch {
	case !t.Born.Equal(other.Born):
		return t.Born.After(other.Born)
	case t.Sequence != other.Sequence:
		return t.Sequence > other.Sequence
	default:
		return t.Draining && !other.Draining
	}
}

// Entry is a registration and its position in the store.
type Entry struct {
	Position sequencer.Position
	Target   Target
}

// supersedes reports whether e was written later than another registration of the same
// target. Positions tell within one era of the store. A store that was restored holds
// registrations of former eras among its own, so the target's own order counts there.
func (e Entry) supersedes(other Entry) bool {
	if e.Position.Era == other.Position.Era {
		return e.Position.After(other.Position)
	}
	return e.Position.After(other.Position) && e.Target.supersedes(other.Target)
}

// Record is a registered target with the local state of this process.
type Record struct {
	Target
	Position sequencer.Position
	// FirstSeen is when this process first saw the target or its last restart.
	FirstSeen time.Time
	// ColdUntil is the end of the target's cold start.
	ColdUntil time.Time
	// missingSince is set while the registration is missing after an outage of
	// the store, to the end of the outage. The target counts as live until the grace
	// period after it ends.
	missingSince time.Time
	// vacated is set once another target answers at this target's address.
	vacated bool
}

// Change is the effect of an update on the record of a target.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Added
	// Drained means that the target began to drain.
	Drained
	Removed
	// Held means that the registration is missing after an outage of the store,
	// and the target is kept for the grace period.
	Held
	// Restarted means that the target's start time, address or service changed.
	Restarted
	Updated
	// Vacated means that another target answers at the target's address.
	Vacated
)

var changeNames = [...]string{"unchanged", "added", "draining", "removed", "held", "restarted", "updated", "vacated"}

// String returns the name of the change for logs.
func (c Change) String() string { return changeNames[c] }

// Event is a change of one target's record.
type Event struct {
	Change Change
	Record Record
}

// Registry holds the registered targets of all services. It is not safe for
// concurrent use.
type Registry struct {
	// gracePeriod is how long a target is kept whose registration is missing after
	// an outage of the store.
	gracePeriod time.Duration
	records     map[string]*Record
	byService   map[string][]Record
	tombstones  map[string]*tombstone
	// evacuated holds the failure domains whose targets get no requests.
	evacuated container.Set[string]
}

// NewRegistry returns an empty registry.
func NewRegistry(gracePeriod time.Duration) *Registry {
	return &Registry{gracePeriod: gracePeriod, records: make(map[string]*Record), tombstones: make(map[string]*tombstone)}
}

// Len returns the number of targets.
func (r *Registry) Len() int { return len(r.records) }

// Targets returns the targets of a service that accept new requests, ordered by
// ID. The slice must not be modified.
func (r *Registry) Targets(service string) []Record {
	if r.byService == nil {
		r.buildIndex()
	}
	return r.byService[service]
}

func (r *Registry) buildIndex() {
	r.byService = make(map[string][]Record)
	for _, record := range r.records {
		if !record.Draining && !record.vacated && !r.evacuated.Has(record.Domain) {
			r.byService[record.Service] = append(r.byService[record.Service], *record)
		}
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(x, y Record) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
	}
}

// Put applies a registration. It ignores one that is not newer than the known one, except
// that the registration no longer counts as missing, and one of a target that has left.
func (r *Registry) Put(now time.Time, e Entry) Event {
	known, ok := r.records[e.Target.ID]
	if ok && !e.supersedes(known.entry()) {
		known.missingSince = time.Time{}
		return Event{Record: *known}
	}
	if !ok && r.hasLeft(now, e) {
		return Event{}
	}
	delete(r.tombstones, e.Target.ID)
	next := &Record{Target: e.Target, Position: e.Position, FirstSeen: now, ColdUntil: now.Add(e.Target.ColdFor)}
	change := Added
	if ok {
		change = classifyChange(known, next)
		if change != Restarted {
			next.FirstSeen = known.FirstSeen
		}
	}
	r.records[e.Target.ID] = next
	r.byService = nil
	return Event{Change: change, Record: *next}
}

func (r *Record) entry() Entry { return Entry{Position: r.Position, Target: r.Target} }

func classifyChange(known, next *Record) Change {
	switch {
	case !known.Born.Equal(next.Born) || known.Address != next.Address || known.Service != next.Service:
		return Restarted
	case next.Draining && !known.Draining:
		return Drained
	default:
		return Updated
	}
}

// Remove applies the end of a registration at a position. Shortly after an outage
// of the store the lease may have expired although the target is live. Unless outageEnd is
// the zero time, a target that is not draining is held until the grace period after it.
func (r *Registry) Remove(now time.Time, id string, position sequencer.Position, outageEnd time.Time) Event {
	if t, ok := r.tombstones[id]; ok {
		t.restoredAt = time.Time{}
	}
	known, ok := r.records[id]
	if !ok || known.Position.After(position) {
		return Event{}
	}
	if !outageEnd.IsZero() && !known.Draining {
		if known.missingSince.IsZero() {
			known.missingSince = outageEnd
		}
		known.Position = position
		return Event{Change: Held, Record: *known}
	}
	r.bury(now, known, position)
	return Event{Change: Removed, Record: *known}
}

// Vacate records that another target answers at a target's address: the target
// is gone although its registration has not ended yet. Only a newer registration
// restores it.
func (r *Registry) Vacate(id string) Event {
	known, ok := r.records[id]
	if !ok || known.vacated {
		return Event{}
	}
	known.vacated = true
	r.byService = nil
	return Event{Change: Vacated, Record: *known}
}

// Replace applies a full listing of the registrations at a position. Targets that
// are not listed are removed, or held for the grace period as in Remove. Those listed with a
// value that cannot be read, unreadable, stay as they are.
func (r *Registry) Replace(now time.Time, entries []Entry, position sequencer.Position, outageEnd time.Time, unreadable ...string) []Event {
	var events []Event
	seen := make(map[string]bool, len(entries))
	for _, id := range unreadable {
		seen[id] = true
	}
	for _, e := range entries {
		seen[e.Target.ID] = true
		if event := r.Put(now, e); event.Change != Unchanged {
			events = append(events, event)
		}
	}
	for id, known := range r.records {
		if seen[id] || known.Position.After(position) || !known.missingSince.IsZero() {
			continue
		}
		if event := r.Remove(now, id, position, outageEnd); event.Change != Unchanged {
			events = append(events, event)
		}
	}
	for id, t := range r.tombstones {
		if !seen[id] {
			t.restoredAt = time.Time{}
		}
	}
	return events
}

// Advance removes the targets whose registration did not reappear within the grace
// period, and adds those that had left and whose registration has outlived the probation
// period after a restore.
func (r *Registry) Advance(now time.Time) []Event {
	var events []Event
	for _, record := range r.records {
		if record.missingSince.IsZero() || now.Sub(record.missingSince) < r.gracePeriod {
			continue
		}
		r.bury(now, record, record.Position)
		events = append(events, Event{Change: Removed, Record: *record})
	}
	for id, t := range r.tombstones {
		switch {
		case !t.restoredAt.IsZero() && now.Sub(t.restoredAt) >= probationPeriod:
			delete(r.tombstones, id)
			events = append(events, r.Put(now, t.restored))
		case now.Sub(t.leftAt) >= tombstonePeriod:
			delete(r.tombstones, id)
		}
	}
	return events
}
