// Package announcer makes the entry VM known in the platform's store and counts
// the others, with whom it shares the targets' connections and the budget of
// repeated work.
package announcer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/storer"
)

// prefix begins the keys of the entry VMs; the rest is the VM's name.
const prefix = "entry-vms/"

// Store is what the announcer calls.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	End(ctx context.Context, lease uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	List(ctx context.Context, prefix string, freshness storer.Freshness) (storer.Listing, error)
}

// Config holds the periods of the announcer.
type Config struct {
	// Lease is the time to live of the own entry.
	Lease time.Duration
	// Renew is the pause between renewals. A renewal costs a tenth of a call
	// and also shows whether the store can be reached.
	Renew time.Duration
	// Probe is the pause between calls while the store is out of reach.
	Probe time.Duration
	// Count is the pause between readings of the other entries.
	Count time.Duration
}

// DefaultConfig returns the periods used in production.
func DefaultConfig() Config {
	return Config{
		Lease: 8 * time.Second,
		Renew: 1500 * time.Millisecond,
		Probe: 500 * time.Millisecond,
		Count: 5 * time.Second,
	}
}

// Announcer keeps the own entry alive until its context ends.
type Announcer struct {
	config  Config
	vm      string
	store   Store
	link    *supervisor.Link
	timers  *timer.Service
	log     *zap.Logger
	onCount func(entryVMs int)

	lease uint64
	count int
}

// New returns the announcer of a VM; onCount hears of each new number of VMs.
func New(config Config, vm string, store Store, link *supervisor.Link, timers *timer.Service, log *zap.Logger, onCount func(int)) *Announcer {
	return &Announcer{config: config, vm: vm, store: store, link: link, timers: timers, log: log, onCount: onCount}
}

// Run announces the VM, and takes the entry back at the end of the context.
func (a *Announcer) Run(ctx context.Context) {
	tick := a.timers.After(0)
	defer tick.Stop()
	var counted time.Time
	for {
		select {
		case now := <-tick.C:
			err := a.renew(ctx)
			if err == nil && now.Sub(counted) >= a.config.Count {
				if err = a.countVMs(ctx); err == nil {
					counted = now
				}
			}
			tick.Reset(a.observe(ctx, err))
		case <-ctx.Done():
			a.leave()
			return
		}
	}
}

// renew extends the lease, or announces the VM under a new one.
func (a *Announcer) renew(ctx context.Context) error {
	if a.lease != 0 {
		err := a.store.Renew(ctx, a.lease)
		if !storer.IsKind(err, storer.KindNotFound) {
			return err
		}
		a.log.Warn("lease ended", zap.Uint64("lease", a.lease))
		a.lease = 0
	}
	lease, err := a.store.Grant(ctx, a.config.Lease)
	if err != nil {
		return err
	}
	if err := a.store.Put(ctx, prefix+a.vm, []byte(a.vm), lease); err != nil {
		return err
	}
	a.lease = lease
	return nil
}

func (a *Announcer) countVMs(ctx context.Context) error {
	listing, err := a.store.List(ctx, prefix, storer.Lagging)
	if err != nil {
		return err
	}
	if count := max(len(listing.Items), 1); count != a.count {
		a.log.Info("entry VMs counted", zap.Int("before", a.count), zap.Int("now", count), zap.Uint64("revision", listing.Revision))
		a.count = count
		a.onCount(count)
	}
	return nil
}

// observe takes the outcome of a round and returns the pause before the next.
func (a *Announcer) observe(ctx context.Context, err error) time.Duration {
	switch {
	case err == nil:
		if outage, regained := a.link.Succeeded(a.timers.Now()); regained {
			a.log.Info("store regained", zap.Duration("outage", outage))
		}
		return a.config.Renew
	case ctx.Err() != nil:
		return a.config.Renew
	default:
		if a.link.Failed() {
			a.log.Warn("store lost", zap.String("op", "renew"), zap.Error(err))
		}
		return a.config.Probe
	}
}

// leaveTimeout bounds the last call, as the process is about to end.
const leaveTimeout = 500 * time.Millisecond

func (a *Announcer) leave() {
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := a.store.End(ctx, a.lease); err != nil {
		a.log.Warn("entry stays until its lease ends", zap.Uint64("lease", a.lease), zap.Error(err))
	}
}
