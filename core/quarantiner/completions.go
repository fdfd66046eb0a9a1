package quarantiner

import "time"

// completions remembers completions for one to two grace periods. It keeps
// two generations of entries and drops a whole generation at a time, which
// avoids work for each expired completion.
type completions struct {
	current, previous map[uint64]time.Time
	rotatedAt         time.Time
}

func (c *completions) add(now time.Time, fingerprint uint64, grace time.Duration, limit int) {
	if c.current == nil || now.Sub(c.rotatedAt) >= grace {
		c.previous, c.current = c.current, make(map[uint64]time.Time)
		c.rotatedAt = now
	}
	if _, known := c.current[fingerprint]; known || len(c.current) < limit {
		c.current[fingerprint] = now
	}
}

// within reports whether the fingerprint completed no more than one grace
// period before the given time.
func (c *completions) within(at time.Time, fingerprint uint64, grace time.Duration) bool {
	completedAt, ok := c.current[fingerprint]
	if !ok {
		completedAt, ok = c.previous[fingerprint]
	}
	return ok && at.Sub(completedAt) <= grace
}
