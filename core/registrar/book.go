// Package registrar keeps the belief about which targets serve, from
// registrations that can lag, lapse with the store and come back.
package registrar

import (
	"net/netip"
	"slices"
	"time"
)

// Target is the registration of one target.
type Target struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Version string
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// ColdFor is how long the target stays slow after it wrote this.
	ColdFor time.Duration
	// Born is the start of the target's process. A different start under the
	// same identity is another process.
	Born time.Time
}

// Entry is a registration at a revision of the store.
type Entry struct {
	Revision uint64
	Target   Target
}

// Record is a target with what the own process knows of it.
type Record struct {
	Target
	Revision uint64
	// Since is when the target was first seen here.
	Since time.Time
	// ColdUntil is when the target stops being slow after its start.
	ColdUntil time.Time
	// missingSince is set while the registration is missing after the store was
	// out of reach, and the target counts as live until the hold ends.
	missingSince time.Time
	// vacated is set while another target answers at the address.
	vacated bool
}

// Change says what a registration did to the belief about a target.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Added
	Drained
	Removed
	Held
	Restarted
	Updated
	Vacated
)

var changeNames = [...]string{"unchanged", "added", "draining", "removed", "held", "restarted", "updated", "vacated"}

// String returns the name of the change for logs.
func (c Change) String() string { return changeNames[c] }

// Event is a change of the belief about one target.
type Event struct {
	Change Change
	Record Record
}

// Book holds the targets of all services. It is not safe for concurrent use.
type Book struct {
	// hold is how long a registration that lapsed while the store was out of
	// reach may take to come back.
	hold      time.Duration
	records   map[string]*Record
	byService map[string][]Record
}

// NewBook returns an empty book.
func NewBook(hold time.Duration) *Book {
	return &Book{hold: hold, records: make(map[string]*Record)}
}

// Len returns the number of targets.
func (b *Book) Len() int { return len(b.records) }

// Targets returns the targets of a service that take new work, in the order of
// their identities. The slice must not be changed.
func (b *Book) Targets(service string) []Record {
	if b.byService == nil {
		b.index()
	}
	return b.byService[service]
}

func (b *Book) index() {
	b.byService = make(map[string][]Record)
	for _, r := range b.records {
		if !r.Draining && !r.vacated {
			b.byService[r.Service] = append(b.byService[r.Service], *r)
		}
	}
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y Record) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
	}
}

// Put takes a registration. An older revision than the known one is ignored.
func (b *Book) Put(now time.Time, e Entry) Event {
	known, ok := b.records[e.Target.ID]
	if ok && e.Revision <= known.Revision {
		known.missingSince = time.Time{}
		return Event{Record: *known}
	}
	next := &Record{Target: e.Target, Revision: e.Revision, Since: now, ColdUntil: now.Add(e.Target.ColdFor)}
	change := Added
	if ok {
		change = compare(known, next)
		if change != Restarted {
			next.Since = known.Since
		}
	}
	b.records[e.Target.ID] = next
	b.byService = nil
	return Event{Change: change, Record: *next}
}

func compare(known, next *Record) Change {
	switch {
	case !known.Born.Equal(next.Born) || known.Address != next.Address || known.Service != next.Service:
		return Restarted
	case next.Draining && !known.Draining:
		return Drained
	default:
		return Updated
	}
}

// Remove takes the news that a registration ended at a revision. With hold set,
// the store was out of reach a moment ago, and the target may only have lapsed.
func (b *Book) Remove(now time.Time, id string, revision uint64, hold bool) Event {
	known, ok := b.records[id]
	if !ok || revision < known.Revision {
		return Event{}
	}
	if hold && !known.Draining {
		if known.missingSince.IsZero() {
			known.missingSince = now
		}
		known.Revision = revision
		return Event{Change: Held, Record: *known}
	}
	delete(b.records, id)
	b.byService = nil
	return Event{Change: Removed, Record: *known}
}

// Vacate takes the news that another target answers at a target's address: the
// target is gone although its registration has not ended yet. Only a newer
// registration brings it back.
func (b *Book) Vacate(id string) Event {
	known, ok := b.records[id]
	if !ok || known.vacated {
		return Event{}
	}
	known.vacated = true
	b.byService = nil
	return Event{Change: Vacated, Record: *known}
}

// Replace takes a full reading of the registrations at a revision. Targets that
// it lacks are removed, or held for a while if hold is set.
func (b *Book) Replace(now time.Time, entries []Entry, revision uint64, hold bool) []Event {
	var events []Event
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Target.ID] = true
		if event := b.Put(now, e); event.Change != Unchanged {
			events = append(events, event)
		}
	}
	for id, known := range b.records {
		if seen[id] || known.Revision > revision || !known.missingSince.IsZero() {
			continue
		}
		if event := b.Remove(now, id, revision, hold); event.Change != Unchanged {
			events = append(events, event)
		}
	}
	return events
}

// Advance removes the targets whose registration did not come back in time.
func (b *Book) Advance(now time.Time) []Event {
	var events []Event
	for id, r := range b.records {
		if r.missingSince.IsZero() || now.Sub(r.missingSince) < b.hold {
			continue
		}
		delete(b.records, id)
		b.byService = nil
		events = append(events, Event{Change: Removed, Record: *r})
	}
	return events
}
