package follower

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// Store is the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Watch(ctx context.Context, prefix string, after sequencer.Position, wait time.Duration) (storer.Listing, error)
}

// Peers are the other entry VMs of the failure domain, one of which may read from
// the store for the others.
type Peers interface {
	// Watch returns the changes after a position, and false if no other VM serves
	// them.
	Watch(ctx context.Context, after sequencer.Position) (storer.Listing, bool)
	// PublishSnapshot and PublishChanges offer the others what this VM has read.
	PublishSnapshot(position sequencer.Position)
	PublishChanges(after sequencer.Position, listing storer.Listing)
	// StopPublishing records that another VM reads from the store instead.
	StopPublishing()
}

// Config holds the timeouts and pauses of a follower.
type Config struct {
	// Domain is the own failure domain.
	Domain string

	// WatchWait is how long a watch waits for a change. Each watch is a call that
	// is paid for.
	WatchWait time.Duration
	// AnswerMargin is how long after WatchWait the answer of a watch may arrive.
	AnswerMargin time.Duration
	// BatchDelay is the pause after changes, so that the next watch returns several
	// at once. It applies to a VM that is alone in its failure domain.
	BatchDelay time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	// GracePeriod is how long a target is kept whose registration is missing after an
	// outage of the store.
	GracePeriod time.Duration
	// MemberGracePeriod is how long a missing entry VM still counts.
	MemberGracePeriod time.Duration
}

// batchDelayShare is the share of the time in which a change must be in force that
// BatchDelay may use.
const batchDelayShare = 0.4

// Delays after a watch that missed a change.
const (
	// watchAnswerMargin is five times the slowest answers of a store during trouble.
	watchAnswerMargin = 500 * time.Millisecond
	// rereadTime covers the calls that read the missed changes.
	rereadTime = 300 * time.Millisecond
)

// DefaultConfig returns the production configuration. A change must be in force
// within applyBound, and everything must be current again stabilityWindow after
// trouble at the store. A watch gets no changes while the store drops its history,
// and its answer can be lost, so a watch must end early enough to read the missed
// changes within stabilityWindow.
func DefaultConfig(applyBound, stabilityWindow time.Duration) Config {
	return Config{
		WatchWait:    max(stabilityWindow-watchAnswerMargin-rereadTime, watchAnswerMargin),
		AnswerMargin: watchAnswerMargin,
		BatchDelay:   time.Duration(batchDelayShare * float64(applyBound)),
		RetryDelay:   300 * time.Millisecond,
		// Targets register again within two seconds after the store recovers.
		GracePeriod: 2300 * time.Millisecond,
		// Twice the time to live of an entry VM's lease.
		MemberGracePeriod: 16 * time.Second,
	}
}

// Follower keeps a State current with the store.
type Follower struct {
	config    Config
	store     Store
	link      *supervisor.Link
	peers     Peers
	state     *State
	timers    *timer.Service
	log       *zap.Logger
	listeners Listeners
	memberSet *registrar.MemberSet
	members   []registrar.Member
	// readAt is the position of the last full read, zero before the first one.
	readAt sequencer.Position
	// evacuated holds the failure domains whose targets get no requests.
	evacuated  container.Set[string]
	rejections *logger.Rejections
	// watchWait and batchPause are the current values of Config.WatchWait and BatchDelay.
	watchWait, batchPause atomic.Int64
	decoding              configurations
}

// Listeners are called after each change of the State and of the entry VMs.
type Listeners struct {
	Table    func(*router.Table)
	Target   func(registrar.Event)
	EntryVMs func(members []registrar.Member)
	// Evacuated is called with all failure domains whose targets must get no requests.
	Evacuated func(domains container.Set[string])
	// AllItems is called with everything in the store, ChangedItems with each change.
	AllItems, ChangedItems func(items []storer.Item)
	// Rejected is called with the kind of each entry that is ignored because it is invalid.
	// It may be nil.
	Rejected func(kind string)
}

// New returns a follower that updates state.
func New(config Config, store Store, link *supervisor.Link, peers Peers, state *State, timers *timer.Service, log *zap.Logger,
	listeners Listeners,
) *Follower {
	f := &Follower{
		config: config, store: store, link: link, peers: peers, state: state, timers: timers, log: log, listeners: listeners,
		memberSet: registrar.NewMemberSet(config.MemberGracePeriod), rejections: logger.NewRejections(log, listeners.Rejected),
	}
	f.setDelays(config)
	return f
}

// allKeys is the prefix of all keys. Watching them together costs one call instead
// of one for each prefix.
const allKeys = ""

func (f *Follower) replaceAll(listing storer.Listing) {
	f.applyConfigurations(listing)
	f.replaceEvacuations(listing.Items)
	f.replaceTargets(listing)
	f.replaceMembers(listing.Items)
	f.listeners.AllItems(listing.Items)
}

func (f *Follower) applyChanges(listing storer.Listing) {
	f.applyConfigurations(listing)
	f.applyEvacuations(listing.Items)
	f.applyTargetChanges(listing)
	f.applyMembers(listing.Items)
	f.listeners.ChangedItems(listing.Items)
}

// Run keeps the configuration and the registrations current until the context ends:
// it reads all keys, then follows their changes, and reads all keys again if the
// store has dropped changes that it needs.
func (f *Follower) Run(ctx context.Context) {
	defer f.decoding.Wait()
	for f.link.WaitUp(ctx) {
		listing, err := f.store.List(ctx, allKeys)
		if err != nil {
			f.recordFailure(ctx, "read", allKeys, err)
			continue
		}
		f.recordSuccess()
		if f.readAt != (sequencer.Position{}) && listing.Position.Era > f.readAt.Era {
			f.link.LostData(f.timers.Now())
		}
		f.readAt = listing.Position
		f.replaceAll(listing)
		f.peers.PublishSnapshot(listing.Position)
		f.watch(ctx, listing.Position)
	}
}

// watch follows the changes after a position until the history is lost. A single
// watch without an answer is not yet an outage; the next call decides.
func (f *Follower) watch(ctx context.Context, position sequencer.Position) {
	unanswered := 0
	for ctx.Err() == nil {
		if listing, ok := f.peers.Watch(ctx, position); ok {
			f.peers.StopPublishing()
			unanswered = 0
			position = listing.Position
			f.applyChanges(listing)
			continue
		}
		if up, _ := f.link.State(); !up {
			f.timers.Sleep(ctx, f.config.RetryDelay)
			continue
		}
		listing, result := f.watchStore(ctx, position)
		switch {
		case result.err == nil:
			f.recordSuccess()
			unanswered = 0
			f.peers.PublishChanges(position, listing)
			position = listing.Position
			f.applyChanges(listing)
			if len(listing.Items) > 0 && !mayBeCutOff(listing) {
				f.timers.Sleep(ctx, f.batchDelay())
			}
		case storer.IsKind(result.err, storer.KindHistoryLost):
			f.log.Warn("history lost, reading in full", zap.String("prefix", allKeys), zap.Uint64("revision", position.Revision), zap.Error(result.err))
			f.link.Interrupt()
			return
		case result.interrupted:
		case unanswered == 0 && result.timedOut:
			unanswered++
			f.log.Warn("watch without an answer", zap.Uint64("revision", position.Revision), zap.Error(result.err))
		default:
			f.recordFailure(ctx, "watch", allKeys, result.err)
		}
	}
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
	watchCtx, cancel := context.WithTimeout(upCtx, wait+f.config.AnswerMargin)
	defer cancel()
	listing, err := f.store.Watch(watchCtx, allKeys, position, wait)
	f.log.Debug("watch ended", zap.String("prefix", allKeys), zap.Uint64("after", position.Revision),
		zap.Uint64("revision", listing.Position.Revision), zap.Int("items", len(listing.Items)), zap.Error(err))
	return listing, watchResult{err: err, interrupted: upCtx.Err() != nil, timedOut: watchCtx.Err() != nil}
}

func (f *Follower) recordSuccess() {
	if outage, regained := f.link.Succeeded(f.timers.Now()); regained {
		f.log.Info("store regained", zap.Duration("outage", outage))
	}
}

func (f *Follower) recordFailure(ctx context.Context, op, prefix string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.link.Failed() {
		f.log.Warn("store lost", zap.String("op", op), zap.String("prefix", prefix), zap.Error(err))
	}
	f.timers.Sleep(ctx, f.config.RetryDelay)
}

func (f *Follower) replaceTargets(listing storer.Listing) {
	now := f.timers.Now()
	entries := make([]registrar.Entry, 0, len(listing.Items))
	var unreadable []string
	for _, item := range listing.Items {
		id, ok := decoder.TargetID(item.Key)
		if !ok {
			continue
		}
		if e, ok := f.entry(listing.PositionOf(item), id, item); ok {
			entries = append(entries, e)
		} else {
			unreadable = append(unreadable, id)
		}
	}
	outageEnd := f.link.LongOutageEnd(now, f.config.GracePeriod)
	var events []registrar.Event
	first := f.state.TargetCount() == 0
	f.state.updateRegistry(func(r *registrar.Registry) {
		events = r.Replace(now, entries, listing.Position, outageEnd, unreadable...)
	})
	if first {
		f.log.Info("registrations read", zap.Int("targets", len(events)), zap.Uint64("revision", listing.Position.Revision))
		f.notify(zapcore.DebugLevel, events)
		return
	}
	f.notify(zapcore.InfoLevel, events)
}

func (f *Follower) applyTargetChanges(listing storer.Listing) {
	now := f.timers.Now()
	outageEnd := f.link.LongOutageEnd(now, f.config.GracePeriod)
	var events []registrar.Event
	for _, item := range listing.Items {
		id, ok := decoder.TargetID(item.Key)
		if !ok {
			continue
		}
		position := listing.PositionOf(item)
		if item.Gone {
			f.state.updateRegistry(func(r *registrar.Registry) { events = append(events, r.Remove(now, id, position, outageEnd)) })
			continue
		}
		if e, ok := f.entry(position, id, item); ok {
			f.state.updateRegistry(func(r *registrar.Registry) { events = append(events, r.Put(now, e)) })
		}
	}
	f.notify(zapcore.InfoLevel, events)
}

// entry decodes the registration of the target id, and returns false if it is invalid. Any
// process may write such a value, so it says nothing about the target, whose former
// registration stays in force.
func (f *Follower) entry(position sequencer.Position, id string, item storer.Item) (registrar.Entry, bool) {
	target, err := decoder.Registration(id, item.Value)
	if err != nil {
		f.rejections.Add("registration", item.Key, err)
		return registrar.Entry{}, false
	}
	return registrar.Entry{Position: position, Target: target}, true
}

// notify logs changes of targets and passes them on. An update changes neither where a
// target is nor whether it gets requests; each target writes one about every second.
func (f *Follower) notify(level zapcore.Level, events []registrar.Event) {
	for _, e := range events {
		if e.Change == registrar.Unchanged {
			continue
		}
		eventLevel := level
		if e.Change == registrar.Updated {
			eventLevel = zapcore.DebugLevel
		}
		f.log.Log(eventLevel, "target "+e.Change.String(), zap.String("target", e.Record.ID), zap.String("service", e.Record.Service),
			zap.Stringer("address", e.Record.Address), zap.String("domain", e.Record.Domain), zap.Uint64("revision", e.Record.Position.Revision))
		f.listeners.Target(e)
	}
}

// Vacate records that another target answers at the address of the target id.
func (f *Follower) Vacate(id string) {
	var event registrar.Event
	f.state.updateRegistry(func(r *registrar.Registry) { event = r.Vacate(id) })
	f.notify(zapcore.InfoLevel, []registrar.Event{event})
}

// sweepPeriod is the interval between checks for expired targets.
const sweepPeriod = 200 * time.Millisecond

// SweepExpired applies what time changes in the registry, such as the end of the grace
// period of a held target, until the context ends.
func (f *Follower) SweepExpired(ctx context.Context) {
	tick := f.timers.Every(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if up, _ := f.link.State(); !up {
				continue
			}
			var events []registrar.Event
			f.state.updateRegistry(func(r *registrar.Registry) { events = r.Advance(now) })
			f.notify(zapcore.InfoLevel, events)
		case <-ctx.Done():
			return
		}
	}
}
