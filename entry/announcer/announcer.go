// Package announcer makes the entry VM known in the platform's store to the
// others, with whom it shares the targets' connections and the budget of
// repeated work.
package announcer

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/storer"
)

// prefix begins the keys of the entry VMs; the rest is the VM's name.
const prefix = "entry-vms/"

// announcement is the value under the key of an entry VM.
type announcement struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// Read returns the entry VM that an item announces. One whose value cannot be
// read, such as that of a removed key, has a name only.
func Read(item storer.Item) (registrar.Member, bool) {
	name, ok := strings.CutPrefix(item.Key, prefix)
	if !ok {
		return registrar.Member{}, false
	}
	var value announcement
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return registrar.Member{Name: name}, true
	}
	return registrar.Member{Name: name, Domain: value.Domain, Address: value.Address}, true
}

// Store is what the announcer calls.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	End(ctx context.Context, lease uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// Config holds the periods of the announcer.
type Config struct {
	// Lease is the time to live of the own entry.
	Lease time.Duration
	// Renew is the pause between renewals. A renewal costs a tenth of a call
	// and also shows whether the store can be reached.
	Renew time.Duration
	// RenewReading is the same pause while others rely on what this VM reads
	// from the store, so that it soon knows that it has lost it.
	RenewReading time.Duration
	// Leave bounds the last call, as the process is about to end.
	Leave time.Duration
	// Probe is the pause between calls while the store is out of reach.
	Probe time.Duration
}

// leaveShare is the part of the time for a planned stop in which the own entry is
// taken back, after the last requests.
const leaveShare = 0.08

// DefaultConfig returns the periods used in production, for the time that a
// planned stop may take.
func DefaultConfig(grace time.Duration) Config {
	return Config{
		Lease: 8 * time.Second,
		Renew: 2500 * time.Millisecond,
		// With the timeout of a call below the shortest time in which a
		// configuration has to be in force.
		RenewReading: 600 * time.Millisecond,
		Leave:        time.Duration(leaveShare * float64(grace)),
		Probe:        500 * time.Millisecond,
	}
}

// Announcer keeps the own entry alive until its context ends.
type Announcer struct {
	config Config
	self   registrar.Member
	// reading reports whether others rely on what this VM reads.
	reading func() bool
	store   Store
	link    *supervisor.Link
	timers  *timer.Service
	log     *zap.Logger

	lease uint64
	// called is when the store was last called.
	called time.Time
}

// New returns the announcer of a VM; reading reports whether others rely on what
// it reads from the store.
func New(config Config, self registrar.Member, reading func() bool, store Store, link *supervisor.Link, timers *timer.Service,
	log *zap.Logger,
) *Announcer {
	return &Announcer{config: config, self: self, reading: reading, store: store, link: link, timers: timers, log: log}
}

// Run announces the VM, and takes the entry back at the end of the context.
func (a *Announcer) Run(ctx context.Context) {
	tick := a.timers.After(0)
	defer tick.Stop()
	for {
		up, changed := a.link.State()
		select {
		case <-tick.C:
			if !a.due() {
				tick.Reset(a.config.RenewReading)
				continue
			}
			tick.Reset(a.observe(ctx, a.renew(ctx)))
		case <-changed:
			// Another user lost the store; the next call shows when it is back.
			if up {
				tick.Reset(a.config.Probe)
			}
		case <-ctx.Done():
			a.leave()
			return
		}
	}
}

// due reports whether it is time for a call. Others may begin at any time to
// rely on what this VM reads, so the shorter pause is looked at each time.
func (a *Announcer) due() bool {
	if up, _ := a.link.State(); !up || a.reading() {
		return true
	}
	return a.timers.Now().Sub(a.called) >= a.config.Renew
}

// renew extends the lease, or announces the VM under a new one.
func (a *Announcer) renew(ctx context.Context) error {
	a.called = a.timers.Now()
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
	value, err := json.Marshal(announcement{Domain: a.self.Domain, Address: a.self.Address})
	if err != nil {
		return err
	}
	if err := a.store.Put(ctx, prefix+a.self.Name, value, lease); err != nil {
		return err
	}
	a.lease = lease
	return nil
}

// observe takes the outcome of a round and returns the pause before the next.
func (a *Announcer) observe(ctx context.Context, err error) time.Duration {
	switch {
	case err == nil:
		if outage, regained := a.link.Succeeded(a.timers.Now()); regained {
			a.log.Info("store regained", zap.Duration("outage", outage))
		}
		return a.config.RenewReading
	case ctx.Err() != nil:
		return a.config.RenewReading
	default:
		if a.link.Failed() {
			a.log.Warn("store lost", zap.String("op", "renew"), zap.Error(err))
		}
		return a.config.Probe
	}
}

func (a *Announcer) leave() {
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Leave)
	defer cancel()
	if err := a.store.End(ctx, a.lease); err != nil {
		a.log.Warn("entry stays until its lease ends", zap.Uint64("lease", a.lease), zap.Error(err))
	}
}
