package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// Store is what the follower reads from.
type Store interface {
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Listing, error)
}

// Peers are the other entry VMs of the failure domain, one of which may read from
// the store for all.
type Peers interface {
	// Watch returns the changes after a revision, and false if no other VM tells
	// them.
	Watch(ctx context.Context, after uint64) (storer.Listing, bool)
	// Replaced and Changed take what this VM has read, for the others.
	Replaced(revision uint64)
	Changed(after uint64, listing storer.Listing)
	// Stopped takes that another VM reads instead.
	Stopped()
}

// Config holds the constants of following.
type Config struct {
	// Domain is the own failure domain.
	Domain string

	// WatchWait is how long a watch waits. Each watch is a call that is paid
	// for.
	WatchWait time.Duration
	// Answer is how much longer the answer of a watch may take.
	Answer time.Duration
	// Gather is the pause after changes, in which further ones are collected
	// into one answer, of a VM that reads for itself alone.
	Gather time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// Hold is how long a registration may be missing after an outage.
	Hold time.Duration
	// CountHold is how long an entry VM counts that is missing.
	CountHold time.Duration
}

// gatherShare is the part of the time in which a change must be in force that
// may pass while further changes are collected.
const gatherShare = 0.4

// Times that pass at the end of a watch that brought nothing.
const (
	// watchAnswer is five times the slowest answers of a store in trouble.
	watchAnswer = 500 * time.Millisecond
	// readAgain covers the calls that read what the watch has missed.
	readAgain = 300 * time.Millisecond
)

// DefaultConfig returns the constants used in production, for the time in which
// a change must be in force and the calm that follows trouble at the store. A
// watch can go deaf while the store drops its history, or lose its answer, and a
// change that was made meanwhile has to be known when the calm is over.
func DefaultConfig(bound, calm time.Duration) Config {
	return Config{
		WatchWait: max(calm-watchAnswer-readAgain, watchAnswer),
		Answer:    watchAnswer,
		Gather:    time.Duration(gatherShare * float64(bound)),
		Retry:     300 * time.Millisecond,
		// Registrations are back two seconds after the store is.
		Hold: 2300 * time.Millisecond,
		// Two times to live of an entry VM's lease.
		CountHold: 16 * time.Second,
	}
}

// Follower follows the store until its context ends.
type Follower struct {
	config  Config
	store   Store
	link    *supervisor.Link
	peers   Peers
	state   *State
	timers  *timer.Service
	log     *zap.Logger
	hear    Listeners
	census  *registrar.MemberSet
	members []registrar.Member
}

// Listeners hear of each change of what is believed.
type Listeners struct {
	Table    func(*router.Table)
	Target   func(registrar.Event)
	EntryVMs func(members []registrar.Member)
}

// New returns a follower that keeps state current.
func New(config Config, store Store, link *supervisor.Link, peers Peers, state *State, timers *timer.Service, log *zap.Logger,
	hear Listeners,
) *Follower {
	return &Follower{
		config: config, store: store, link: link, peers: peers, state: state, timers: timers, log: log, hear: hear,
		census: registrar.NewMemberSet(config.CountHold),
	}
}

// everything is the prefix of all keys. One watch of all of them costs one call,
// two watches cost two.
const everything = ""

func (f *Follower) replaceAll(listing storer.Listing) {
	f.takeTables(listing)
	f.replaceTargets(listing)
	var members []registrar.Member
	for _, item := range listing.Items {
		if member, ok := f.member(item); ok {
			members = append(members, member)
		}
	}
	f.census.Replace(f.timers.Now(), members)
	f.count()
}

func (f *Follower) changeAll(listing storer.Listing) {
	f.takeTables(listing)
	f.changeTargets(listing)
	for _, item := range listing.Items {
		member, ok := f.member(item)
		switch {
		case !ok:
		case item.Gone:
			f.census.MarkMissing(f.timers.Now(), member.Name)
		default:
			f.census.MarkPresent(member)
		}
	}
	f.count()
}

// Run keeps the configuration and the registrations current: it reads all keys and
// then their changes, and in full again when the store has dropped the history
// that it needs.
func (f *Follower) Run(ctx context.Context) {
	for f.link.WaitUp(ctx) {
		listing, err := f.store.List(ctx, everything)
		if err != nil {
			f.failed(ctx, "read", everything, err)
			continue
		}
		f.succeeded()
		f.replaceAll(listing)
		f.peers.Replaced(listing.Revision)
		f.watch(ctx, listing.Revision)
	}
}

// watch follows the changes after a revision until the history is lost. One
// watch may end without an answer; the next call shows whether that was an
// outage.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	unanswered := 0
	for ctx.Err() == nil {
		if listing, ok := f.peers.Watch(ctx, revision); ok {
			f.peers.Stopped()
			unanswered = 0
			revision = listing.Revision
			f.changeAll(listing)
			continue
		}
		if up, _ := f.link.State(); !up {
			f.pause(ctx, f.config.Retry)
			continue
		}
		listing, end := f.watchStore(ctx, revision)
		switch {
		case end.err == nil:
			f.succeeded()
			unanswered = 0
			f.peers.Changed(revision, listing)
			revision = listing.Revision
			f.changeAll(listing)
			if len(listing.Items) > 0 {
				f.pause(ctx, f.gather())
			}
		case storer.IsKind(end.err, storer.KindHistoryLost):
			f.log.Warn("history lost, reading in full", zap.String("prefix", everything), zap.Uint64("revision", revision))
			f.link.Interrupt()
			return
		case end.interrupted:
		case unanswered == 0 && end.late:
			unanswered++
			f.log.Warn("watch without an answer", zap.Uint64("revision", revision), zap.Error(end.err))
		default:
			f.failed(ctx, "watch", everything, end.err)
		}
	}
}

// watchEnd is how a watch of the store ended.
type watchEnd struct {
	err error
	// interrupted says that the store was lost or the history dropped meanwhile.
	interrupted bool
	// late says that no answer came within its bound.
	late bool
}

func (f *Follower) watchStore(ctx context.Context, revision uint64) (storer.Listing, watchEnd) {
	waiting, stop := f.link.WhileUp(ctx)
	defer stop()
	bounded, cancel := context.WithTimeout(waiting, f.config.WatchWait+f.config.Answer)
	defer cancel()
	listing, err := f.store.Watch(bounded, everything, revision, f.config.WatchWait)
	f.log.Debug("watch ended", zap.String("prefix", everything), zap.Uint64("after", revision),
		zap.Uint64("revision", listing.Revision), zap.Int("items", len(listing.Items)), zap.Error(err))
	return listing, watchEnd{err: err, interrupted: waiting.Err() != nil, late: bounded.Err() != nil}
}

func (f *Follower) succeeded() {
	if outage, regained := f.link.Succeeded(f.timers.Now()); regained {
		f.log.Info("store regained", zap.Duration("outage", outage))
	}
}

func (f *Follower) failed(ctx context.Context, op, prefix string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.link.Failed() {
		f.log.Warn("store lost", zap.String("op", op), zap.String("prefix", prefix), zap.Error(err))
	}
	f.pause(ctx, f.config.Retry)
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	wait := f.timers.After(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

// takeTables puts the configurations of a listing in force, the newest last.
func (f *Follower) takeTables(listing storer.Listing) {
	for _, item := range listing.Items {
		if item.Key != decoder.ConfigurationKey || item.Gone {
			continue
		}
		table, err := decoder.Configuration(item.Value)
		if err != nil {
			f.log.Error("configuration cannot be read", zap.Uint64("revision", item.Revision), zap.Error(err))
			continue
		}
		if !f.state.setTable(table) {
			continue
		}
		f.log.Info("configuration in force", zap.Int64("version", table.Version),
			zap.Uint64("revision", item.Revision), zap.Int("routes", table.RouteCount()))
		f.hear.Table(table)
	}
}

func (f *Follower) replaceTargets(listing storer.Listing) {
	now := f.timers.Now()
	entries := make([]registrar.Entry, 0, len(listing.Items))
	for _, item := range listing.Items {
		if e, ok := f.entry(item); ok {
			entries = append(entries, e)
		}
	}
	hold := f.link.AfterLongOutage(now, f.config.Hold)
	var events []registrar.Event
	f.state.change(func(b *registrar.Registry) { events = b.Replace(now, entries, listing.Revision, hold) })
	f.tell(events)
}

func (f *Follower) changeTargets(listing storer.Listing) {
	now := f.timers.Now()
	hold := f.link.AfterLongOutage(now, f.config.Hold)
	var events []registrar.Event
	for _, item := range listing.Items {
		id, ok := decoder.TargetID(item.Key)
		if !ok {
			continue
		}
		if item.Gone {
			f.state.change(func(b *registrar.Registry) { events = append(events, b.Remove(now, id, item.Revision, hold)) })
			continue
		}
		if e, ok := f.entry(item); ok {
			f.state.change(func(b *registrar.Registry) { events = append(events, b.Put(now, e)) })
			continue
		}
		// What stands under the key now is not the target's, so it names none.
		f.state.change(func(b *registrar.Registry) { events = append(events, b.Remove(now, id, item.Revision, false)) })
	}
	f.tell(events)
}

func (f *Follower) entry(item storer.Item) (registrar.Entry, bool) {
	id, ok := decoder.TargetID(item.Key)
	if !ok {
		return registrar.Entry{}, false
	}
	target, err := decoder.Registration(id, item.Value)
	if err != nil {
		f.log.Warn("registration names no target", zap.String("target", id), zap.Error(err))
		return registrar.Entry{}, false
	}
	return registrar.Entry{Revision: item.Revision, Target: target}, true
}

func (f *Follower) tell(events []registrar.Event) {
	for _, e := range events {
		if e.Change == registrar.Unchanged {
			continue
		}
		f.log.Info("target "+e.Change.String(), zap.String("target", e.Record.ID), zap.String("service", e.Record.Service),
			zap.Stringer("address", e.Record.Address), zap.String("domain", e.Record.Domain), zap.Uint64("revision", e.Record.Revision))
		f.hear.Target(e)
	}
}

// Vacate takes the news that another target answers at a target's address.
func (f *Follower) Vacate(id string) {
	var event registrar.Event
	f.state.change(func(b *registrar.Registry) { event = b.Vacate(id) })
	f.tell([]registrar.Event{event})
}

// sweepPeriod is how often held targets are looked at.
const sweepPeriod = 200 * time.Millisecond

// SweepHeld removes targets whose registration did not come back.
func (f *Follower) SweepHeld(ctx context.Context) {
	tick := f.timers.Every(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if up, _ := f.link.State(); !up {
				continue
			}
			var events []registrar.Event
			f.state.change(func(b *registrar.Registry) { events = b.RemoveExpired(now) })
			f.tell(events)
		case <-ctx.Done():
			return
		}
	}
}
