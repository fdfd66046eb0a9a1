// Package informer shares between the entry VMs of a failure domain what one of
// them reads from the platform's store, and how sub-requests to targets end.
//
// Each call to the store is paid for, and many VMs ask each target rarely. So
// one VM of the domain reads from the store and answers the others. A VM that
// gets no answer reads for itself.
package informer

import (
	"time"

	"jackdawcart.org/core/placer"
)

// Config holds the constants of sharing.
type Config struct {
	// Wait is how long an answer waits for a change of the store. Evidence is
	// exchanged that often.
	Wait time.Duration
	// Answer is how much longer an answer may take before the VM that owes it is
	// taken for lost.
	Answer time.Duration
	// Dial bounds the opening of a connection within a failure domain.
	Dial time.Duration
	// Avoid is the pause before a VM that did not answer is asked again.
	Avoid time.Duration
	// Fresh is the age of the last answer of the store up to which a VM answers
	// others: the pause between renewals while it reads, and a call's timeout.
	Fresh time.Duration
	// Relying is how long a VM that has asked is expected to ask again: longer
	// than it avoids a VM that did not answer.
	Relying time.Duration
	// MaxItems bounds the changes that are kept for VMs that ask late.
	MaxItems int
	// MaxBatches bounds the evidence that is kept for them.
	MaxBatches int
	// MaxFrame bounds a message in bytes.
	MaxFrame int
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		Wait:    250 * time.Millisecond,
		Answer:  300 * time.Millisecond,
		Dial:    200 * time.Millisecond,
		Avoid:   2 * time.Second,
		Fresh:   1700 * time.Millisecond,
		Relying: 10 * time.Second,
		// A reshard registers a few hundred targets at once.
		MaxItems: 1000,
		// VMs ask each quarter of a second, so this covers some rounds of 64.
		MaxBatches: 256,
		MaxFrame:   8 << 20,
	}
}

// Judging gives the evidence of the own process and takes that of others.
type Judging interface {
	TakeEvidence() []placer.Evidence
	MergeEvidence(now time.Time, evidence []placer.Evidence)
}
