package sharer

import "time"

// Share returns the share of the requests of a class that is admitted.
func (s *State) Share(now time.Time, class Class) float64 {
	s.decay(now)
	total := s.Total()
	room := s.room(total)
	if room >= total.Requests {
		return 1
	}
	floor := s.config.Floor * room / total.Requests
	level := s.level(room, floor)
	asked, eligible := s.eligible(class, level, floor)
	if asked == 0 {
		// Nothing is known of a class whose first request this is.
		return 1
	}
	return min(max(eligible/asked, s.config.MinShare), 1)
}

// room estimates the number of requests that can be served.
func (s *State) room(total Load) float64 {
	headroom := s.config.Headroom
	if total.Admitted-total.Served <= s.config.RecoveryFailures*total.Admitted {
		headroom = s.config.RecoveryHeadroom
	}
	return headroom*total.Served + s.config.Tolerance
}

// level returns the number of requests up to which every workspace gets what it asks for, so
// that all together get the given room. No workspace gets less than the floor.
func (s *State) level(room, floor float64) float64 {
	asked := make(map[string]float64)
	for _, l := range s.recent {
		asked[l.Workspace] += l.Requests
	}
	low, high := 0.0, 0.0
	for _, a := range asked {
		high = max(high, a)
	}
	// Twenty halvings find the level to a millionth of the largest demand.
	for range 20 {
		middle := (low + high) / 2
		given := 0.0
		for _, a := range asked {
			given += max(min(a, middle), floor*a)
		}
		if given <= room {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// eligible returns how many requests of a class there are, and how many of them its workspace
// is entitled to. A workspace spends its part on its urgent requests first, apart from the floor
// that each kind of its requests gets.
func (s *State) eligible(class Class, level, floor float64) (asked, eligible float64) {
	all, before := 0.0, 0.0
	for _, l := range s.recent {
		if l.Workspace != class.Workspace {
			continue
		}
		all += l.Requests
		switch {
		case l.Rank < class.Rank:
			before += l.Requests
		case l.Rank == class.Rank:
			asked = l.Requests
		}
	}
	part := max(min(all, level), floor*all)
	kindFloor := s.config.Floor * part / max(all, negligible)
	left := part - kindFloor*all - (1-kindFloor)*before
	return asked, kindFloor*asked + min((1-kindFloor)*asked, max(left, 0))
}
