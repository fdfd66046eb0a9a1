package merger

// Coverage sums the weight of the shards that answered and of all shards.
type Coverage struct {
	answered, total uint64
}

// Add adds a shard of the shard map of the pinned snapshot.
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

// Share returns the share of the weight that answered, 0 if the shard map is
// unknown.
func (c Coverage) Share() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.answered) / float64(c.total)
}

// Complete reports whether every weighted shard of a known shard map answered.
func (c Coverage) Complete() bool { return c.total > 0 && c.answered == c.total }
