package quarantiner

import "time"

const (
	// lossesForQuarantine is the number of lost targets that the design asks
	// for.
	lossesForQuarantine = 2
	// rememberedLosses bounds the losses kept to recognise repeated reports.
	rememberedLosses = 16
)

type loss struct {
	target string
	id     uint64
	at     time.Time
}

// suspect is what is known of a fingerprint that was in flight at a lost
// target, or that a peer has cleared.
type suspect struct {
	losses    []loss
	first     time.Time
	second    time.Time
	count     int
	clearedAt time.Time
	// awaited means that a loss was reported since this process last told its
	// peers of a completion.
	awaited bool
	touched time.Time
}

// repeats reports whether the loss is already known, from the same reporter or
// from another owner of the target.
func (s *suspect) repeats(l loss, sameLoss time.Duration) bool {
	for _, known := range s.losses {
		if known.target == l.target && (known.id == l.id || l.at.Sub(known.at) < sameLoss) {
			return true
		}
	}
	return false
}

func (s *suspect) add(l loss) {
	if len(s.losses) == rememberedLosses {
		s.losses = append(s.losses[:0], s.losses[1:]...)
	}
	s.losses = append(s.losses, l)
	s.touched = l.at
}

func (s *suspect) counts(at time.Time) {
	s.count++
	switch s.count {
	case 1:
		s.first = at
	case lossesForQuarantine:
		s.second = at
	}
}

func (s *suspect) clear(now time.Time) {
	s.count = 0
	s.clearedAt = now
	s.touched = now
}

// condemnedAt returns the time from which the fingerprint is quarantined.
func (s *suspect) condemnedAt(grace time.Duration) (time.Time, bool) {
	if s.count < lossesForQuarantine {
		return time.Time{}, false
	}
	judged := s.first.Add(grace)
	if s.second.After(judged) {
		return s.second, true
	}
	return judged, true
}

// weaker reports whether s is given up before other when there is no room.
func (s *suspect) weaker(other *suspect) bool {
	if (s.count == 0) != (other.count == 0) {
		return s.count == 0
	}
	return s.touched.Before(other.touched)
}
