package claimer

import (
	"context"
	"fmt"
	"sync"

	"jackdawcart.org/core/messenger/peerpb"
)

// Config holds the identity and the bounds of a claimer.
type Config struct {
	Node string
	// Incarnation must never repeat for a node, so that claims are unique.
	Incarnation uint64
	// MaxOpen bounds the keys that are being claimed, run or settled.
	MaxOpen int
	// MaxResultBytes bounds a result written to the store.
	MaxResultBytes int
}

// Claimer claims keys for one incarnation of a node. It is safe for concurrent
// use and holds no lock during a call to the store.
type Claimer struct {
	config    Config
	store     Store
	mu        sync.Mutex
	lastClaim uint64
	open      map[string]*attempt
}

type phase uint8

const (
	// phaseClaiming lasts until the claim is known to be written, or given up.
	phaseClaiming phase = iota
	phaseRunning
	// phaseSettling means that the record is final but not known to be written.
	phaseSettling
)

type attempt struct {
	key      string
	phase    phase
	record   Record
	revision uint64
	// exists means that the key was seen to exist but could not be read.
	exists bool
}

// New returns a claimer without open keys.
func New(config Config, store Store) *Claimer {
	return &Claimer{config: config, store: store, open: make(map[string]*attempt)}
}

// Open returns the number of keys that are being claimed, run or settled.
func (c *Claimer) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Begin claims the key for one attempt and decides on it. After VerdictRun the
// process must call Finish exactly once.
func (c *Claimer) Begin(ctx context.Context, caller, key string, request Fingerprint) Decision {
	a, decision := c.admit(StoreKey(caller, key), request)
	if a == nil {
		return decision
	}
	revision, err := c.store.Put(ctx, a.key, a.record.encode(), 0)
	if err == nil {
		return c.run(a, revision)
	}
	if isKind(err, KindUnreachable) {
		c.drop(a)
		return Decision{Verdict: VerdictRefused, Cause: err, AttemptOnly: true}
	}
	entry, readErr := c.store.Get(ctx, a.key)
	if readErr != nil {
		return c.abandon(a, err, readErr)
	}
	return c.readBack(a, entry, request)
}

// Finish records the end of a request that Begin told to run. An error means
// that the record is not known to be written yet: Settle completes it, and the
// outcome given to the caller does not change. A claim whose outcome is
// unknown stays claimed.
func (c *Claimer) Finish(ctx context.Context, key string, outcome peerpb.Outcome, result []byte) error {
	a := c.finish(key, outcome, result)
	if a == nil {
		return &Error{Op: "finish", Kind: KindNotRunning}
	}
	if outcome == peerpb.Outcome_OUTCOME_UNKNOWN {
		return nil
	}
	return c.write(ctx, a, a.revision)
}

// Settle tries once to write the end of each claim that is final but not known
// to be written, and returns the number that remain.
func (c *Claimer) Settle(ctx context.Context) int {
	remaining := 0
	for _, a := range c.settling() {
		if c.settle(ctx, a) != nil {
			remaining++
		}
	}
	return remaining
}

// admit opens the key for a new attempt, or decides without the store.
func (c *Claimer) admit(key string, request Fingerprint) (*attempt, Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.open[key]; a != nil {
		return nil, a.decide(request)
	}
	if len(c.open) >= c.config.MaxOpen {
		return nil, Decision{Verdict: VerdictRefused, AttemptOnly: true}
	}
	c.lastClaim++
	a := &attempt{key: key, record: Record{
		State:       StateClaimed,
		Node:        c.config.Node,
		Incarnation: c.config.Incarnation,
		Claim:       fmt.Sprintf("%s/%d/%d", c.config.Node, c.config.Incarnation, c.lastClaim),
		Fingerprint: request[:],
	}}
	c.open[key] = a
	return a, Decision{}
}

// decide returns the verdict on a further attempt in the same process.
func (a *attempt) decide(request Fingerprint) Decision {
	if a.exists {
		return Decision{Verdict: VerdictUnknown}
	}
	d := a.record.decide(request)
	if d.Verdict == VerdictHeld {
		return Decision{Verdict: VerdictWait}
	}
	// Until the record is known to be written, another process may still claim
	// the key for this request.
	d.AttemptOnly = d.Verdict == VerdictRefused && a.revision == 0
	return d
}

func (c *Claimer) run(a *attempt, revision uint64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.phase = phaseRunning
	a.revision = revision
	return Decision{Verdict: VerdictRun, Key: a.key}
}

// readBack decides on an attempt whose Put was refused or unanswered. A claim
// that is not in the store may still arrive there, so it is not run.
func (c *Claimer) readBack(a *attempt, entry Entry, request Fingerprint) Decision {
	if entry.Revision == 0 {
		return c.abandon(a, ErrAnswerLost, nil)
	}
	record, err := decode(entry.Value)
	if err == nil && record.Claim == a.record.Claim {
		return c.run(a, entry.Revision)
	}
	c.drop(a)
	if err != nil {
		return Decision{Verdict: VerdictUnknown, Cause: err}
	}
	if record.Node == c.config.Node && record.Incarnation == c.config.Incarnation && record.State == StateClaimed {
		// This process finished that claim with an unknown outcome.
		return Decision{Verdict: VerdictUnknown}
	}
	return record.decide(request)
}

// abandon gives up a claim that may have been written. It is settled as not
// run. The outcome is unknown if the key was seen to exist, because another
// attempt may have run.
func (c *Claimer) abandon(a *attempt, putErr, readErr error) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.phase = phaseSettling
	a.record.State = StateNotRun
	if isKind(putErr, KindConflict) {
		a.exists = true
		return Decision{Verdict: VerdictUnknown, Cause: readErr}
	}
	return Decision{Verdict: VerdictRefused, Cause: putErr, AttemptOnly: true}
}

// drop closes the key, unless a concurrent call has closed it before and a
// further attempt has opened it again.
func (c *Claimer) drop(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[a.key] == a {
		delete(c.open, a.key)
	}
}

func (c *Claimer) finish(key string, outcome peerpb.Outcome, result []byte) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.open[key]
	if a == nil || a.phase != phaseRunning {
		return nil
	}
	a.phase = phaseSettling
	switch outcome {
	case peerpb.Outcome_OUTCOME_RAN:
		a.record.State = StateDone
		a.record.ResultDropped = len(result) > c.config.MaxResultBytes
		if !a.record.ResultDropped {
			a.record.Result = result
		}
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		a.record.State = StateNotRun
	default:
		delete(c.open, key)
	}
	return a
}

func (c *Claimer) settling() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var attempts []*attempt
	for _, a := range c.open {
		if a.phase == phaseSettling {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// settle reads the key and writes the final record over this attempt's claim,
// or in place of a claim that has not arrived, which can then never arrive.
func (c *Claimer) settle(ctx context.Context, a *attempt) error {
	entry, err := c.store.Get(ctx, a.key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		record, err := decode(entry.Value)
		if err != nil || record.Claim != a.record.Claim || record.State != StateClaimed {
			c.drop(a)
			return nil
		}
	}
	return c.write(ctx, a, entry.Revision)
}

func (c *Claimer) write(ctx context.Context, a *attempt, expected uint64) error {
	if _, err := c.store.Put(ctx, a.key, a.record.encode(), expected); err != nil {
		return &Error{Op: "write", Kind: KindAnswerLost, Err: err}
	}
	c.drop(a)
	return nil
}
