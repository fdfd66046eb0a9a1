// Package controller runs the control plane of a relay: membership,
// configuration, ownership of targets and quarantine.
package controller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/publisher"
)

const (
	tickPeriod = 100 * time.Millisecond
	// inboxSize limits the queued control frames. The next probe or digest
	// makes up for a dropped frame.
	inboxSize = 8192
	// agePublishPeriod is how often the age of the configuration is published.
	agePublishPeriod = time.Second
)

// Store is the platform's key-value service and VM list.
type Store interface {
	List(ctx context.Context, prefix string) (keeper.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Listing, error)
	VMs(ctx context.Context) ([]keeper.VM, error)
}

// Quarantine handles the reports of other relays on requests that crash targets.
type Quarantine interface {
	HandleLost(lost *peerpb.LostTarget)
	HandleUpdate(update *peerpb.QuarantineUpdate)
	Entries() []*peerpb.QuarantineEntry
}

// Config holds the settings and dependencies of a controller.
type Config struct {
	Settings    *loader.Settings
	Incarnation uint64
	Version     string
	Timers      *timer.Service
	Store       Store
	Peers       *messenger.Peers
	Publisher   *publisher.Publisher
	Connector   *connector.Connector
	Quarantine  Quarantine
	Log         *zap.Logger
}

// Controller holds the control state. Only the goroutine of Run accesses it;
// other goroutines go through the inbox.
type Controller struct {
	config  Config
	links   *messenger.Links
	inbox   *buffer.Ring[event]
	rng     *rand.Rand
	ready   atomic.Bool
	stopped chan struct{}

	detector    *detector.Detector
	distributor *distributor.Distributor
	assigner    *assigner.Assigner
	documents   map[string]*parser.Document
	// domainTargets holds the targets of this failure domain in all documents.
	domainTargets []connector.Target
	// refusedCounts holds the last seen count of refused connections by target.
	refusedCounts map[netip.AddrPort]int64

	// inboundStreams holds the latest control stream that each node has opened.
	inboundStreams map[string]*messenger.Stream
	// discoveredAddresses holds the seed addresses at which nodes have answered.
	discoveredAddresses map[string]netip.AddrPort
	neighbours          map[string]string
	subscriptions       map[string]subscription

	membersRevision    uint64
	storeReadPending   bool
	watchAfter         uint64
	listedAt           time.Time
	vmReadPending      bool
	vmReadAt           time.Time
	vmSeeds            []seed
	discoveryStartedAt time.Time
	// sentLeaving is the last list of leaving VMs sent to the members.
	sentLeaving    *peerpb.LeavingVMs
	leavingSentAt  time.Time
	agePublishedAt time.Time
}

// event is an input of the control loop: a frame from a node, or a function to
// run.
type event struct {
	from   string
	stream *messenger.Stream
	frame  *peerpb.Frame
	run    func(now time.Time)
}

// New returns a controller whose only member is its own node.
func New(config Config) *Controller {
	s := config.Settings
	c := &Controller{
		config:  config,
		links:   messenger.NewLinks(config.Peers),
		inbox:   buffer.NewRing[event](inboxSize),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		stopped: make(chan struct{}),
		detector: detector.New(config.Timers.Now(), detector.Settings{
			Node: s.Node, FailureDomain: s.FailureDomain, RelayAddress: s.SessionAddress,
			Incarnation: config.Incarnation, Version: config.Version,
		}),
		distributor:         distributor.New(distributor.Settings{Node: s.Node, FailureDomain: s.FailureDomain}),
		assigner:            assigner.New(s.Node),
		documents:           make(map[string]*parser.Document),
		refusedCounts:       make(map[netip.AddrPort]int64),
		inboundStreams:      make(map[string]*messenger.Stream),
		discoveredAddresses: make(map[string]netip.AddrPort),
		neighbours:          make(map[string]string),
		subscriptions:       make(map[string]subscription),
	}
	c.links.SetHandler(c)
	return c
}

// Ready reports whether a configuration is in force.
func (c *Controller) Ready() bool { return c.ready.Load() }

// Run processes frames and timers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.stopped)
	ticks := c.config.Timers.Every(tickPeriod)
	defer ticks.Stop()
	defer c.links.Close()
	for {
		select {
		case e := <-c.inbox.C():
			c.handle(e)
		case <-ticks.C:
			c.tick(ctx)
		case <-ctx.Done():
			return
		}
		c.propagateChanges(ctx)
	}
}

// runInLoop runs a function in the control loop and waits until it returns or the
// loop has ended.
func (c *Controller) runInLoop(run func(now time.Time)) {
	done := make(chan struct{})
	e := event{run: func(now time.Time) {
		run(now)
		close(done)
	}}
	for !c.inbox.Put(e) {
		select {
		case <-time.After(time.Millisecond):
		case <-c.stopped:
			return
		}
	}
	select {
	case <-done:
	case <-c.stopped:
	}
}

// Leave announces the planned shutdown of this node to its peers.
func (c *Controller) Leave() {
	c.runInLoop(func(now time.Time) { c.sendMembers(c.detector.Leave(now)) })
}

// Broadcast sends a frame to the live relays of the failure domain and to the
// known relays of neighbouring failure domains.
func (c *Controller) Broadcast(frame *peerpb.Frame) {
	c.runInLoop(func(time.Time) { c.sendToAll(frame) })
}

// sendToMembers sends a frame to the live relays of the failure domain.
func (c *Controller) sendToMembers(frame *peerpb.Frame) {
	for _, m := range c.detector.Members() {
		if m.State.Live() && m.Node != c.config.Settings.Node {
			c.send(m.Node, m.RelayAddress, frame)
		}
	}
}

func (c *Controller) sendToAll(frame *peerpb.Frame) {
	c.sendToMembers(frame)
	for node := range c.neighbours {
		c.send(node, c.discoveredAddresses[node], frame)
	}
}

func (c *Controller) handle(e event) {
	now := c.config.Timers.Now()
	if e.run != nil {
		e.run(now)
		return
	}
	if e.stream != nil {
		c.inboundStreams[e.from] = e.stream
	}
	switch kind := e.frame.Kind.(type) {
	case *peerpb.Frame_LeavingVms:
		c.config.Connector.MarkLeaving(kind.LeavingVms.Names, kind.LeavingVms.Addresses)
		return
	case *peerpb.Frame_LostTarget:
		c.config.Quarantine.HandleLost(kind.LostTarget)
		return
	case *peerpb.Frame_QuarantineUpdate:
		c.config.Quarantine.HandleUpdate(kind.QuarantineUpdate)
		return
	}
	c.sendMembers(c.detector.Handle(now, e.from, e.frame))
	c.sendDocuments(c.distributor.Handle(now, c.rng, e.from, e.frame))
	c.sendOwnership(c.assigner.Handle(now, c.rng, e.from, e.frame))
}

func (c *Controller) tick(ctx context.Context) {
	now := c.config.Timers.Now()
	c.sendMembers(c.detector.Tick(now, c.rng))
	c.sendDocuments(c.distributor.Tick(now, c.rng))
	c.sendOwnership(c.assigner.Tick(now))
	c.applyAssignment(now)
	c.readStore(ctx, now)
	c.readVMs(ctx, now)
	c.discoverPeers(ctx, now)
	if now.Sub(c.agePublishedAt) >= agePublishPeriod {
		c.agePublishedAt = now
		c.publishDocuments(nil, now)
	}
}

// propagateChanges passes changed members and documents to the components that
// depend on them.
func (c *Controller) propagateChanges(ctx context.Context) {
	now := c.config.Timers.Now()
	c.detector.SetReachesStore(c.distributor.ReachesStore())
	viewChanged := c.detector.Revision() != c.membersRevision
	if viewChanged {
		c.membersRevision = c.detector.Revision()
		c.membersChanged(ctx, now)
	}
	documents := c.distributor.TakeChanges()
	if len(documents) > 0 {
		c.documentsChanged(documents, now)
	}
	if viewChanged || len(documents) > 0 {
		c.applyAssignment(now)
	}
	if c.distributor.Ready() {
		c.ready.Store(true)
	}
}

func (c *Controller) documentsChanged(documents []*peerpb.Document, now time.Time) {
	for _, d := range documents {
		if d.Deleted {
			delete(c.documents, d.Service)
			c.config.Log.Info("service deleted", zap.String("service", d.Service), zap.Uint64("revision", d.Revision))
			continue
		}
		doc, err := parser.Parse(d.Body)
		if err != nil {
			c.config.Log.Error("document cannot be used", zap.String("service", d.Service), zap.Uint64("revision", d.Revision), zap.Error(err))
			continue
		}
		c.documents[d.Service] = doc
		c.config.Log.Info("document in force", zap.String("service", d.Service), zap.Uint64("revision", d.Revision))
	}
	c.publishDocuments(documents, now)
	c.setTargets(now)
}

func (c *Controller) publishDocuments(documents []*peerpb.Document, now time.Time) {
	if !c.distributor.Ready() {
		return
	}
	confirmedAt := time.Time{}
	if age, ok := c.distributor.Age(now).Get(); ok {
		confirmedAt = now.Add(-age)
	}
	c.config.Publisher.PutDocuments(documents, c.distributor.StoreRevision(), confirmedAt)
}
