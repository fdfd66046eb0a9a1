package quarantiner

import "time"

// Config holds the durations and limits of a Quarantiner.
type Config struct {
	// Period is the duration of a quarantine, and the time for which losses
	// and clearances are remembered.
	Period time.Duration
	// Grace is the minimum time between the first loss and the quarantine. It
	// must exceed the time in which a query completes or is retried elsewhere
	// and its clearance reaches the peers.
	Grace time.Duration
	// DuplicateWindow is the time within which loss reports for one target
	// count as one loss, because each owner of the target reports it.
	DuplicateWindow time.Duration
	// MaxSuspects limits the fingerprints with remembered losses or clearances.
	MaxSuspects int
	// MaxEntries limits the quarantined fingerprints, and the clearances that
	// wait to be published.
	MaxEntries int
	// MaxCompletions limits the completions remembered in each grace period.
	MaxCompletions int
	// MaxFingerprintsPerLoss limits the fingerprints taken from one report.
	MaxFingerprintsPerLoss int
}

// DefaultConfig returns the quarantine period that the design specifies, with a
// grace period of several times the latency limit of a query.
func DefaultConfig() Config {
	return Config{
		Period:                 10 * time.Minute,
		Grace:                  time.Second,
		DuplicateWindow:        5 * time.Second,
		MaxSuspects:            4096,
		MaxEntries:             1024,
		MaxCompletions:         32768,
		MaxFingerprintsPerLoss: 256,
	}
}
