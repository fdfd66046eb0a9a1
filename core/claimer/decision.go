package claimer

import "bytes"

// Verdict says what to do with a request that came with an idempotency key.
type Verdict string

// Verdicts of Begin. Exactly one is given to each attempt.
const (
	// VerdictRun means that the request must be run now, by this process, and
	// its end reported with Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that another attempt in this process has the key; its
	// answer is also the answer to this one.
	VerdictWait Verdict = "wait"
	// VerdictHeld means that another process has claimed the key. Only that
	// incarnation knows more; if it is gone, the outcome is unknown.
	VerdictHeld Verdict = "held"
	// VerdictKnown means that the request ran and its answer is known.
	VerdictKnown Verdict = "known"
	// VerdictUnknown means that the outcome cannot be known here.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that this attempt has not run and never will.
	VerdictRefused Verdict = "refused"
)

// Decision is the verdict on one attempt.
type Decision struct {
	Verdict Verdict
	// Cause is set on a refusal or an unknown outcome that comes from a call
	// to the store.
	Cause error
	// AttemptOnly marks a refusal that speaks of this attempt only: the store
	// could not be asked whether another attempt with the key has run. The
	// caller may repeat the request with the same key, not with a new one.
	AttemptOnly bool
	// Key is the store's key, for Finish.
	Key string
	// Node and Incarnation name the holder of a held key.
	Node        string
	Incarnation uint64
	// Result is the result of a known answer, unless it was too large to keep.
	Result        []byte
	ResultDropped bool
}

// decide returns the verdict of a record on an attempt that did not write it.
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
