package quarantiner

import "time"

const (
	// lossesForQuarantine is the number of lost targets that leads to a
	// quarantine, as the design requires.
	lossesForQuarantine = 2
	// maxRememberedLosses limits the losses of one fingerprint that are kept
	// to detect duplicate reports.
	maxRememberedLosses = 16
)

type loss struct {
	target   string
	reportID uint64
	at       time.Time
}

// suspect is the record of a fingerprint that was in flight at a lost target or
// has been cleared.
type suspect struct {
	losses       []loss
	firstLossAt  time.Time
	secondLossAt time.Time
	lossCount    int
	clearedAt    time.Time
	// needsClearance means that a loss was reported since this process last
	// queued a clearance for its peers.
	needsClearance bool
	updatedAt      time.Time
}

// isDuplicate reports whether the loss was reported before, by the same
// reporter or by another owner of the target.
func (s *suspect) isDuplicate(l loss, duplicateWindow time.Duration) bool {
	for _, known := range s.losses {
		if known.target == l.target && (known.reportID == l.reportID || l.at.Sub(known.at) < duplicateWindow) {
			return true
		}
	}
	return false
}

func (s *suspect) add(l loss) {
	if len(s.losses) == maxRememberedLosses {
		s.losses = append(s.losses[:0], s.losses[1:]...)
	}
	s.losses = append(s.losses, l)
	s.updatedAt = l.at
}

func (s *suspect) countLoss(at time.Time) {
	s.lossCount++
	switch s.lossCount {
	case 1:
		s.firstLossAt = at
	case lossesForQuarantine:
		s.secondLossAt = at
	}
}

func (s *suspect) clear(now time.Time) {
	s.lossCount = 0
	s.clearedAt = now
	s.updatedAt = now
}

// quarantineStart returns the time from which the fingerprint is quarantined,
// and false if it has too few losses.
func (s *suspect) quarantineStart(grace time.Duration) (time.Time, bool) {
	if s.lossCount < lossesForQuarantine {
		return time.Time{}, false
	}
	graceEnd := s.firstLossAt.Add(grace)
	if s.secondLossAt.After(graceEnd) {
		return s.secondLossAt, true
	}
	return graceEnd, true
}

// evictedBefore reports whether s is evicted before other when the suspects
// reach their limit. Suspects without counted losses are evicted first.
func (s *suspect) evictedBefore(other *suspect) bool {
	if (s.lossCount == 0) != (other.lossCount == 0) {
		return s.lossCount == 0
	}
	return s.updatedAt.Before(other.updatedAt)
}
