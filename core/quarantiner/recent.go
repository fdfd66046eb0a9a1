package quarantiner

import "time"

// recent remembers completions for at least one grace period and at most two,
// in two generations, so that forgetting costs nothing per completion.
type recent struct {
	current, previous map[uint64]time.Time
	turned            time.Time
}

func (r *recent) add(now time.Time, fingerprint uint64, grace time.Duration, limit int) {
	if r.current == nil || now.Sub(r.turned) >= grace {
		r.previous, r.current = r.current, make(map[uint64]time.Time)
		r.turned = now
	}
	if _, known := r.current[fingerprint]; known || len(r.current) < limit {
		r.current[fingerprint] = now
	}
}

// within reports whether the fingerprint completed within one grace period
// before the time.
func (r *recent) within(at time.Time, fingerprint uint64, grace time.Duration) bool {
	completed, ok := r.current[fingerprint]
	if !ok {
		completed, ok = r.previous[fingerprint]
	}
	return ok && at.Sub(completed) <= grace
}
