package ticketer

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Verdict says what to do with a request that came with a ticket.
type Verdict string

// Verdicts of Begin. Exactly one is given to each request.
const (
	// VerdictRun means that the request must be run now, by this process, and
	// its end reported with Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that the request is running here already.
	VerdictWait Verdict = "wait"
	// VerdictKnown means that the answer is already known.
	VerdictKnown Verdict = "known"
	// VerdictUnknown means that the outcome cannot be known here.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that the request has not run under this ticket and
	// never will.
	VerdictRefused Verdict = "refused"
)

// Answer is the recorded end of a request.
type Answer struct {
	Outcome peerpb.Outcome
	Result  []byte
	// ResultDropped means that the result was not kept, for lack of room.
	ResultDropped bool
}

// Decision is the verdict on one request, with the answer if it is known.
type Decision struct {
	Verdict Verdict
	Answer  Answer
}

// Handed is a finished answer that a stopping issuer hands to a live peer.
type Handed struct {
	Node        string
	Incarnation uint64
	ID          uint64
	Fingerprint Fingerprint
	// Remaining is the time for which the answer is still kept.
	Remaining time.Duration
	Answer    Answer
}
