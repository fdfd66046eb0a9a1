package quarantiner

import (
	"slices"
	"time"

	"jackdawcart.org/core/container"
)

const (
	// lossesForQuarantine is the number of lost targets that leads to a
	// quarantine, as the design requires.
	lossesForQuarantine = 2
	// maxRememberedLosses limits the losses of one fingerprint that are kept.
	maxRememberedLosses = 32
)

type loss struct {
	target   string
	part     string
	reportID uint64
	at       time.Time
	// counted is unset if a completed run shows that the request is not the cause.
	counted bool
}

// suspect is the record of a fingerprint that was in flight at a lost target or
// has been cleared.
type suspect struct {
	losses []loss
	// clearedAt holds the time of the last clearance of each part.
	clearedAt map[string]time.Time
	// unclearedParts are the parts of which a loss was reported since this process last
	// queued a clearance for its peers.
	unclearedParts container.Set[string]
	updatedAt      time.Time
}

func newSuspect(now time.Time) *suspect {
	return &suspect{clearedAt: make(map[string]time.Time), unclearedParts: container.NewSet[string](), updatedAt: now}
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

// add adds a loss, and returns the one that it drops at the limit.
func (s *suspect) add(l loss) (dropped loss, ok bool) {
	if len(s.losses) == maxRememberedLosses {
		dropped, ok = s.losses[0], true
		s.losses = append(s.losses[:0], s.losses[1:]...)
	}
	s.losses = append(s.losses, l)
	s.updatedAt = l.at
	return dropped, ok
}

// countsAt reports whether the loss of a target is counted.
func (s *suspect) countsAt(target string) bool {
	return slices.ContainsFunc(s.losses, func(l loss) bool { return l.counted && l.target == target })
}

// clear cancels the losses of a part.
func (s *suspect) clear(now time.Time, part string) {
	for i := range s.losses {
		if covers(part, s.losses[i].part) {
			s.losses[i].counted = false
		}
	}
	s.clearedAt[part] = now
	s.updatedAt = now
}

// clearedWithin reports whether the part was cleared no more than one grace period before
// the given time.
func (s *suspect) clearedWithin(at time.Time, part string, grace time.Duration) bool {
	for cleared, clearedAt := range s.clearedAt {
		if covers(cleared, part) && at.Sub(clearedAt) <= grace {
			return true
		}
	}
	return false
}

// counted returns the number of counted losses.
func (s *suspect) counted() int {
	n := 0
	for _, l := range s.losses {
		if l.counted {
			n++
		}
	}
	return n
}

// countedAt returns the number of counted losses that a completed run at the part cancels.
func (s *suspect) countedAt(part string) int {
	n := 0
	for _, l := range s.losses {
		if l.counted && covers(part, l.part) {
			n++
		}
	}
	return n
}

// suspectedParts returns the parts with counted losses.
func (s *suspect) suspectedParts() []string {
	var parts []string
	for _, l := range s.losses {
		if l.counted && !slices.Contains(parts, l.part) {
			parts = append(parts, l.part)
		}
	}
	slices.Sort(parts)
	return parts
}

// quarantineTime returns the time from which a request with the losses is quarantined and the
// time of the last one, and false if they are too few.
func quarantineTime(config Config, losses []loss) (from, last time.Time, ok bool) {
	var times []time.Time
	for _, l := range losses {
		times = append(times, l.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for len(times) > 0 && times[len(times)-1].Sub(times[0]) > config.Period {
		times = times[1:]
	}
	if len(times) < lossesForQuarantine {
		return time.Time{}, time.Time{}, false
	}
	return later(times[0].Add(config.Grace), times[lossesForQuarantine-1]), times[len(times)-1], true
}

// evictedBefore reports whether s is evicted before other when the suspects
// reach their limit. Suspects without counted losses are evicted first.
func (s *suspect) evictedBefore(other *suspect) bool {
	if (s.counted() == 0) != (other.counted() == 0) {
		return s.counted() == 0
	}
	return s.updatedAt.Before(other.updatedAt)
}
