package quarantiner

import "time"

// Config holds the times and bounds of a quarantiner.
type Config struct {
	// Period is the length of a quarantine. Losses and clearances are
	// remembered for as long.
	Period time.Duration
	// Grace is the least time between the first loss and the quarantine. It
	// must exceed the time in which a query completes or is retried elsewhere
	// and the news of it reaches the peers.
	Grace time.Duration
	// SameLoss is the time within which reports of one target are taken as one
	// loss: each of its owners reports it.
	SameLoss time.Duration
	// MaxSuspects bounds the fingerprints with remembered losses.
	MaxSuspects int
	// MaxEntries bounds the quarantined fingerprints.
	MaxEntries int
	// MaxRecent bounds the remembered completions of each grace period.
	MaxRecent int
	// MaxPerLoss bounds the fingerprints taken from one report.
	MaxPerLoss int
}

// DefaultConfig returns the period of the design, with a grace period of
// several times the bound on the latency of a query.
func DefaultConfig() Config {
	return Config{
		Period:      10 * time.Minute,
		Grace:       time.Second,
		SameLoss:    5 * time.Second,
		MaxSuspects: 4096,
		MaxEntries:  1024,
		MaxRecent:   32768,
		MaxPerLoss:  256,
	}
}
