// Package announcer registers the entry VM in the platform's store, so that the
// entry VMs can share the connections to targets and the repeat budget.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/storer"
)

// prefix is the prefix of the keys of entry VMs; the VM's name follows it.
const prefix = "entry-vms/"

// announcement is the value under the key of an entry VM.
type announcement struct {
	Domain         string         `json:"domain"`
	Address        netip.AddrPort `json:"address"`
	RequestAddress netip.AddrPort `json:"request-address"`
	QuotaAddress   netip.AddrPort `json:"quota-address,omitzero"`
}

// ParseItem returns the entry VM that an item announces, and false for other items. Of a
// removed key only the name is set. A value in which a field is missing or invalid gives an
// error with the name set.
func ParseItem(item storer.Item) (member registrar.Member, ok bool, err error) {
	name, ok := strings.CutPrefix(item.Key, prefix)
	if !ok || name == "" {
		return registrar.Member{}, false, nil
	}
	if item.Gone {
		return registrar.Member{Name: name}, true, nil
	}
	var value announcement
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return registrar.Member{Name: name}, true, err
	}
	switch {
	case value.Domain == "":
		err = errors.New("domain is missing")
	case !value.Address.IsValid():
		err = errors.New("address is missing")
	case !value.RequestAddress.IsValid():
		err = errors.New("request-address is missing")
	}
	if err != nil {
		return registrar.Member{Name: name}, true, err
	}
	return registrar.Member{
		Name: name, Domain: value.Domain, Address: value.Address, RequestAddress: value.RequestAddress, QuotaAddress: value.QuotaAddress,
	}, true, nil
}

// Store is the platform's store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	Renew(ctx context.Context, lease storer.Lease) error
	// Put returns the revision of the key.
	Put(ctx context.Context, key string, value []byte, lease storer.Lease) (uint64, error)
	Remove(ctx context.Context, key string, revision uint64) error
}

// Config holds the intervals and timeouts of the announcer.
type Config struct {
	// LeaseTTL is the time to live of the VM's entry.
	LeaseTTL time.Duration
	// RenewInterval is the pause between renewals. A renewal costs a tenth of a call
	// and also shows whether the store is reachable.
	RenewInterval time.Duration
	// ReaderRenewInterval is the pause between renewals while other VMs poll this
	// one for changes of the store, so that it soon detects the loss of the store.
	ReaderRenewInterval time.Duration
	// LeaveTimeout bounds the last call, because the process is about to end.
	LeaveTimeout time.Duration
	// ProbeInterval is the pause before the first call while the store is unreachable. Each
	// further pause is longer by half, up to MaxProbeInterval, or MaxInformedProbeInterval
	// while another VM informs this one of changes.
	ProbeInterval, MaxProbeInterval, MaxInformedProbeInterval time.Duration
}

// leaveShare is the share of the time for a planned stop in which the VM's entry is
// removed, after the last requests.
const leaveShare = 0.08

// DefaultConfig returns the production configuration; a planned stop may take as
// long as grace.
func DefaultConfig(grace time.Duration) Config {
	return Config{
		// Outlasts a refusal of 9 s with the pause before the last renewal, the longest one
		// between probes and a call that times out.
		LeaseTTL:      15 * time.Second,
		RenewInterval: 2500 * time.Millisecond,
		// Together with the timeout of a call, this stays below the shortest time in
		// which a configuration must be in force.
		ReaderRenewInterval: 600 * time.Millisecond,
		LeaveTimeout:        time.Duration(leaveShare * float64(grace)),
		ProbeInterval:       500 * time.Millisecond,
		MaxProbeInterval:    time.Second,
		// Leaves most of the stability window to the calls that follow.
		MaxInformedProbeInterval: 2 * time.Second,
	}
}

// Announcer keeps the entry of a VM alive.
type Announcer struct {
	config Config
	self   registrar.Member
	// hasClients reports whether other VMs poll this one for changes of the store.
	hasClients func() bool
	// informed reports whether another VM informs this one of changes of the store.
	informed func() bool
	store    Store
	link     *supervisor.Link
	timers   *timer.Service
	log      *zap.Logger

	// leaveTimeout bounds the last call, because the process is about to end.
	leaveTimeout atomic.Int64

	// lease and revision are those of the VM's entry. The lease is zero while there is none.
	lease    storer.Lease
	revision uint64
	// lastCall is the time of the last renewal or announcement.
	lastCall time.Time
	// failures counts the calls that failed since the last answered one.
	failures int
}

// New returns the announcer of the VM self. hasClients reports whether other VMs
// poll this one for changes of the store, informed whether this one polls another VM.
func New(config Config, self registrar.Member, hasClients, informed func() bool, store Store, link *supervisor.Link, timers *timer.Service,
	log *zap.Logger,
) *Announcer {
	a := &Announcer{config: config, self: self, hasClients: hasClients, informed: informed, store: store, link: link, timers: timers, log: log}
	a.leaveTimeout.Store(int64(config.LeaveTimeout))
	return a
}

// SetGrace replaces the time that a planned stop may take.
func (a *Announcer) SetGrace(grace time.Duration) {
	a.leaveTimeout.Store(int64(DefaultConfig(grace).LeaveTimeout))
}

// Run announces the VM until the context ends, and then removes its entry.
func (a *Announcer) Run(ctx context.Context) {
	tick := a.timers.After(0)
	defer tick.Stop()
	for {
		up, changed := a.link.State()
		select {
		case <-tick.C:
			if !a.due() {
				tick.Reset(a.config.ReaderRenewInterval)
				continue
			}
			tick.Reset(a.recordOutcome(ctx, a.renew(ctx)))
		case <-changed:
			// Another user of the link detected an outage, so probe the store soon.
			if up {
				tick.Reset(a.config.ProbeInterval)
			}
		case <-ctx.Done():
			a.leave()
			return
		}
	}
}

// due reports whether it is time for a call. Run checks this after every
// ReaderRenewInterval, because other VMs may begin to poll this one at any time.
func (a *Announcer) due() bool {
	if up, _ := a.link.State(); !up || a.hasClients() {
		return true
	}
	return a.timers.Now().Sub(a.lastCall) >= a.config.RenewInterval
}

// renew extends the lease, or announces the VM under a new one.
func (a *Announcer) renew(ctx context.Context) error {
	a.lastCall = a.timers.Now()
	if a.lease != (storer.Lease{}) {
		err := a.store.Renew(ctx, a.lease)
		if !storer.IsKind(err, storer.KindNotFound) {
			return err
		}
		a.log.Warn("lease expired; announcing the VM again", zap.Uint64("lease", a.lease.ID), zap.Error(err))
		a.lease = storer.Lease{}
	}
	lease, err := a.store.Grant(ctx, a.config.LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(announcement{
		Domain: a.self.Domain, Address: a.self.Address, RequestAddress: a.self.RequestAddress, QuotaAddress: a.self.QuotaAddress,
	})
	if err != nil {
		return err
	}
	revision, err := a.store.Put(ctx, prefix+a.self.Name, value, lease)
	if err != nil {
		return err
	}
	a.lease, a.revision = lease, revision
	return nil
}

// recordOutcome updates the link with the outcome of a renewal and returns the pause
// before the next.
func (a *Announcer) recordOutcome(ctx context.Context, err error) time.Duration {
	switch {
	case err == nil:
		a.failures = 0
		if outage, regained := a.link.Succeeded(a.timers.Now()); regained {
			a.log.Info("store regained", zap.Duration("outage", outage))
		}
		return a.config.ReaderRenewInterval
	case ctx.Err() != nil:
		return a.config.ReaderRenewInterval
	default:
		if a.link.Failed() {
			a.log.Warn("store lost", zap.String("op", "renew"), zap.Error(err))
		}
		return a.probePause()
	}
}

// probeGrowth is the ratio of a pause between probes to the one before.
const probeGrowth = 1.5

// probePause returns the pause after a failed call. It is jittered by a fifth, so that the
// VMs that the store refuses do not call together.
func (a *Announcer) probePause() time.Duration {
	longest := a.config.MaxProbeInterval
	if a.informed() {
		longest = a.config.MaxInformedProbeInterval
	}
	pause := min(float64(a.config.ProbeInterval)*math.Pow(probeGrowth, float64(a.failures)), float64(longest))
	a.failures++
	return time.Duration(pause * (0.8 + 0.2*rand.Float64()))
}

// leave removes the VM's entry. It does not end the lease, which could be another VM's if
// the store has been restored meanwhile.
func (a *Announcer) leave() {
	if a.lease == (storer.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.leaveTimeout.Load()))
	defer cancel()
	if err := a.store.Remove(ctx, prefix+a.self.Name, a.revision); err != nil {
		a.log.Warn("cannot remove the entry; it remains until its lease expires", zap.Uint64("lease", a.lease.ID), zap.Error(err))
	}
}
