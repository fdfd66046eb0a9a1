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
	// Parts are those where targets were lost or, in a clearance, where runs have
	// completed. Without any, the entry concerns all parts.
	Parts []string
}

// Quarantiner tracks suspected and quarantined fingerprints.
type Quarantiner struct {
	config            Config
	suspects          map[uint64]*suspect
	atTarget          lossIndex
	entries           map[uint64]entry
	completions       completions
	pendingClearances map[Run]struct{}
}

type entry struct {
	until       time.Time
	lostTargets int
	// parts are those where targets were lost, nil if that is not known.
	parts []string
	// observed is set if the losses behind the quarantine are known here.
	observed bool
}

// New returns a Quarantiner without suspects or entries.
func New(config Config) *Quarantiner {
	return &Quarantiner{
		config:            config,
		suspects:          make(map[uint64]*suspect),
		atTarget:          make(lossIndex),
		entries:           make(map[uint64]entry),
		pendingClearances: make(map[Run]struct{}),
	}
}

// Quarantined returns the remaining time of the fingerprint's quarantine, or
// zero if requests with it are admitted.
func (q *Quarantiner) Quarantined(now time.Time, fingerprint uint64) time.Duration {
	until := q.entries[fingerprint].until
	if from, last, ok := quarantineTime(q.config, q.blamed(fingerprint)); ok && !now.Before(from) {
		until = later(until, later(from, last).Add(q.config.Period))
	}
	return max(until.Sub(now), 0)
}

// LostTarget records that a target was lost while requests were in flight
// there. The report ID must differ between losses and between reporters,
// and stay the same when a report is repeated.
func (q *Quarantiner) LostTarget(now time.Time, target string, reportID uint64, runs []Run) {
	for _, run := range runs[:min(len(runs), q.config.MaxFingerprintsPerLoss)] {
		if run.Fingerprint != 0 {
			q.recordLoss(run.Fingerprint, loss{target: target, part: run.Part, reportID: reportID, at: now})
		}
	}
}

// Completed records that a target completed a run, whatever the answer. A
// request that was shed or exceeded its deadline has not completed.
func (q *Quarantiner) Completed(now time.Time, run Run) {
	if run.Fingerprint == 0 {
		return
	}
	q.completions.add(now, run, q.config.Grace, q.config.MaxCompletions)
	if q.Suspected(run) || q.needsClearance(run) {
		q.clear(now, run)
		q.queueClearance(run)
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
			if q.mergeClearance(now, e) {
				updates = append(updates, Entry{Fingerprint: e.Fingerprint})
			}
		case q.entryDiscounted(e, now.Add(e.Remaining-q.config.Period)):
		case q.addEntry(e.Fingerprint, entry{until: now.Add(e.Remaining), lostTargets: e.LostTargets, parts: e.Parts}):
			updates = append(updates, e)
		}
	}
	return updates
}

// mergeClearance applies a clearance of a peer and reports whether it ended a suspicion. A
// clearance without parts is of a peer that does not tell them apart, and may be about another
// part than the one at which targets were lost. It changes nothing if that one is known.
func (q *Quarantiner) mergeClearance(now time.Time, e Entry) bool {
	if len(e.Parts) == 0 && q.partsKnown(e.Fingerprint) {
		return false
	}
	suspected := q.Suspected(Run{Fingerprint: e.Fingerprint})
	for _, part := range partsOf(e) {
		q.clear(now, Run{e.Fingerprint, part})
	}
	return suspected && !q.Suspected(Run{Fingerprint: e.Fingerprint})
}

// partsKnown reports whether targets were lost under a request at parts with names.
func (q *Quarantiner) partsKnown(fingerprint uint64) bool {
	isNamed := func(part string) bool { return part != "" }
	if e, ok := q.entries[fingerprint]; ok && slices.ContainsFunc(e.parts, isNamed) {
		return true
	}
	return slices.ContainsFunc(q.SuspectedParts(fingerprint), isNamed)
}

// entryDiscounted reports whether all parts of a peer's quarantine that began at the given
// time have been cleared here, and queues the clearances of those that have.
func (q *Quarantiner) entryDiscounted(e Entry, began time.Time) bool {
	all := true
	for _, part := range partsOf(e) {
		run := Run{e.Fingerprint, part}
		if !q.discounted(run, began) {
			all = false
			continue
		}
		q.queueClearance(run)
	}
	return all
}

// partsOf returns the parts of an entry, the empty name standing for all.
func partsOf(e Entry) []string {
	if len(e.Parts) == 0 {
		return []string{""}
	}
	return e.Parts
}

// Advance quarantines suspects whose grace period has ended, removes expired
// records, and returns the new quarantines and clearances to be sent to peers
// and gateways.
func (q *Quarantiner) Advance(now time.Time) []Entry {
	var updates []Entry
	for fingerprint, s := range q.suspects {
		if now.Sub(s.updatedAt) >= q.config.Period {
			q.forget(fingerprint)
			continue
		}
		from, last, ok := quarantineTime(q.config, q.blamed(fingerprint))
		if !ok || now.Before(from) {
			continue
		}
		e := entry{until: later(from, last).Add(q.config.Period), lostTargets: s.counted(), parts: s.suspectedParts(), observed: true}
		if q.addEntry(fingerprint, e) {
			updates = append(updates, q.entry(now, fingerprint))
		}
	}
	for fingerprint, e := range q.entries {
		if !now.Before(e.until) {
			delete(q.entries, fingerprint)
		}
	}
	for run := range q.pendingClearances {
		e := Entry{Fingerprint: run.Fingerprint}
		if run.Part != "" {
			e.Parts = []string{run.Part}
		}
		updates = append(updates, e)
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
	s, run := q.suspect(l.at, fingerprint), Run{fingerprint, l.part}
	if s.isDuplicate(l, q.config.DuplicateWindow) {
		return
	}
	// A peer may have the loss report but not the completion, so the next
	// completion must be published.
	s.unclearedParts.Add(l.part)
	if q.completions.within(l.at, run, q.config.Grace) {
		q.queueClearance(run)
	}
	l.counted = !q.discounted(run, l.at)
	if dropped, ok := s.add(l); ok {
		q.atTarget.remove(dropped.target, fingerprint)
	}
	q.atTarget.add(l.target, fingerprint)
}

// discounted reports whether a loss at the given time doesn't count because of
// a completed run or a clearance.
func (q *Quarantiner) discounted(run Run, at time.Time) bool {
	if q.completions.within(at, run, q.config.Grace) {
		return true
	}
	s := q.suspects[run.Fingerprint]
	return s != nil && s.clearedWithin(at, run.Part, q.config.Grace)
}

// Suspected reports whether losses count against the request at a part, or it is
// quarantined because of losses there. The empty part stands for any.
func (q *Quarantiner) Suspected(run Run) bool {
	if e, ok := q.entries[run.Fingerprint]; ok && e.concerns(run.Part) {
		return true
	}
	s := q.suspects[run.Fingerprint]
	return s != nil && s.countedAt(run.Part) > 0
}

// SuspectedParts returns the parts where losses count against a request.
func (q *Quarantiner) SuspectedParts(fingerprint uint64) []string {
	s := q.suspects[fingerprint]
	if s == nil {
		return nil
	}
	return s.suspectedParts()
}

// concerns reports whether targets were lost at the part, as far as that is known.
func (e entry) concerns(part string) bool {
	return len(e.parts) == 0 || slices.ContainsFunc(e.parts, func(lost string) bool { return covers(part, lost) })
}

// needsClearance reports whether no clearance was queued for the peers since the
// last loss. A loss that is discounted here because of an earlier clearance may
// count at a peer that received that clearance sooner.
func (q *Quarantiner) needsClearance(run Run) bool {
	s := q.suspects[run.Fingerprint]
	return s != nil && (s.unclearedParts.Has(run.Part) || s.unclearedParts.Has(""))
}

// clear cancels the losses of a part, and the quarantine if too few others are left.
func (q *Quarantiner) clear(now time.Time, run Run) {
	s := q.suspect(now, run.Fingerprint)
	s.clear(now, run.Part)
	e, ok := q.entries[run.Fingerprint]
	if !ok || !e.concerns(run.Part) {
		return
	}
	e.parts = slices.DeleteFunc(slices.Clone(e.parts), func(part string) bool { return covers(run.Part, part) })
	q.entries[run.Fingerprint] = e
	if len(e.parts) == 0 || e.observed && s.counted() < lossesForQuarantine {
		delete(q.entries, run.Fingerprint)
	}
}

func (q *Quarantiner) queueClearance(run Run) {
	if len(q.pendingClearances) >= q.config.MaxEntries {
		return
	}
	q.pendingClearances[run] = struct{}{}
	if s := q.suspects[run.Fingerprint]; s != nil {
		s.unclearedParts.Remove(run.Part)
		s.unclearedParts.Remove("")
	}
}

// addEntry adds or extends an entry and reports whether it changed. It ignores
// an extension by up to one grace period, which comes from the transit time of
// messages and would keep an entry alive for as long as peers exchange it.
func (q *Quarantiner) addEntry(fingerprint uint64, e entry) bool {
	existing, ok := q.entries[fingerprint]
	if ok && e.until.Sub(existing.until) <= q.config.Grace {
		return false
	}
	if !ok && len(q.entries) >= q.config.MaxEntries {
		q.evictEarliestExpiry()
	}
	q.entries[fingerprint] = e
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
	s := newSuspect(now)
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
	q.forget(evicted)
}

// forget drops the record of a fingerprint.
func (q *Quarantiner) forget(fingerprint uint64) {
	if s := q.suspects[fingerprint]; s != nil {
		for _, l := range s.losses {
			q.atTarget.remove(l.target, fingerprint)
		}
	}
	delete(q.suspects, fingerprint)
}

func (q *Quarantiner) entry(now time.Time, fingerprint uint64) Entry {
	e := q.entries[fingerprint]
	return Entry{Fingerprint: fingerprint, Remaining: e.until.Sub(now), LostTargets: e.lostTargets, Parts: e.parts}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sorted(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Parts, b.Parts))
	})
	return entries
}
