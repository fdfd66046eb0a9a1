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
	// ListSerializable costs a tenth of List, but the listing may be seconds old.
	ListSerializable(ctx context.Context, prefix string) (storer.Listing, error)
	Watch(ctx context.Context, prefix string, after sequencer.Position, wait time.Duration) (storer.Listing, error)
}

// Peers are the other entry VMs of the failure domain, one of which may read from
// the store for the others.
type Peers interface {
	// Watch returns the changes after a position, and false if no other VM serves
	// them.
	Watch(ctx context.Context, after sequencer.Position) (storer.Listing, bool)
	// WatchAny is like Watch and also asks the VMs for which this one usually reads.
	WatchAny(ctx context.Context, after sequencer.Position) (storer.Listing, bool)
	// Rank returns the number of VMs that read from the store rather than this one.
	Rank() int
	// RecordSnapshot and RecordChanges record what this VM knows, wherever it is from, for VMs
	// that need everything.
	RecordSnapshot(listing storer.Listing)
	RecordChanges(listing storer.Listing)
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
	// ConfirmWait is how long the first watch after a full read that may be old waits for a
	// change. The read is applied afterwards.
	ConfirmWait time.Duration
	// AnswerMargin is how long after WatchWait the answer of a watch may arrive.
	AnswerMargin time.Duration
	// BatchDelay is the pause after changes, so that the next watch returns several
	// at once. It applies to a VM that is alone in its failure domain.
	BatchDelay time.Duration
	// TakeoverDelay is how long a VM without answers of others leaves it to each VM before it
	// in the order to read from the store, and MaxTakeoverDelay the longest such time.
	TakeoverDelay, MaxTakeoverDelay time.Duration
	// RetryDelay is the pause after a failed call, and MaxRetryDelay the longest one after
	// several. A store that answers renewals may refuse all else.
	RetryDelay, MaxRetryDelay time.Duration
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
	// confirmWait is longer than the slowest answers of a store during trouble, so that a
	// store that has changes sends them within it.
	confirmWait = 300 * time.Millisecond
)

// DefaultConfig returns the production configuration. A change must be in force
// within applyBound, and everything must be current again stabilityWindow after
// trouble at the store. A watch gets no changes while the store drops its history,
// and its answer can be lost, so a watch must end early enough to read the missed
// changes within stabilityWindow.
func DefaultConfig(applyBound, stabilityWindow time.Duration) Config {
	return Config{
		WatchWait:    max(stabilityWindow-watchAnswerMargin-rereadTime, watchAnswerMargin),
		ConfirmWait:  confirmWait,
		AnswerMargin: watchAnswerMargin,
		BatchDelay:   time.Duration(batchDelayShare * float64(applyBound)),
		// A VM takes over with one call.
		TakeoverDelay:    60 * time.Millisecond,
		MaxTakeoverDelay: 400 * time.Millisecond,

		RetryDelay:    300 * time.Millisecond,
		MaxRetryDelay: time.Second,
		// Targets register again within two seconds after the store recovers.
		GracePeriod: 2300 * time.Millisecond,
		// With the 15 s of an entry VM's lease, a VM counts for 24 s after its last renewal,
		// three times the longest refusal.
		MemberGracePeriod: 9 * time.Second,
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
	// position is that of the last changes or full read that were applied, zero before the
	// first one.
	position sequencer.Position
	// unconfirmed is a first full read that may be seconds old and is not yet applied.
	unconfirmed *storer.Listing
	// informedAt is when another VM answered last, or when everything was read since.
	informedAt time.Time
	// failures counts the calls that failed since the last answered one, and callAfter is when
	// the next may be made.
	failures  int
	callAfter time.Time
	// consistent makes the next full read one that is not older than the call.
	consistent bool
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
	f.position = listing.Position
	f.applyConfigurations(listing)
	f.replaceEvacuations(listing.Items)
	f.replaceTargets(listing)
	f.replaceMembers(listing.Items)
	f.peers.RecordSnapshot(listing)
	f.listeners.AllItems(listing.Items)
}

func (f *Follower) applyChanges(listing storer.Listing) {
	f.position = listing.Position
	f.applyConfigurations(listing)
	f.applyEvacuations(listing.Items)
	f.applyTargetChanges(listing)
	f.applyMembers(listing.Items)
	f.peers.RecordChanges(listing)
	f.listeners.ChangedItems(listing.Items)
}

// watch follows the changes after a position until the history is lost. A single
// watch without an answer is not yet an outage; the next call decides.
func (f *Follower) watch(ctx context.Context, from sequencer.Position) {
	position := from
	f.informedAt = f.timers.Now()
	unanswered := 0
	for ctx.Err() == nil {
		up, _ := f.link.State()
		if listing, ok := f.watchPeers(ctx, position, up); ok {
			f.informedAt = f.timers.Now()
			f.peers.StopPublishing()
			unanswered = 0
			position = listing.Position
			f.applyConfirmed(listing)
			continue
		}
		if !up {
			f.applyUnconfirmed()
			f.timers.Sleep(ctx, f.config.RetryDelay)
			continue
		}
		if now := f.timers.Now(); now.Before(f.callAfter) || now.Sub(f.informedAt) < f.takeoverDelay() {
			f.timers.Sleep(ctx, f.config.TakeoverDelay)
			continue
		}
		listing, result := f.watchStore(ctx, position)
		switch {
		case result.err == nil:
			f.recordSuccess()
			unanswered = 0
			f.peers.PublishChanges(position, listing)
			position = listing.Position
			f.applyConfirmed(listing)
			if len(listing.Items) > 0 && !mayBeCutOff(listing) {
				f.timers.Sleep(ctx, f.batchDelay())
			}
		case storer.IsKind(result.err, storer.KindHistoryLost):
			f.log.Warn("history lost, reading in full", zap.String("prefix", allKeys), zap.Uint64("revision", position.Revision), zap.Error(result.err))
			f.link.Interrupt()
			// A full read that was too old to be followed may be so again.
			f.consistent, f.unconfirmed = position == from, nil
			return
		case result.interrupted:
			f.applyUnconfirmed()
		case unanswered == 0 && result.timedOut:
			f.applyUnconfirmed()
			unanswered++
			f.log.Warn("watch without an answer", zap.Uint64("revision", position.Revision), zap.Error(result.err))
		default:
			f.applyUnconfirmed()
			f.recordFailure(ctx, "watch", allKeys, result.err)
		}
	}
}

func (f *Follower) recordSuccess() {
	f.failures = 0
	if outage, regained := f.link.Succeeded(f.timers.Now()); regained {
		f.log.Info("store regained", zap.Duration("outage", outage))
	}
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
