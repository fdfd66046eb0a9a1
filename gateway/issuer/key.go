package issuer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/claimer"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
)

// KeyValues is the part of the platform's store that claims need.
type KeyValues interface {
	Get(ctx context.Context, key string) (keeper.Entry, error)
	Put(ctx context.Context, write keeper.Write) (keeper.Entry, error)
}

// claims adapts the platform's store to what the claimer expects.
type claims struct {
	store KeyValues
}

// Get returns the current entry, with revision 0 if the key does not exist.
func (c claims) Get(ctx context.Context, key string) (claimer.Entry, error) {
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		if kindOf(err) == keeper.KindNotFound {
			return claimer.Entry{}, nil
		}
		return claimer.Entry{}, claimError(err)
	}
	return claimer.Entry{Value: entry.Value, Revision: entry.Revision}, nil
}

// Put writes the value if the key has the expected revision.
func (c claims) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	entry, err := c.store.Put(ctx, keeper.Write{Key: key, Value: value, Expected: expected})
	if err != nil {
		return 0, claimError(err)
	}
	return entry.Revision, nil
}

func kindOf(err error) keeper.Kind {
	var failure *keeper.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return keeper.KindUnknownOutcome
}

// claimError keeps only what matters for a claim: a call whose effect is not
// known counts as an answer that was lost.
func claimError(err error) error {
	switch kindOf(err) {
	case keeper.KindConflict:
		return claimer.ErrConflict
	case keeper.KindUnreachable:
		return claimer.ErrUnreachable
	default:
		return claimer.ErrAnswerLost
	}
}

// ExecuteKey runs a request under an idempotency key that is claimed in the
// platform's store, or returns what is known of it.
func (i *Issuer) ExecuteKey(ctx context.Context, key string, request Request) (*peerpb.ExecuteAnswer, error) {
	e := request.Execute
	fingerprint := claimer.Fingerprint(ticketer.FingerprintOf(e.Service, e.Operation, e.Payload))
	delay := heldPoll
	for {
		claim, cancel := context.WithDeadline(ctx, request.Deadline)
		decision := i.claimer.Begin(claim, request.Caller, key, fingerprint)
		cancel()
		switch decision.Verdict {
		case claimer.VerdictRun:
			return i.runKey(ctx, decision.Key, request), nil
		case claimer.VerdictWait:
			if !waitFor(ctx, i.keyDone(claimer.StoreKey(request.Caller, key))) {
				return unknown(key), nil
			}
		case claimer.VerdictKnown:
			return known(decision.Key, ticketer.Answer{
				Outcome: peerpb.Outcome_OUTCOME_RAN, Result: decision.Result, ResultDropped: decision.ResultDropped,
			})
		case claimer.VerdictRefused:
			return nil, keyRefused(decision)
		case claimer.VerdictHeld:
			if !i.holderLives(decision) || !i.pause(ctx, delay, request) {
				return unknown(decision.Key), nil
			}
			delay *= 2
		default:
			return unknown(decision.Key), nil
		}
	}
}

// holderLives reports whether the process that holds a key can still write its
// end to the store.
func (i *Issuer) holderLives(decision claimer.Decision) bool {
	incarnation, _, ok := i.config.Directory.Gateway(decision.Node)
	return ok && incarnation <= decision.Incarnation
}

// pause waits before the store is asked again. It reports false when the
// request has no time left for that.
func (i *Issuer) pause(ctx context.Context, delay time.Duration, request Request) bool {
	if i.config.Timers.Now().Add(delay).After(request.Deadline) {
		return false
	}
	wait := i.config.Timers.After(delay)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runKey runs a request whose key this process has claimed, also when its
// caller has gone: the claim must end.
func (i *Issuer) runKey(ctx context.Context, key string, request Request) *peerpb.ExecuteAnswer {
	done := make(chan struct{})
	i.mu.Lock()
	i.keys[key] = done
	i.running.Add(1)
	i.mu.Unlock()
	defer i.running.Done()
	ctx = context.WithoutCancel(ctx)
	request.Execute.RequestId = key
	result := i.config.Runner.Run(ctx, request.Caller, request.Deadline, request.Execute)
	if err := i.claimer.Finish(ctx, key, result.Outcome, result.Output); err != nil {
		i.config.Log.Warn("end of a claim is not written yet", zap.String("key", key), zap.Error(err))
	}
	i.mu.Lock()
	delete(i.keys, key)
	i.mu.Unlock()
	close(done)
	return &peerpb.ExecuteAnswer{RequestId: key, Outcome: result.Outcome, Failure: result.Failure, Result: result.Output}
}

// keyDone returns a channel that is closed when the run of a key has ended; a
// key that is being claimed has none yet and is asked for again at once.
func (i *Issuer) keyDone(key string) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if done, ok := i.keys[key]; ok {
		return done
	}
	wait := i.config.Timers.After(claimPoll)
	done := make(chan struct{})
	go func() {
		<-wait.C
		wait.Stop()
		close(done)
	}()
	return done
}

func keyRefused(decision claimer.Decision) error {
	code, message := callerapi.ErrorCodeFailed, "the key was used for a request that was not run; use a new key"
	if decision.AttemptOnly {
		code, message = callerapi.ErrorCodeStoreUnreachable, "the platform's store cannot be asked about the key; repeat with the same key"
	}
	return &Error{Op: "execute", Kind: code, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Message: message}
}
