// Package connector holds a relay's connections to the targets that it owns,
// and learns their state.
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
	// statusPeriod is how often a target is asked for its state. Three missed
	// or misleading answers still leave time within the 3 s in which a leaving
	// target must stop getting work.
	statusPeriod  = 500 * time.Millisecond
	statusTimeout = 400 * time.Millisecond
	// leavingMemory is how long a VM counts as leaving after the platform has
	// last named it. It exceeds several periods of the readers' news.
	leavingMemory = 10 * time.Second
	// lostAfter is the number of failed status calls after which a target
	// counts as lost.
	lostAfter = 2
	// refusalHold is how long a target that refused work as draining counts as
	// leaving although its status says that it serves. A drain takes about as
	// long.
	refusalHold = 30 * time.Second
	// warmConnections are opened ahead of demand by concurrent status calls.
	warmConnections = 2
)

// Target is a target to own, with the connections allowed to this relay.
type Target struct {
	Service       string
	Set           string
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	// Connections is the number that the target accepts from all relays.
	Connections int
	Allotment   int
	// Owners is the number of relays that share the target.
	Owners int
}

// sameTarget reports whether only the shares of the relays differ. The number
// of owners gives the least limit at the start; a change of it, as often as the
// members change, is not worth the loss of connections and queued requests.
func (t Target) sameTarget(other Target) bool {
	t.Allotment, t.Owners = other.Allotment, other.Owners
	return t == other
}

// Publisher is told the state of each target whenever it changes.
type Publisher interface {
	PutTarget(state *peerpb.TargetState)
	RemoveTarget(service, set, target string)
}

// Connector owns targets. The address identifies a target, because two
// services may be served by one process.
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
	leaving      map[string]time.Time
	owned        map[netip.AddrPort]*ownedTarget
	closing      map[*pooler.Pool]netip.AddrPort
	running      sync.WaitGroup
}

// New returns a connector that owns no target.
func New(relay string, incarnation uint64, timers *timer.Service, d *dispatcher.Dispatcher, p Publisher, t *tracer.Tracer, log *zap.Logger) *Connector {
	return &Connector{
		relay: relay, incarnation: incarnation, timers: timers, dispatcher: d,
		publisher: p, tracer: t, log: log,
		leaving: make(map[string]time.Time),
		owned:   make(map[netip.AddrPort]*ownedTarget),
		closing: make(map[*pooler.Pool]netip.AddrPort),
	}
}

// Own makes the given targets the owned ones: it connects to new ones, and
// ends the work of those that are no longer named.
func (c *Connector) Own(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[netip.AddrPort]Target, len(targets))
	for _, t := range targets {
		wanted[t.Address] = t
	}
	for address, owned := range c.owned {
		t, ok := wanted[address]
		if !ok || !t.sameTarget(owned.config) {
			c.drop(owned)
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

// MarkLeaving names VMs that the platform says are leaving, by name or by
// address. A target on one of them gets no new work until the platform has not
// named it for some time, because two readers of a lagging list may disagree.
func (c *Connector) MarkLeaving(names, addresses []string) {
	until := c.timers.Now().Add(leavingMemory)
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

// isLeaving is called with the lock held.
func (c *Connector) isLeaving(t Target) bool {
	now := c.timers.Now()
	return now.Before(c.leaving[t.Name]) || now.Before(c.leaving[t.Address.String()])
}

// Connections is what a relay holds at one target.
type Connections struct {
	Limit     int
	Allotment int
	Open      int
	Load      *peerpb.TargetLoad
}

// Connections returns what the relay holds at each owned target.
func (c *Connector) Connections() map[netip.AddrPort]Connections {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[netip.AddrPort]Connections, len(c.owned))
	for address, owned := range c.owned {
		load, _ := c.dispatcher.Load(address.String())
		held[address] = Connections{
			Limit: owned.config.Connections, Allotment: owned.config.Allotment, Open: owned.pool.Open(), Load: load,
		}
	}
	return held
}

// Use is what a relay has opened at one target.
type Use struct {
	// Open counts the connections, also of a target that was given up and
	// still ends its running requests.
	Open int
	// Refused counts the connections that the target has refused so far.
	Refused int64
}

// Uses returns the use of each target that has connections or is owned.
func (c *Connector) Uses() map[netip.AddrPort]Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := make(map[netip.AddrPort]Use, len(c.owned)+len(c.closing))
	for address, owned := range c.owned {
		uses[address] = Use{Open: owned.pool.Open(), Refused: owned.pool.Refused()}
	}
	for pool, address := range c.closing {
		// A given up target is reported once more when its last connection is
		// closed, so that the next owner gets its portion.
		use := uses[address]
		use.Open += pool.Open()
		uses[address] = use
		if pool.Open() == 0 {
			delete(c.closing, pool)
		}
	}
	return uses
}

// Probe asks an owned target for its state.
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

// Owned returns the number of owned targets.
func (c *Connector) Owned() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.owned)
}

// Close gives every target up and waits until running jobs have ended.
func (c *Connector) Close() {
	c.Own(nil)
	c.running.Wait()
}

func (c *Connector) drop(owned *ownedTarget) {
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
		Client:  &client{pool: owned.pool, tracer: c.tracer, ended: owned.jobEnded},
	})
	c.running.Go(func() { owned.watch(ctx) })
	c.log.Info("target owned", zap.String("target", t.Name), zap.Stringer("address", t.Address), zap.Int("allotment", t.Allotment))
	return owned
}
