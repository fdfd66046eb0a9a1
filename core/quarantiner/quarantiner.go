package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Entry is an update on one fingerprint for peers and gateways: a quarantine if
// Remaining is positive, otherwise a clearance.
type Entry struct {
	Fingerprint uint64
	Remaining   time.Duration
	LostTargets int
}

// Quarantiner tracks suspected and quarantined fingerprints.
type Quarantiner struct {
	config            Config
	suspects          map[uint64]*suspect
	entries           map[uint64]entry
	completions       completions
	pendingClearances map[uint64]struct{}
}

type entry struct {
	until       time.Time
	lostTargets int
}

// New returns a Quarantiner without suspects or entries.
func New(config Config) *Quarantiner {
	return &Quarantiner{
		config:            config,
		suspects:          make(map[uint64]*suspect),
		entries:           make(map[uint64]entry),
		pendingClearances: make(map[uint64]struct{}),
	}
}

// Quarantined returns the remaining time of the fingerprint's quarantine, or
// zero if requests with it are admitted.
func (q *Quarantiner) Quarantined(now time.Time, fingerprint uint64) time.Duration {
	until := q.entries[fingerprint].until
	if s := q.suspects[fingerprint]; s != nil {
		if at, ok := s.quarantineStart(q.config.Grace); ok && !now.Before(at) {
			until = later(until, at.Add(q.config.Period))
		}
	}
	return max(until.Sub(now), 0)
}

// LostTarget records that a target was lost while the fingerprints were in
// flight there. The report ID must differ between losses and between reporters,
// and stay the same when a report is repeated.
func (q *Quarantiner) LostTarget(now time.Time, target string, reportID uint64, fingerprints []uint64) {
	for _, fingerprint := range fingerprints[:min(len(fingerprints), q.config.MaxFingerprintsPerLoss)] {
		if fingerprint != 0 {
			q.recordLoss(fingerprint, loss{target, reportID, now})
		}
	}
}

// Completed records that a target completed a run, whatever the answer. A
// request that was shed or exceeded its deadline has not completed.
func (q *Quarantiner) Completed(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	q.completions.add(now, fingerprint, q.config.Grace, q.config.MaxCompletions)
	if q.Suspected(fingerprint) || q.needsClearance(fingerprint) {
		q.clear(now, fingerprint)
		q.queueClearance(fingerprint)
	}
}

// Merge applies the entries of a peer and returns those that change the local
// quarantines, to be published to the gateways. It ignores a quarantine if the
// fingerprint was cleared here after the quarantine began; the next Advance then
// returns the clearance again.
func (q *Quarantiner) Merge(now time.Time, entries []Entry) []Entry {
	var updates []Entry
	for _, e := range entries {
		e.Remaining = min(e.Remaining, q.config.Period)
		switch {
		case e.Fingerprint == 0:
		case e.Remaining <= 0:
			if q.Suspected(e.Fingerprint) {
				updates = append(updates, Entry{Fingerprint: e.Fingerprint})
			}
			q.clear(now, e.Fingerprint)
		case q.discounted(e.Fingerprint, now.Add(e.Remaining-q.config.Period)):
			q.queueClearance(e.Fingerprint)
		case q.addEntry(e.Fingerprint, now.Add(e.Remaining), e.LostTargets):
			updates = append(updates, e)
		}
	}
	return updates
}

// Advance quarantines suspects whose grace period has ended, removes expired
// records, and returns the new quarantines and clearances to be sent to peers
// and gateways.
func (q *Quarantiner) Advance(now time.Time) []Entry {
	var updates []Entry
	for fingerprint, s := range q.suspects {
		at, ok := s.quarantineStart(q.config.Grace)
		if ok && !now.Before(at) {
			if q.addEntry(fingerprint, at.Add(q.config.Period), s.lossCount) {
				updates = append(updates, q.entry(now, fingerprint))
			}
			s.lossCount = 0
		}
		if now.Sub(s.updatedAt) >= q.config.Period {
			delete(q.suspects, fingerprint)
		}
	}
	for fingerprint, e := range q.entries {
		if !now.Before(e.until) {
			delete(q.entries, fingerprint)
		}
	}
	for fingerprint := range q.pendingClearances {
		updates = append(updates, Entry{Fingerprint: fingerprint})
	}
	clear(q.pendingClearances)
	return sorted(updates)
}

// Entries returns all quarantines in force, for a new peer or gateway.
func (q *Quarantiner) Entries(now time.Time) []Entry {
	var entries []Entry
	for fingerprint, e := range q.entries {
		if now.Before(e.until) {
			entries = append(entries, q.entry(now, fingerprint))
		}
	}
	return sorted(entries)
}

// Len returns the number of remembered suspects and of quarantined
// fingerprints.
func (q *Quarantiner) Len() (suspects, entries int) {
	return len(q.suspects), len(q.entries)
}

func (q *Quarantiner) recordLoss(fingerprint uint64, l loss) {
	s := q.suspect(l.at, fingerprint)
	if s.isDuplicate(l, q.config.DuplicateWindow) {
		return
	}
	s.add(l)
	// A peer may have the loss report but not the completion, so the next
	// completion must be published.
	s.needsClearance = true
	if q.completions.within(l.at, fingerprint, q.config.Grace) {
		q.queueClearance(fingerprint)
	}
	if !q.discounted(fingerprint, l.at) {
		s.countLoss(l.at)
	}
}

// discounted reports whether a loss at the given time doesn't count because of
// a completed run or a clearance.
func (q *Quarantiner) discounted(fingerprint uint64, at time.Time) bool {
	if q.completions.within(at, fingerprint, q.config.Grace) {
		return true
	}
	s := q.suspects[fingerprint]
	return s != nil && !s.clearedAt.IsZero() && at.Sub(s.clearedAt) <= q.config.Grace
}

// Suspected reports whether losses count against the fingerprint or it is quarantined.
func (q *Quarantiner) Suspected(fingerprint uint64) bool {
	if _, ok := q.entries[fingerprint]; ok {
		return true
	}
	s := q.suspects[fingerprint]
	return s != nil && s.lossCount > 0
}

// needsClearance reports whether no clearance was queued for the peers since the
// last loss. A loss that is discounted here because of an earlier clearance may
// count at a peer that received that clearance sooner.
func (q *Quarantiner) needsClearance(fingerprint uint64) bool {
	s := q.suspects[fingerprint]
	return s != nil && s.needsClearance
}

func (q *Quarantiner) clear(now time.Time, fingerprint uint64) {
	q.suspect(now, fingerprint).clear(now)
	delete(q.entries, fingerprint)
}

func (q *Quarantiner) queueClearance(fingerprint uint64) {
	if len(q.pendingClearances) >= q.config.MaxEntries {
		return
	}
	q.pendingClearances[fingerprint] = struct{}{}
	if s := q.suspects[fingerprint]; s != nil {
		s.needsClearance = false
	}
}

// addEntry adds or extends an entry and reports whether it changed. It ignores
// an extension by up to one grace period, which comes from the transit time of
// messages and would keep an entry alive for as long as peers exchange it.
func (q *Quarantiner) addEntry(fingerprint uint64, until time.Time, lostTargets int) bool {
	existing, ok := q.entries[fingerprint]
	if ok && until.Sub(existing.until) <= q.config.Grace {
		return false
	}
	if !ok && len(q.entries) >= q.config.MaxEntries {
		q.evictEarliestExpiry()
	}
	q.entries[fingerprint] = entry{until, lostTargets}
	return true
}

func (q *Quarantiner) evictEarliestExpiry() {
	var earliest uint64
	for fingerprint, e := range q.entries {
		if earliest == 0 || e.until.Before(q.entries[earliest].until) {
			earliest = fingerprint
		}
	}
	delete(q.entries, earliest)
}

// suspect returns the record of the fingerprint. If there is none, it adds one
// and evicts another at the limit.
func (q *Quarantiner) suspect(now time.Time, fingerprint uint64) *suspect {
	if s := q.suspects[fingerprint]; s != nil {
		return s
	}
	if len(q.suspects) >= q.config.MaxSuspects {
		q.evictSuspect()
	}
	s := &suspect{updatedAt: now}
	q.suspects[fingerprint] = s
	return s
}

func (q *Quarantiner) evictSuspect() {
	var evicted uint64
	for fingerprint, s := range q.suspects {
		if evicted == 0 || s.evictedBefore(q.suspects[evicted]) {
			evicted = fingerprint
		}
	}
	delete(q.suspects, evicted)
}

func (q *Quarantiner) entry(now time.Time, fingerprint uint64) Entry {
	e := q.entries[fingerprint]
	return Entry{Fingerprint: fingerprint, Remaining: e.until.Sub(now), LostTargets: e.lostTargets}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sorted(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return entries
}
