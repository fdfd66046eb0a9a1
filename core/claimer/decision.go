package claimer

import "bytes"

// Verdict says how to handle a request with an idempotency key.
type Verdict string

// Verdicts of Begin. Each attempt gets exactly one.
const (
	// VerdictRun means that this process must run the request now and report
	// the outcome with Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that another attempt in this process has the key open;
	// its answer also answers this attempt.
	VerdictWait Verdict = "wait"
	// VerdictHeld means that another process has claimed the key. Only that
	// incarnation can report the outcome; if it has ended, the outcome is
	// unknown.
	VerdictHeld Verdict = "held"
	// VerdictKnown means that the request ran and its answer is known.
	VerdictKnown Verdict = "known"
	// VerdictUnknown means that the outcome cannot be determined by this
	// process.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that this attempt has not run and never will.
	VerdictRefused Verdict = "refused"
)

// Decision is the verdict on one attempt.
type Decision struct {
	Verdict Verdict
	// Cause is the store error that led to a refusal or an unknown outcome.
	Cause error
	// AttemptOnly marks a refusal that is valid for this attempt only, because
	// the store did not say whether another attempt with the key has run. The
	// caller may repeat the request with the same key but not with a new one.
	AttemptOnly bool
	// Key is the key in the store, to be passed to Finish.
	Key string
	// Node and Incarnation identify the process that holds the claim.
	Node        string
	Incarnation uint64
	// Result is the recorded result, unless ResultDropped says that it was too
	// large to store.
	Result        []byte
	ResultDropped bool
}

// decide returns the decision on an attempt that found the record of another
// attempt under its key.
func (r Record) decide(request Fingerprint) Decision {
	switch {
	case !bytes.Equal(r.Fingerprint, request[:]):
		return Decision{Verdict: VerdictRefused}
	case r.State == StateDone:
		return Decision{Verdict: VerdictKnown, Result: r.Result, ResultDropped: r.ResultDropped}
	case r.State == StateNotRun:
		return Decision{Verdict: VerdictRefused}
	}
	return Decision{Verdict: VerdictHeld, Node: r.Node, Incarnation: r.Incarnation}
}
