package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Entry is news about one fingerprint for peers and gateways. With time
// remaining it is a quarantine; with none it clears the fingerprint.
type Entry struct {
	Fingerprint uint64
	Remaining   time.Duration
	LostTargets int
}

// Quarantiner holds the suspected and the quarantined fingerprints.
type Quarantiner struct {
	config   Config
	suspects map[uint64]*suspect
	entries  map[uint64]entry
	recent   recent
	cleared  map[uint64]struct{}
}

type entry struct {
	until       time.Time
	lostTargets int
}

// New returns an empty quarantiner.
func New(config Config) *Quarantiner {
	return &Quarantiner{
		config:   config,
		suspects: make(map[uint64]*suspect),
		entries:  make(map[uint64]entry),
		cleared:  make(map[uint64]struct{}),
	}
}

// Quarantined returns the time left for which requests with the fingerprint
// are refused, or zero.
func (q *Quarantiner) Quarantined(now time.Time, fingerprint uint64) time.Duration {
	until := q.entries[fingerprint].until
	if s := q.suspects[fingerprint]; s != nil {
		if at, ok := s.condemnedAt(q.config.Grace); ok && !now.Before(at) {
			until = later(until, at.Add(q.config.Period))
		}
	}
	return max(until.Sub(now), 0)
}

// LostTarget takes a report that a target was lost with the fingerprints in
// flight there. The number must differ between losses and between reporters,
// and stay the same when a report is repeated.
func (q *Quarantiner) LostTarget(now time.Time, target string, number uint64, fingerprints []uint64) {
	for _, fingerprint := range fingerprints[:min(len(fingerprints), q.config.MaxPerLoss)] {
		if fingerprint != 0 {
			q.lose(fingerprint, loss{target, number, now})
		}
	}
}

// Completed takes a run that a target completed, with whatever answer. A
// request that was shed or cut off by its deadline has not completed.
func (q *Quarantiner) Completed(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	q.recent.add(now, fingerprint, q.config.Grace, q.config.MaxRecent)
	if q.accused(fingerprint) || q.awaited(fingerprint) {
		q.clear(now, fingerprint)
		q.tell(fingerprint)
	}
}

// Merge takes the entries of a peer and returns those that change what is
// quarantined here, for the gateways. A quarantine of a fingerprint that was
// cleared here after it began is not taken; the next Advance answers it with
// the clearance.
func (q *Quarantiner) Merge(now time.Time, entries []Entry) []Entry {
	var news []Entry
	for _, e := range entries {
		e.Remaining = min(e.Remaining, q.config.Period)
		switch {
		case e.Fingerprint == 0:
		case e.Remaining <= 0:
			if q.accused(e.Fingerprint) {
				news = append(news, Entry{Fingerprint: e.Fingerprint})
			}
			q.clear(now, e.Fingerprint)
		case q.excused(e.Fingerprint, now.Add(e.Remaining-q.config.Period)):
			q.tell(e.Fingerprint)
		case q.quarantine(e.Fingerprint, now.Add(e.Remaining), e.LostTargets):
			news = append(news, e)
		}
	}
	return news
}

// Advance judges the suspects, forgets what has ended, and returns the news to
// send to peers and gateways: new quarantines and clearances.
func (q *Quarantiner) Advance(now time.Time) []Entry {
	var news []Entry
	for fingerprint, s := range q.suspects {
		at, ok := s.condemnedAt(q.config.Grace)
		if ok && !now.Before(at) {
			if q.quarantine(fingerprint, at.Add(q.config.Period), s.count) {
				news = append(news, q.entry(now, fingerprint))
			}
			s.count = 0
		}
		if now.Sub(s.touched) >= q.config.Period {
			delete(q.suspects, fingerprint)
		}
	}
	for fingerprint, e := range q.entries {
		if !now.Before(e.until) {
			delete(q.entries, fingerprint)
		}
	}
	for fingerprint := range q.cleared {
		news = append(news, Entry{Fingerprint: fingerprint})
	}
	clear(q.cleared)
	return sorted(news)
}

// Entries returns every quarantine in force, for a new peer or gateway.
func (q *Quarantiner) Entries(now time.Time) []Entry {
	var entries []Entry
	for fingerprint, e := range q.entries {
		if now.Before(e.until) {
			entries = append(entries, q.entry(now, fingerprint))
		}
	}
	return sorted(entries)
}

// Len returns the number of suspected and of quarantined fingerprints.
func (q *Quarantiner) Len() (suspects, entries int) {
	return len(q.suspects), len(q.entries)
}

func (q *Quarantiner) lose(fingerprint uint64, l loss) {
	s := q.suspect(l.at, fingerprint)
	if s.repeats(l, q.config.SameLoss) {
		return
	}
	s.add(l)
	// A peer that has the report but not the completion must hear of it.
	s.awaited = true
	if q.recent.within(l.at, fingerprint, q.config.Grace) {
		q.tell(fingerprint)
	}
	if !q.excused(fingerprint, l.at) {
		s.counts(l.at)
	}
}

// excused reports whether a completed run excuses a loss at the given time.
func (q *Quarantiner) excused(fingerprint uint64, at time.Time) bool {
	if q.recent.within(at, fingerprint, q.config.Grace) {
		return true
	}
	s := q.suspects[fingerprint]
	return s != nil && !s.clearedAt.IsZero() && at.Sub(s.clearedAt) <= q.config.Grace
}

func (q *Quarantiner) accused(fingerprint uint64) bool {
	if _, ok := q.entries[fingerprint]; ok {
		return true
	}
	s := q.suspects[fingerprint]
	return s != nil && s.count > 0
}

// awaited reports whether peers have not been told of a completion since the
// last loss. A loss that is excused here by an earlier clearance may count at a
// peer that received the clearance sooner.
func (q *Quarantiner) awaited(fingerprint uint64) bool {
	s := q.suspects[fingerprint]
	return s != nil && s.awaited
}

func (q *Quarantiner) clear(now time.Time, fingerprint uint64) {
	q.suspect(now, fingerprint).clear(now)
	delete(q.entries, fingerprint)
}

func (q *Quarantiner) tell(fingerprint uint64) {
	if len(q.cleared) >= q.config.MaxEntries {
		return
	}
	q.cleared[fingerprint] = struct{}{}
	if s := q.suspects[fingerprint]; s != nil {
		s.awaited = false
	}
}

// quarantine adds an entry and reports whether it is news. A prolongation by
// less than the grace period is none: it is the transit time of messages, and
// would keep an entry alive for as long as peers repeat it to each other.
func (q *Quarantiner) quarantine(fingerprint uint64, until time.Time, lostTargets int) bool {
	known, ok := q.entries[fingerprint]
	if ok && until.Sub(known.until) <= q.config.Grace {
		return false
	}
	if !ok && len(q.entries) >= q.config.MaxEntries {
		q.dropFirstToEnd()
	}
	q.entries[fingerprint] = entry{until, lostTargets}
	return true
}

func (q *Quarantiner) dropFirstToEnd() {
	var first uint64
	for fingerprint, e := range q.entries {
		if first == 0 || e.until.Before(q.entries[first].until) {
			first = fingerprint
		}
	}
	delete(q.entries, first)
}

// suspect returns the record of the fingerprint, making room for a new one.
func (q *Quarantiner) suspect(now time.Time, fingerprint uint64) *suspect {
	if s := q.suspects[fingerprint]; s != nil {
		return s
	}
	if len(q.suspects) >= q.config.MaxSuspects {
		q.dropWeakest()
	}
	s := &suspect{touched: now}
	q.suspects[fingerprint] = s
	return s
}

func (q *Quarantiner) dropWeakest() {
	var weakest uint64
	for fingerprint, s := range q.suspects {
		if weakest == 0 || s.weaker(q.suspects[weakest]) {
			weakest = fingerprint
		}
	}
	delete(q.suspects, weakest)
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
