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

// KeyValueStore is the part of the platform's key-value service that claims use.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (keeper.Entry, error)
	Put(ctx context.Context, write keeper.Write) (keeper.Entry, error)
}

// claimStore implements claimer.Store with the platform's key-value service.
type claimStore struct {
	store KeyValueStore
}

// Get returns the current entry, with revision 0 if the key does not exist.
func (c claimStore) Get(ctx context.Context, key string) (claimer.Entry, error) {
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		if storeErrorKind(err) == keeper.KindNotFound {
			return claimer.Entry{}, nil
		}
		return claimer.Entry{}, toClaimError(err)
	}
	return claimer.Entry{Value: entry.Value, Revision: entry.Revision}, nil
}

// Put writes the value if the key has the expected revision.
func (c claimStore) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	entry, err := c.store.Put(ctx, keeper.Write{Key: key, Value: value, Expected: expected})
	if err != nil {
		return 0, toClaimError(err)
	}
	return entry.Revision, nil
}

func storeErrorKind(err error) keeper.Kind {
	var failure *keeper.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return keeper.KindUnknownOutcome
}

// toClaimError maps a store error to an error of the claimer. A call whose
// outcome is unknown counts as a lost answer.
func toClaimError(err error) error {
	switch storeErrorKind(err) {
	case keeper.KindConflict:
		return claimer.ErrConflict
	case keeper.KindUnreachable:
		return claimer.ErrUnreachable
	default:
		return claimer.ErrAnswerLost
	}
}

// ExecuteKey runs a request with an idempotency key, which it claims in the
// platform's store. If the key has already been used, it returns the recorded
// answer or an unknown outcome.
func (i *Issuer) ExecuteKey(ctx context.Context, key string, request Request) (*peerpb.ExecuteAnswer, error) {
	e := request.Execute
	fingerprint := claimer.Fingerprint(ticketer.FingerprintOf(e.Service, e.Operation, e.Payload))
	delay := heldKeyInitialDelay
	for {
		claimCtx, cancel := context.WithDeadline(ctx, request.Deadline)
		decision := i.claimer.Begin(claimCtx, request.Caller, key, fingerprint)
		cancel()
		switch decision.Verdict {
		case claimer.VerdictRun:
			return i.runKey(ctx, decision.Key, request), nil
		case claimer.VerdictWait:
			if !waitFor(ctx, i.keyDone(claimer.StoreKey(request.Caller, key))) {
				return unknownAnswer(key), nil
			}
		case claimer.VerdictKnown:
			return knownAnswer(decision.Key, ticketer.Answer{
				Outcome: peerpb.Outcome_OUTCOME_RAN, Result: decision.Result, ResultDropped: decision.ResultDropped,
			})
		case claimer.VerdictRefused:
			return nil, keyRefusalError(decision)
		case claimer.VerdictHeld:
			if !i.holderAlive(decision) || !i.backOff(ctx, delay, request) {
				return unknownAnswer(decision.Key), nil
			}
			delay *= 2
		default:
			return unknownAnswer(decision.Key), nil
		}
	}
}

// holderAlive reports whether the process that holds a key may still write the
// outcome to the store.
func (i *Issuer) holderAlive(decision claimer.Decision) bool {
	incarnation, _, ok := i.config.Directory.Gateway(decision.Node)
	return ok && incarnation <= decision.Incarnation
}

// backOff waits before the next store call. It reports false if the delay would
// exceed the deadline of the request, or the context ends.
func (i *Issuer) backOff(ctx context.Context, delay time.Duration, request Request) bool {
	if i.config.Timers.Now().Add(delay).After(request.Deadline) {
		return false
	}
	return i.config.Timers.Sleep(ctx, delay)
}

// runKey runs a request whose key this process has claimed and finishes the
// claim, even if the caller disconnects.
func (i *Issuer) runKey(ctx context.Context, key string, request Request) *peerpb.ExecuteAnswer {
	done := make(chan struct{})
	i.mu.Lock()
	i.keyRuns[key] = done
	i.running.Add(1)
	i.mu.Unlock()
	defer i.running.Done()
	ctx = context.WithoutCancel(ctx)
	request.Execute.RequestId = key
	result := i.config.Runner.Run(ctx, request.Caller, request.Deadline, request.Execute)
	if err := i.claimer.Finish(ctx, key, result.Outcome, result.Output); err != nil {
		i.config.Log.Warn("claim outcome not written yet", zap.String("key", key), zap.Error(err))
	}
	i.mu.Lock()
	delete(i.keyRuns, key)
	i.mu.Unlock()
	close(done)
	return &peerpb.ExecuteAnswer{RequestId: key, Outcome: result.Outcome, Failure: result.Failure, Result: result.Output}
}

// keyDone returns a channel that is closed when the run of a key ends. While the
// key is still being claimed there is no run, and the channel is closed after
// claimPollInterval.
func (i *Issuer) keyDone(key string) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if done, ok := i.keyRuns[key]; ok {
		return done
	}
	wait := i.config.Timers.After(claimPollInterval)
	done := make(chan struct{})
	go func() {
		<-wait.C
		wait.Stop()
		close(done)
	}()
	return done
}

func keyRefusalError(decision claimer.Decision) error {
	code, message := callerapi.ErrorCodeFailed, "the key was used for a request that was not run; use a new key"
	if decision.AttemptOnly {
		code, message = callerapi.ErrorCodeStoreUnreachable, "the platform's store cannot be asked about the key; repeat with the same key"
	}
	return &Error{Op: "execute", Kind: code, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Message: message}
}
