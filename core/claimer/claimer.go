package claimer

import (
	"context"
	"fmt"
	"sync"

	"jackdawcart.org/core/messenger/peerpb"
)

// Config holds the identity and the limits of a Claimer.
type Config struct {
	Node string
	// Incarnation must be different for each start of a node, so that claims
	// are unique.
	Incarnation uint64
	// MaxOpen limits the keys that are being claimed, run or settled.
	MaxOpen int
	// MaxResultBytes limits the size of a result written to the store.
	MaxResultBytes int
}

// Claimer claims keys for one incarnation of a node. It is safe for concurrent
// use and holds no lock during store calls.
type Claimer struct {
	config    Config
	store     Store
	mu        sync.Mutex
	lastClaim uint64
	open      map[string]*attempt
}

type phase uint8

const (
	// phaseClaiming lasts until the claim is confirmed or abandoned.
	phaseClaiming phase = iota
	phaseRunning
	// phaseSettling means that the record is final but its write is not
	// confirmed.
	phaseSettling
)

type attempt struct {
	key      string
	phase    phase
	record   Record
	revision uint64
	// keyExists means that Put found an existing key that could not be read.
	keyExists bool
}

// New returns a Claimer without open keys.
func New(config Config, store Store) *Claimer {
	return &Claimer{config: config, store: store, open: make(map[string]*attempt)}
}

// Open returns the number of keys that are being claimed, run or settled.
func (c *Claimer) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Begin claims the key for one attempt and returns the decision. After
// VerdictRun the process must call Finish exactly once.
func (c *Claimer) Begin(ctx context.Context, caller, key string, request Fingerprint) Decision {
	a, decision := c.admit(StoreKey(caller, key), request)
	if a == nil {
		return decision
	}
	revision, err := c.store.Put(ctx, a.key, a.record.encode(), 0)
	if err == nil {
		return c.startRun(a, revision)
	}
	if isKind(err, KindUnreachable) {
		c.closeKey(a)
		return Decision{Verdict: VerdictRefused, Cause: err, AttemptOnly: true}
	}
	entry, readErr := c.store.Get(ctx, a.key)
	if readErr != nil {
		return c.abandon(a, err, readErr)
	}
	return c.readBack(a, entry, request)
}

// Finish records the outcome of a request for which Begin returned VerdictRun.
// After an error the write of the record is unconfirmed: Settle completes it,
// and the outcome returned to the caller does not change. A claim whose outcome
// is unknown stays in the claimed state.
func (c *Claimer) Finish(ctx context.Context, key string, outcome peerpb.Outcome, result []byte) error {
	a := c.setOutcome(key, outcome, result)
	if a == nil {
		return &Error{Op: "finish", Kind: KindNotRunning}
	}
	if outcome == peerpb.Outcome_OUTCOME_UNKNOWN {
		return nil
	}
	return c.write(ctx, a, a.revision)
}

// Settle tries once to write each final record whose write is not confirmed, and
// returns the number of records that remain.
func (c *Claimer) Settle(ctx context.Context) int {
	remaining := 0
	for _, a := range c.settlingAttempts() {
		if c.settle(ctx, a) != nil {
			remaining++
		}
	}
	return remaining
}

// admit opens the key for a new attempt. If the key is open already or MaxOpen
// is reached, it returns a decision instead, without a store call.
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

// decide returns the decision on another attempt with the key in this process.
func (a *attempt) decide(request Fingerprint) Decision {
	if a.keyExists {
		return Decision{Verdict: VerdictUnknown}
	}
	d := a.record.decide(request)
	if d.Verdict == VerdictHeld {
		return Decision{Verdict: VerdictWait}
	}
	// Until the write of the record is confirmed, another process may still
	// claim the key for this request.
	d.AttemptOnly = d.Verdict == VerdictRefused && a.revision == 0
	return d
}

func (c *Claimer) startRun(a *attempt, revision uint64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.phase = phaseRunning
	a.revision = revision
	return Decision{Verdict: VerdictRun, Key: a.key}
}

// readBack decides on an attempt whose Put had a conflict or no answer. A
// claim that is not in the store may still be written later, so it is not run.
func (c *Claimer) readBack(a *attempt, entry Entry, request Fingerprint) Decision {
	if entry.Revision == 0 {
		return c.abandon(a, ErrAnswerLost, nil)
	}
	record, err := decode(entry.Value)
	if err == nil && record.Claim == a.record.Claim {
		return c.startRun(a, entry.Revision)
	}
	c.closeKey(a)
	if err != nil {
		return Decision{Verdict: VerdictUnknown, Cause: err}
	}
	if record.Node == c.config.Node && record.Incarnation == c.config.Incarnation && record.State == StateClaimed {
		// This process finished the earlier claim with an unknown outcome.
		return Decision{Verdict: VerdictUnknown}
	}
	return record.decide(request)
}

// abandon gives up an attempt whose claim may have been written. Settle later
// records the claim as not run. The outcome is unknown if Put found an existing
// key, because another attempt may have run.
func (c *Claimer) abandon(a *attempt, putErr, readErr error) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.phase = phaseSettling
	a.record.State = StateNotRun
	if isKind(putErr, KindConflict) {
		a.keyExists = true
		return Decision{Verdict: VerdictUnknown, Cause: readErr}
	}
	return Decision{Verdict: VerdictRefused, Cause: putErr, AttemptOnly: true}
}

// closeKey closes the key, unless a concurrent call has closed it and a later
// attempt has opened it again.
func (c *Claimer) closeKey(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[a.key] == a {
		delete(c.open, a.key)
	}
}

func (c *Claimer) setOutcome(key string, outcome peerpb.Outcome, result []byte) *attempt {
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

func (c *Claimer) settlingAttempts() []*attempt {
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

// settle reads the key and writes the final record over this attempt's claim. If
// the key doesn't exist, the final record creates it, so that a delayed claim
// fails its compare-and-swap.
func (c *Claimer) settle(ctx context.Context, a *attempt) error {
	entry, err := c.store.Get(ctx, a.key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		record, err := decode(entry.Value)
		if err != nil || record.Claim != a.record.Claim || record.State != StateClaimed {
			c.closeKey(a)
			return nil
		}
	}
	return c.write(ctx, a, entry.Revision)
}

func (c *Claimer) write(ctx context.Context, a *attempt, expectedRevision uint64) error {
	if _, err := c.store.Put(ctx, a.key, a.record.encode(), expectedRevision); err != nil {
		return &Error{Op: "write", Kind: KindAnswerLost, Err: err}
	}
	c.closeKey(a)
	return nil
}
