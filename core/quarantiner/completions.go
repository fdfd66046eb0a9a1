package quarantiner

import "time"

// completions remembers completed runs for one to two grace periods. It keeps
// two generations of entries and drops a whole generation at a time, which
// avoids work for each expired completion.
type completions struct {
	current, previous map[uint64]time.Time
	rotatedAt         time.Time
}

func (c *completions) add(now time.Time, run Run, grace time.Duration, limit int) {
	if c.current == nil || now.Sub(c.rotatedAt) >= grace {
		c.previous, c.current = c.current, make(map[uint64]time.Time)
		c.rotatedAt = now
	}
	key := run.hash()
	if _, known := c.current[key]; known || len(c.current) < limit {
		c.current[key] = now
	}
}

// within reports whether the run completed no more than one grace period before
// the given time.
func (c *completions) within(at time.Time, run Run, grace time.Duration) bool {
	key := run.hash()
	completedAt, ok := c.current[key]
	if !ok {
		completedAt, ok = c.previous[key]
	}
	return ok && at.Sub(completedAt) <= grace
}
