package registrar

import (
	"time"

	"jackdawcart.org/core/sequencer"
)

// tombstone is what is known of a target that has left.
type tombstone struct {
	last   Entry
	leftAt time.Time
	// restored is the target's registration in a store that was restored since, if
	// listed, and restoredAt when it was first read.
	restored   Entry
	restoredAt time.Time
}

const (
	// tombstonePeriod is how long a target that has left is remembered. It exceeds the
	// age of the copies from which a store is restored.
	tombstonePeriod = 10 * time.Minute
	// probationPeriod is how long the registration of a target that has left is not
	// used after a restore. One that nobody renews expires within three of the usual
	// heartbeat intervals.
	probationPeriod = 6 * time.Second
)

// hasLeft reports whether a registration was written before its target left. One that the
// store holds again after a restore is remembered: it is used after the probation period,
// because only a live target renews it.
func (r *Registry) hasLeft(now time.Time, e Entry) bool {
	t, ok := r.tombstones[e.Target.ID]
	if !ok || e.supersedes(t.last) {
		return false
	}
	if e.Position.Era > t.last.Position.Era && !t.last.Target.Draining && !e.Target.Draining && t.restoredAt.IsZero() {
		t.restored, t.restoredAt = e, now
	}
	return true
}

// bury removes a target that left at a position.
func (r *Registry) bury(now time.Time, known *Record, position sequencer.Position) {
	last := Entry{Position: position, Target: known.Target}
	r.tombstones[known.ID] = &tombstone{last: last, leftAt: now}
	delete(r.records, known.ID)
	r.byService = nil
}
