package merger

// Coverage adds up the weight of shards that answered and of all shards.
type Coverage struct {
	answered, total uint64
}

// Add counts a shard of the pinned snapshot's map.
func (c *Coverage) Add(weight uint64, answered bool) {
	c.total += weight
	if answered {
		c.answered += weight
	}
}

// Join adds the shards of another service.
func (c *Coverage) Join(other Coverage) {
	c.answered += other.answered
	c.total += other.total
}

// Share returns the answered share of the weight, 0 for an unknown shard map.
func (c Coverage) Share() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.answered) / float64(c.total)
}

// Complete reports whether a known shard map was answered in full.
func (c Coverage) Complete() bool { return c.total > 0 && c.answered == c.total }
