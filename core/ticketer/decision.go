package ticketer

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// Verdict says how to handle a request with a ticket.
type Verdict string

// Verdicts of Begin. Each request gets exactly one.
const (
	// VerdictRun means that this process must run the request now and report
	// the outcome with Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that the request is already running in this process.
	VerdictWait Verdict = "wait"
	// VerdictKnown means that the request has ended and its answer is known.
	VerdictKnown Verdict = "known"
	// VerdictUnknown means that the outcome cannot be determined by this
	// process.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that the request has not run under this ticket and
	// never will.
	VerdictRefused Verdict = "refused"
)

// Answer is the recorded outcome of a request.
type Answer struct {
	Outcome peerpb.Outcome
	Result  []byte
	// ResultDropped means that the result exceeded the remaining
	// Config.MaxResultBytes and was not stored.
	ResultDropped bool
}

// Decision is the verdict on one request, with the answer if it is known.
type Decision struct {
	Verdict Verdict
	Answer  Answer
}

// HandedAnswer is a finished answer that a stopping issuer hands over to a live peer.
type HandedAnswer struct {
	Node        string
	Incarnation uint64
	ID          uint64
	Fingerprint Fingerprint
	// Remaining is the time until the answer is removed.
	Remaining time.Duration
	Answer    Answer
}
