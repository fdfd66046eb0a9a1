package registrar

import "time"

// Census counts processes that announce themselves under leases. One that is
// missing counts for a while, as leases also lapse while the store is down, and
// a count that is too low makes everybody use more than their share.
type Census struct {
	hold  time.Duration
	names map[string]time.Time
}

// NewCensus returns an empty census that counts missing names for the given time.
func NewCensus(hold time.Duration) *Census {
	return &Census{hold: hold, names: make(map[string]time.Time)}
}

// Present takes the news that a name is announced.
func (c *Census) Present(name string) { c.names[name] = time.Time{} }

// Missing takes the news that a name is not announced any more.
func (c *Census) Missing(now time.Time, name string) {
	if gone, ok := c.names[name]; ok && gone.IsZero() {
		c.names[name] = now
	}
}

// Replace takes a full reading of the names.
func (c *Census) Replace(now time.Time, names []string) {
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
		c.Present(name)
	}
	for name := range c.names {
		if !present[name] {
			c.Missing(now, name)
		}
	}
}

// Count returns the number of names that are announced or were a moment ago.
func (c *Census) Count(now time.Time) int {
	for name, gone := range c.names {
		if !gone.IsZero() && now.Sub(gone) >= c.hold {
			delete(c.names, name)
		}
	}
	return len(c.names)
}
