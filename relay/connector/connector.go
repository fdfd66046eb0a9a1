// Package connector manages a relay's connections to the targets that it owns
// and polls their state.
package connector

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/limiter"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/pooler"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
)

const (
	// statusPeriod is the polling interval of a target's status. After three
	// missed or incorrect answers, a leaving target still stops getting work
	// within the guaranteed 3 s.
	statusPeriod  = 500 * time.Millisecond
	statusTimeout = 400 * time.Millisecond
	// leavingRetention is how long a VM counts as leaving after the platform last
	// listed it. It spans several intervals at which readers send the list.
	leavingRetention = 10 * time.Second
	// lostThreshold is the number of consecutive failed status calls after which
	// a target counts as lost.
	lostThreshold = 2
	// refusalRetention is how long a target that refused work as draining counts
	// as draining while its status still says "serving". A drain takes about as
	// long.
	refusalRetention = 30 * time.Second
	// warmConnections is the number of connections opened ahead of demand by
	// concurrent status calls.
	warmConnections = 2
)

// Target describes a target to own and this relay's share of its connections.
type Target struct {
	Service       string
	Set           string
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	// Connections is the number of connections that the target accepts from all
	// relays together; Allotment is this relay's share of them.
	Connections int
	Allotment   int
	// Owners is the number of relays that own the target.
	Owners int
}

// equalExceptShares reports whether two targets differ at most in the allotment
// and the number of owners. Owners only sets the minimum concurrency limit when
// the target is connected. It may change with each change of the members, and
// reconnecting each time would lose connections and queued requests.
func (t Target) equalExceptShares(other Target) bool {
	t.Allotment, t.Owners = other.Allotment, other.Owners
	return t == other
}

// Publisher receives the state of each target whenever it changes.
type Publisher interface {
	PutTarget(state *peerpb.TargetState)
	RemoveTarget(service, set, target string)
}

// Connector manages the owned targets. They are keyed by address, because one
// process may serve several services.
type Connector struct {
	relay       string
	incarnation uint64
	timers      *timer.Service
	dispatcher  *dispatcher.Dispatcher
	publisher   Publisher
	tracer      *tracer.Tracer
	log         *zap.Logger

	loads atomic.Pointer[loads]

	mu sync.Mutex
	// loadsVersion counts the snapshots of loads.
	loadsVersion uint64
	// leaving holds the expiry of each leaving VM, by name and by address.
	leaving map[string]time.Time
	owned   map[netip.AddrPort]*ownedTarget
	// closing holds the pools of released targets until their last connection
	// is closed.
	closing map[*pooler.Pool]netip.AddrPort
	pollers sync.WaitGroup
}

// New returns a connector that owns no targets.
func New(relay string, incarnation uint64, timers *timer.Service, d *dispatcher.Dispatcher, p Publisher, t *tracer.Tracer, log *zap.Logger) *Connector {
	return &Connector{
		relay: relay, incarnation: incarnation, timers: timers, dispatcher: d,
		publisher: p, tracer: t, log: log,
		leaving: make(map[string]time.Time),
		owned:   make(map[netip.AddrPort]*ownedTarget),
		closing: make(map[*pooler.Pool]netip.AddrPort),
	}
}

// Own replaces the set of owned targets: it connects to new targets and releases
// those that are no longer in the set.
func (c *Connector) Own(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[netip.AddrPort]Target, len(targets))
	for _, t := range targets {
		wanted[t.Address] = t
	}
	for address, owned := range c.owned {
		t, ok := wanted[address]
		if !ok || !t.equalExceptShares(owned.config) {
			c.release(owned)
			continue
		}
		owned.setAllotment(t.Allotment)
	}
	for address, t := range wanted {
		if _, ok := c.owned[address]; !ok {
			c.owned[address] = c.connect(t)
		}
	}
}

// MarkLeaving marks VMs, given by name or by address, that the platform lists as
// leaving. Targets on them get no new work until the mark expires. The mark
// outlasts a single list because the list lags, so two readers may disagree.
func (c *Connector) MarkLeaving(names, addresses []string) {
	until := c.timers.Now().Add(leavingRetention)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range append(slices.Clone(names), addresses...) {
		c.leaving[vm] = until
	}
	for _, owned := range c.owned {
		if c.isLeaving(owned.config) && !owned.leaving {
			owned.leaving = true
			owned.pollNow()
		}
	}
}

// isLeaving reports whether a target's VM is leaving. The caller holds c.mu.
func (c *Connector) isLeaving(t Target) bool {
	now := c.timers.Now()
	return now.Before(c.leaving[t.Name]) || now.Before(c.leaving[t.Address.String()])
}

// Connections describes a relay's connections and load at one target.
type Connections struct {
	Limit     int
	Allotment int
	Open      int
	Load      *peerpb.TargetLoad
}

// Connections returns the connections and load at each owned target, by address.
func (c *Connector) Connections() map[netip.AddrPort]Connections {
	c.mu.Lock()
	defer c.mu.Unlock()
	byAddress := make(map[netip.AddrPort]Connections, len(c.owned))
	for address, owned := range c.owned {
		load, _ := c.dispatcher.Load(address.String())
		byAddress[address] = Connections{
			Limit: owned.config.Connections, Allotment: owned.config.Allotment, Open: owned.pool.Open(), Load: load,
		}
	}
	return byAddress
}

// Usage counts a relay's connections at one target.
type Usage struct {
	// Open counts the open connections, including those of a released target
	// whose running requests have not ended yet.
	Open int
	// Refused counts the connections that the target has refused, starting anew
	// when the target is released.
	Refused int64
}

// UsageByAddress returns the usage of each target that is owned or still has open
// connections.
func (c *Connector) UsageByAddress() map[netip.AddrPort]Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	usages := make(map[netip.AddrPort]Usage, len(c.owned)+len(c.closing))
	for address, owned := range c.owned {
		usages[address] = Usage{Open: owned.pool.Open(), Refused: owned.pool.Refused()}
	}
	for pool, address := range c.closing {
		// A released target is reported once with no open connections, so that
		// the next owner gets its share.
		usage := usages[address]
		usage.Open += pool.Open()
		usages[address] = usage
		if pool.Open() == 0 {
			delete(c.closing, pool)
		}
	}
	return usages
}

// Probe calls the status endpoint of a target; a target that is not owned yields
// no error.
func (c *Connector) Probe(ctx context.Context, target netip.AddrPort) error {
	c.mu.Lock()
	owned, ok := c.owned[target]
	c.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := owned.pool.Status(ctx)
	return err
}

// OwnedCount returns the number of owned targets.
func (c *Connector) OwnedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.owned)
}

// Close releases every target and waits until status polling has stopped.
func (c *Connector) Close() {
	c.Own(nil)
	c.pollers.Wait()
}

func (c *Connector) release(owned *ownedTarget) {
	owned.stop()
	c.dispatcher.Remove(owned.config.Address.String())
	c.publisher.RemoveTarget(owned.config.Service, owned.config.Set, owned.config.Name)
	delete(c.owned, owned.config.Address)
	c.closing[owned.pool] = owned.config.Address
	c.log.Info("target released", zap.String("target", owned.config.Name), zap.Stringer("address", owned.config.Address))
}

func (c *Connector) connect(t Target) *ownedTarget {
	ctx, cancel := context.WithCancel(context.Background())
	owned := &ownedTarget{
		connector: c, config: t, stop: cancel,
		pool: pooler.New(pooler.Config{Address: t.Address, Allotment: t.Allotment}),
		poll: make(chan struct{}, 1),
	}
	c.dispatcher.Put(dispatcher.TargetConfig{
		Name:    t.Address.String(),
		Limiter: limiter.DefaultConfig(t.Slots, t.Owners),
		Client:  &client{pool: owned.pool, tracer: c.tracer, onResult: owned.jobEnded},
	})
	c.pollers.Go(func() { owned.pollUntilDone(ctx) })
	c.log.Info("target owned", zap.String("target", t.Name), zap.Stringer("address", t.Address), zap.Int("allotment", t.Allotment))
	return owned
}
