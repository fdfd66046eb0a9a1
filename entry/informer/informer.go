// Package informer shares changes of the platform's store and evidence about
// targets between the entry VMs of a failure domain.
//
// Each call to the store is paid for, so one VM of the domain reads from the store
// and the others poll it. A VM that gets no answer reads from the store itself.
// Each of the many VMs sends few requests to a target, so they also exchange how
// their sub-requests ended, and which requests were in flight at lost targets.
package informer

import (
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/sharer"
)

// Config holds the timeouts and limits of the exchange between VMs.
type Config struct {
	// Wait is how long a request waits for a change of the store, and also the
	// interval at which evidence is exchanged.
	Wait time.Duration
	// AnswerMargin is how long after Wait an answer may arrive before the polled VM
	// counts as lost.
	AnswerMargin time.Duration
	// DialTimeout bounds opening a connection within the failure domain.
	DialTimeout time.Duration
	// MaxPollTime is the time after which no further VM is polled, and this VM reads from the
	// store itself. A VM that is cut off from the others would wait for each of them.
	MaxPollTime time.Duration
	// RetryDelay is the pause before a VM that did not answer is polled again.
	RetryDelay time.Duration
	// NotReadingDelay is the same for a VM that answers that it does not read from the store,
	// and in the first StartTime of this process for one that cannot be reached.
	NotReadingDelay, StartTime time.Duration
	// MaxStoreAge is the maximum age of the store's last answer at which a VM still
	// answers others. It covers the interval between lease renewals of a reading VM
	// and the timeout of a call.
	MaxStoreAge time.Duration
	// ClientTimeout is how long after its last request a polling VM counts as a
	// client. It is longer than RetryDelay, so that a client that retries stays one.
	ClientTimeout time.Duration
	// MaxItems bounds the changes that are kept for VMs that lag behind.
	MaxItems int
	// MaxHistoryBytes bounds the same changes by their size.
	MaxHistoryBytes int
	// MaxBatches and MaxEvidence bound the batches of evidence that are kept for VMs that
	// lag behind, and the pieces of evidence in them.
	MaxBatches, MaxEvidence int
	// MaxLargeAnswers bounds the large answers that are written at a time, each of which is
	// encoded in memory.
	MaxLargeAnswers int
	// MaxMessageBytes bounds the size of an answer, MaxRequestBytes that of a request, which
	// has no changes of the store.
	MaxMessageBytes, MaxRequestBytes int
	// Rejected is called with the kind of each invalid part of a message. It may be nil.
	Rejected func(kind string)
	// MaxContentBytes bounds the copy of the store's content that is kept for VMs that need
	// all of it. A VM that would exceed it keeps none.
	MaxContentBytes int
	// MaxPieceBytes is the size from which a piece of the content takes no further item, and
	// MaxPieces the number of pieces that are sent at once.
	MaxPieceBytes, MaxPieces int
}

// minHistoryBytes is twice the largest value of the store, so that a VM that is one version of
// a configuration behind is always served.
const minHistoryBytes = 2 << 20

// historyShare is the share of a VM's memory for the changes that it keeps for others. An
// answer with all of them is encoded MaxLargeAnswers times at most.
const historyShare = 1.0 / 64

// SetMemory derives the bounds from the memory of the VM in bytes.
func (c *Config) SetMemory(bytes int64) {
	c.MaxHistoryBytes = max(int(historyShare*float64(bytes)), minHistoryBytes)
}

// DefaultConfig returns the constants used in production, with the bounds for the least
// memory.
func DefaultConfig() Config {
	return Config{
		Wait:         250 * time.Millisecond,
		AnswerMargin: 300 * time.Millisecond,
		DialTimeout:  200 * time.Millisecond,
		MaxPollTime:  400 * time.Millisecond,
		RetryDelay:   2 * time.Second,
		// The next VM takes over within this time.
		NotReadingDelay: 300 * time.Millisecond,
		// VMs that restart together are up within this time.
		StartTime: 3 * time.Second,

		MaxStoreAge:   1700 * time.Millisecond,
		ClientTimeout: 10 * time.Second,
		// A reshard registers a few hundred targets at once.
		MaxItems:        1000,
		MaxHistoryBytes: minHistoryBytes,
		// VMs poll every quarter of a second, so this covers a few rounds of 64 VMs.
		MaxBatches: 256,
		// About 3 MB: 100 rounds of a VM that sends to all of 160 targets.
		MaxEvidence:     16 << 10,
		MaxLargeAnswers: 4,
		MaxMessageBytes: 8 << 20,
		// Four times the content of the largest deployment, and 3% of the smallest machine.
		MaxContentBytes: 4 << 20,
		// A piece is encoded in a copy of its size.
		MaxPieceBytes:   256 << 10,
		MaxPieces:       4,
		MaxRequestBytes: 1 << 20,
	}
}

// ReportTracker holds the reports of this process about requests that crash targets, and
// merges those of others.
type ReportTracker interface {
	// Unpublished returns the reports that are not yet in the store.
	Unpublished() []quarantiner.Report
	MergeReports(now time.Time, reports []quarantiner.Report)
}

// EvidenceTracker returns the evidence of this process and merges that of others.
type EvidenceTracker interface {
	TakeEvidence() []placer.Evidence
	MergeEvidence(now time.Time, evidence []placer.Evidence)
}

// LoadTracker returns the loads of this process and merges those of others.
type LoadTracker interface {
	TakeLoads() []sharer.IndexLoad
	MergeLoads(now time.Time, loads []sharer.IndexLoad)
}
