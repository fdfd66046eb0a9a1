package follower

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/platform/storer"
)

// Run keeps the configuration and the registrations current until the context ends:
// it reads all keys, then follows their changes, and reads all keys again if the
// store has dropped changes that it needs.
func (f *Follower) Run(ctx context.Context) {
	defer f.decoding.Wait()
	for f.link.WaitUp(ctx) {
		f.timers.Sleep(ctx, f.callAfter.Sub(f.timers.Now()))
		listing, current, err := f.readAll(ctx)
		if err != nil {
			f.recordFailure(ctx, "read", allKeys, err)
			if f.position != (sequencer.Position{}) {
				// Another VM may have what this one has lost.
				f.watch(ctx, f.position)
			}
			continue
		}
		f.recordSuccess()
		f.noteEra(listing.Position)
		if current || f.position != (sequencer.Position{}) {
			f.replaceAll(listing)
			f.peers.PublishSnapshot(listing.Position)
		} else {
			// The VM would become ready with what may be seconds old.
			f.unconfirmed = &listing
			f.replaceMembers(listing.Items)
		}
		f.watch(ctx, listing.Position)
	}
}

// noteEra records that the store has lost data if a full read is of a later era.
func (f *Follower) noteEra(read sequencer.Position) {
	if f.position != (sequencer.Position{}) && read.Era > f.position.Era {
		f.link.LostData(f.timers.Now())
	}
}

// readAll reads the whole store, and reports whether the listing is as new as the call. It
// accepts an older one, which costs a tenth, unless the changes after it are lost or the
// state of this VM is newer.
func (f *Follower) readAll(ctx context.Context) (listing storer.Listing, current bool, err error) {
	if !f.consistent {
		listing, err = f.store.ListSerializable(ctx, allKeys)
		switch {
		case err == nil && !f.position.After(listing.Position):
			return listing, false, nil
		case err == nil:
			f.log.Info("full read is older than the state, reading again", zap.Uint64("revision", listing.Position.Revision),
				zap.Uint64("known", f.position.Revision))
		case !storer.IsKind(err, storer.KindUnusable):
			return storer.Listing{}, false, err
		}
	}
	listing, err = f.store.List(ctx, allKeys)
	if err == nil {
		f.consistent = false
	}
	return listing, true, err
}

// applyConfirmed applies changes that the store or another VM has sent. The first ones are
// joined with the full read before them, so that nothing that they replace comes in force.
func (f *Follower) applyConfirmed(changes storer.Listing) {
	switch {
	case changes.Snapshot:
		f.unconfirmed = nil
		f.log.Info("everything read from another VM", zap.Uint64("revision", changes.Position.Revision), zap.Uint64("era", changes.Position.Era))
		f.noteEra(changes.Position)
		f.replaceAll(changes)
		return
	case f.unconfirmed == nil:
		f.applyChanges(changes)
		return
	}
	read := *f.unconfirmed
	f.unconfirmed = nil
	f.replaceAll(overlay(read, changes))
}

// applyUnconfirmed applies the first full read if no changes have come in time.
func (f *Follower) applyUnconfirmed() {
	if f.unconfirmed != nil {
		f.applyConfirmed(storer.Listing{Position: f.unconfirmed.Position})
	}
}

// overlay returns a full read with the changes after it.
func overlay(read, changes storer.Listing) storer.Listing {
	latest := make(map[string]storer.Item, len(changes.Items))
	for _, item := range changes.Items {
		latest[item.Key] = item
	}
	listing := storer.Listing{Position: changes.Position}
	for _, item := range read.Items {
		if _, changed := latest[item.Key]; !changed {
			listing.Items = append(listing.Items, item)
		}
	}
	for _, item := range latest {
		if !item.Gone {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing
}

// watchPeers asks the other VMs for changes. While the store is lost, that includes those for
// which this VM usually reads: they have no other VM to follow, and read themselves.
func (f *Follower) watchPeers(ctx context.Context, position sequencer.Position, up bool) (storer.Listing, bool) {
	if up {
		return f.peers.Watch(ctx, position)
	}
	return f.peers.WatchAny(ctx, position)
}

// takeoverDelay returns how long this VM leaves it to others to read from the store.
func (f *Follower) takeoverDelay() time.Duration {
	return min(time.Duration(f.peers.Rank())*f.config.TakeoverDelay, f.config.MaxTakeoverDelay)
}

// watchResult describes how a watch of the store ended.
type watchResult struct {
	err error
	// interrupted means that the store was lost or dropped its history meanwhile.
	interrupted bool
	// timedOut means that no answer came within its bound.
	timedOut bool
}

func (f *Follower) watchStore(ctx context.Context, position sequencer.Position) (storer.Listing, watchResult) {
	upCtx, stop := f.link.WhileUp(ctx)
	defer stop()
	wait := time.Duration(f.watchWait.Load())
	if f.unconfirmed != nil {
		wait = f.config.ConfirmWait
	}
	watchCtx, cancel := context.WithTimeout(upCtx, wait+f.config.AnswerMargin)
	defer cancel()
	listing, err := f.store.Watch(watchCtx, allKeys, position, wait)
	f.log.Debug("watch ended", zap.String("prefix", allKeys), zap.Uint64("after", position.Revision),
		zap.Uint64("revision", listing.Position.Revision), zap.Int("items", len(listing.Items)), zap.Error(err))
	return listing, watchResult{err: err, interrupted: upCtx.Err() != nil, timedOut: watchCtx.Err() != nil}
}

// retryGrowth is the ratio of a pause after a failed call to the one before.
const retryGrowth = 1.5

// recordFailure records a failed call and waits. Until callAfter, only other VMs are asked.
func (f *Follower) recordFailure(ctx context.Context, op, prefix string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.link.Failed() {
		f.log.Warn("store lost", zap.String("op", op), zap.String("prefix", prefix), zap.Error(err))
	}
	pause := min(float64(f.config.RetryDelay)*math.Pow(retryGrowth, float64(f.failures)), float64(f.config.MaxRetryDelay))
	f.failures++
	f.callAfter = f.timers.Now().Add(time.Duration(pause))
	f.timers.Sleep(ctx, f.config.RetryDelay)
}
