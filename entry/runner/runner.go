// Package runner assembles, runs and stops the process of an entry VM.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/entry/follower"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/entry/inspector"
	"jackdawcart.org/entry/quoter"
	"jackdawcart.org/entry/responder"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

const process = "entry"

// longOutage is the length of a store outage from which the registrations of live
// targets may have expired: two of their usual heartbeat intervals.
const longOutage = 2400 * time.Millisecond

// Files holds the paths of the settings files.
type Files struct {
	Own      string
	Platform string
}

type entry struct {
	files Files
	// own and platform are the settings with which the process has started, and inForce
	// those of the last reload.
	own       configurer.Settings
	platform  decoder.Settings
	inForce   atomic.Pointer[Settings]
	reloadMu  sync.Mutex
	logLevel  zap.AtomicLevel
	logLines  *logger.Bounded
	log       *zap.Logger
	metrics   *meter.Meter
	spans     *tracer.Tracer
	timers    *timer.Service
	store     *storer.Client
	link      *supervisor.Link
	state     *follower.State
	follower  *follower.Follower
	announcer *announcer.Announcer
	placer    *placer.Placer
	shares    *sharer.Group
	// peerClient and peerServer share observations of targets with the other entry
	// VMs of the failure domain.
	peerClient *informer.Client
	peerServer *informer.Server
	inspector  *inspector.Inspector
	delegator  *delegator.Delegator
	// quoter is nil without quotas.
	quoter        *quoter.Quoter
	pools         *courier.Pools
	responder     *responder.Responder
	ready         *readiness
	guard         *Guard
	reloadSignals <-chan os.Signal

	boundsMu sync.Mutex
	bounds   placer.Limits
}

// Run serves until the context ends, and then finishes the requests that are
// running. It reloads its files on each signal from reload.
func Run(ctx context.Context, files Files, reload <-chan os.Signal, version string) error {
	e, err := assemble(ctx, files, version)
	if err != nil {
		return err
	}
	e.reloadSignals = reload
	return e.serve(ctx)
}

func assemble(ctx context.Context, files Files, version string) (*entry, error) {
	own, err := configurer.Load(files.Own)
	if err != nil {
		return nil, err
	}
	platform, err := decoder.LoadSettings(files.Platform)
	if err != nil {
		return nil, err
	}
	if err := own.CheckPorts(platform.FirstPort, platform.LastPort, platform.QuotaWindow > 0); err != nil {
		return nil, err
	}
	spans, err := tracer.New(ctx, own.TraceEndpoint, own.TraceShare, process, platform.VM)
	if err != nil {
		return nil, err
	}
	e := &entry{
		files: files, own: own, platform: platform, spans: spans,
		logLines: logger.NewBounded(), metrics: meter.New(process, platform.VM), timers: timer.NewService(),
	}
	e.inForce.Store(&Settings{Own: own, Platform: platform})
	e.logLevel = zap.NewAtomicLevelAt(own.LogLevel)
	e.log = logger.NewTo(e.logLines, e.logLevel, process, platform.VM)
	placement := placer.DefaultConfig()
	placement.MinHedgeShare = e.own.MinHedgeShare
	e.placer = placer.New(placement, e.platform.VM, e.platform.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.shares = sharer.NewGroup(sharer.DefaultConfig())
	e.assembleFollowing()
	e.assembleServing()
	limitHeap(e.platform.MemoryBytes)
	e.log.Info("start", zap.String("version", version), zap.String("domain", platform.Domain),
		zap.Stringer("callers", platform.CallerAddress), zap.Stringer("store", platform.StoreAddress))
	return e, nil
}

func (e *entry) assembleFollowing() {
	e.store = storer.NewClient(e.platform.StoreAddress, e.own.StoreTimeout, storer.Hooks{Called: e.countCall, Restored: e.onStoreRestored})
	e.link = supervisor.NewLink(e.timers.Now(), longOutage)
	config := follower.DefaultConfig(applyBound(e.platform), e.platform.StabilityWindow)
	config.Domain = e.platform.Domain
	e.state = follower.NewState(config.GracePeriod)
	e.inspector = inspector.New(dial, e.timers, e.metrics.Scope, e.log)
	self := registrar.Member{
		Name: e.platform.VM, Domain: e.platform.Domain, Address: e.port(e.own.PeerPort), RequestAddress: e.port(e.own.RequestPort),
	}
	e.delegator = delegator.New(self, dial, e.timers)
	self = e.assembleQuotas(self)
	peerConfig := informer.DefaultConfig()
	peerConfig.SetMemory(int64(e.platform.MemoryBytes))
	peerConfig.Rejected = e.countRejected
	e.peerClient = informer.NewClient(peerConfig, self, dial, e.store, e.placer, e.shares, e.inspector, e.timers, e.countExchange, e.log)
	e.peerServer = informer.NewServer(peerConfig, e.link, e.store, e.placer, e.shares, e.inspector, e.timers, e.log)
	e.follower = follower.New(config, e.store, e.link, peers{e.peerClient, e.peerServer}, e.state, e.timers, e.log,
		follower.Listeners{
			Table: e.onTable, Target: e.onTarget, EntryVMs: e.onEntryVMs, Evacuated: e.onEvacuated,
			AllItems: e.inspector.ReplaceItems, ChangedItems: e.inspector.ApplyItems, Rejected: e.countRejected,
		})
	e.announcer = announcer.New(announcer.DefaultConfig(e.platform.ShutdownGrace), self, e.peerServer.HasClients, e.peerClient.Informed, e.store, e.link, e.timers, e.log)
}

// onStoreRestored records that the store has come back from an older copy.
func (e *entry) onStoreRestored(before, now uint64) {
	e.log.Warn("store restored from an older copy", zap.Uint64("era-before", before), zap.Uint64("era", now))
	e.metrics.Scope.Counter("store_restorations").Inc(1)
	// Ends the waiting watches, which belong to the former era.
	e.link.Interrupt()
}

// peers gives the follower access to the other entry VMs.
type peers struct {
	*informer.Client
	*informer.Server
}

// port returns this VM's address with the port at an offset from the first port
// that is reserved for traffic between VMs.
func (e *entry) port(offset int) netip.AddrPort {
	return netip.AddrPortFrom(e.platform.Address, e.platform.FirstPort+uint16(offset))
}

func (e *entry) countExchange(outcome string) {
	e.metrics.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("peer_exchanges").Inc(1)
}

func (e *entry) countRejected(kind string) {
	e.metrics.Scope.Tagged(map[string]string{"kind": kind}).Counter("entries_rejected").Inc(1)
}

func (e *entry) assembleServing() {
	e.bounds.EntryVMs, e.bounds.Uncounted, e.bounds.Domains = assumedEntryVMs, true, e.platform.Domains
	e.setBounds(e.platform)
	e.pools = courier.New(dial, courier.Hooks{
		Count:        func(event string) { e.metrics.Scope.Counter("connections_" + event).Inc(1) },
		SetReachable: e.setReachable, Ended: e.inspector.ConnectionEnded,
	})
	config := responder.DefaultConfig()
	config.Query.CallerTime = e.own.CallerTime
	dependencies := responder.Dependencies{
		Domain: e.platform.Domain, Regions: e.platform.Regions, Directory: e.state, Placer: e.placer, Pools: e.pools, Timers: e.timers, Spans: e.spans,
		Inspector: e.inspector, Detector: diverter.NewDetector(), Delegator: e.delegator, Shares: e.shares, OnVacated: e.follower.Vacate,
	}
	if e.quoter != nil {
		dependencies.Quoter = e.quoter
	}
	e.responder = responder.New(config, dependencies, e.metrics.Scope, e.log)
	e.ready = &readiness{state: e.state}
	e.guard = NewGuard(e.platform.MemoryBytes, e.platform.MaxFDs, e.writeTimeout, e.metrics.Scope, e.log)
}

// assumedEntryVMs is used as the number of entry VMs until it is known.
const assumedEntryVMs = 9

func (e *entry) onEntryVMs(members []registrar.Member) {
	e.peerClient.SetMembers(members)
	e.delegator.SetMembers(members)
	if e.quoter != nil {
		e.quoter.SetMembers(members)
	}
	e.boundsMu.Lock()
	defer e.boundsMu.Unlock()
	e.bounds.EntryVMs, e.bounds.Uncounted = len(members), false
	e.bounds.VMsByDomain = make(map[string]int)
	for _, m := range members {
		e.bounds.VMsByDomain[m.Domain]++
	}
	e.placer.SetLimits(e.bounds)
}

// setBounds applies the limits that all VMs share from the platform settings.
func (e *entry) setBounds(platform decoder.Settings) {
	e.boundsMu.Lock()
	defer e.boundsMu.Unlock()
	e.bounds.RepeatRatio, e.bounds.RepeatExtra = platform.RepeatRatio, platform.RepeatExtra
	e.bounds.RepeatWindow = platform.RepeatWindow
	e.bounds.ColdOverage, e.bounds.ColdSlack = platform.ColdOverage, platform.ColdSlack
	e.placer.SetLimits(e.bounds)
}

func (e *entry) countCall(call, outcome string, took time.Duration) {
	scope := e.metrics.Scope.Tagged(map[string]string{"call": call, "outcome": outcome})
	scope.Counter("store_calls").Inc(1)
	if call == storer.CallWatch {
		// A watch lasts until something changes, so its latency says nothing.
		return
	}
	scope.Histogram("store_call_latency", meter.LatencyBuckets).RecordDuration(took)
}

func (e *entry) onTarget(event registrar.Event) {
	record := event.Record
	e.inspector.TargetChanged(event)
	switch event.Change {
	case registrar.Removed, registrar.Drained, registrar.Vacated:
		e.pools.Retire(record.ID)
		if event.Change == registrar.Removed {
			e.placer.Forget(record.Service, record.ID)
		}
	case registrar.Restarted:
		e.pools.Retire(record.ID)
		e.placer.Forget(record.Service, record.ID)
		e.preconnectTarget(e.state.Table(), record)
	case registrar.Added:
		e.preconnectTarget(e.state.Table(), record)
	case registrar.Unchanged, registrar.Held, registrar.Updated:
	}
}

// onEvacuated ends the connections to the targets of evacuated failure domains, on which
// requests may be waiting, and reopens those to the others.
func (e *entry) onEvacuated(domains container.Set[string]) {
	e.metrics.Scope.Gauge("evacuated_domains").Update(float64(len(domains)))
	for _, record := range e.state.InDomains(domains) {
		e.pools.Retire(record.ID)
	}
	if table := e.state.Table(); table != nil {
		e.preconnect(table)
	}
}

func (e *entry) onTable(table *router.Table) {
	if e.quoter != nil {
		e.quoter.SetWorkspaces(table.Workspaces())
	}
	e.sweepState(table)
	e.preconnect(table)
}

// preconnect opens connections to the targets of a new configuration before the
// first request needs them.
func (e *entry) preconnect(table *router.Table) {
	for _, service := range table.RoutedServices() {
		for _, record := range e.state.Targets(service) {
			e.preconnectTarget(table, record)
		}
	}
}

// sweepState drops what is known of services and routes that are gone.
func (e *entry) sweepState(table *router.Table) {
	hasService := func(name string) bool {
		_, ok := table.Service(name)
		return ok
	}
	e.placer.Sweep(e.timers.Now(), hasService, table.HasRoute)
	services, routes, targets := e.placer.Len()
	for name, n := range map[string]int{"tracked_services": services, "tracked_routes": routes, "tracked_targets": targets} {
		e.metrics.Scope.Gauge(name).Update(float64(n))
	}
}

// preconnectTarget keeps a connection open to a target if a route leads to its
// service and this VM prefers it. The other targets rarely get a request from this VM.
func (e *entry) preconnectTarget(table *router.Table, record registrar.Record) {
	if table == nil || record.Draining || e.placer.Leaving(record) || !table.RoutesTo(record.Service) {
		return
	}
	service, _ := table.Service(record.Service)
	if !e.placer.ShouldPreconnect(record.ID, e.state.Targets(record.Service), service.MaxConnections) {
		return
	}
	e.pools.Pool(record.ID, record.Address, courier.Options{MaxOpen: e.placer.Connections(service.MaxConnections)}).Preconnect()
}

// setReachable records whether connections to a target can be opened, and logs a
// change.
func (e *entry) setReachable(target string, reachable bool) {
	if e.placer.Reachable(target) != reachable {
		e.log.Info("target reachability", zap.String("target", target), zap.Bool("reachable", reachable))
	}
	e.placer.SetReachable(target, reachable)
	if !reachable {
		e.inspector.ConnectionEnded(target)
	}
}

// targetKeepAlive detects dead connections to targets about three seconds after the
// last packet from them.
var targetKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: targetKeepAlive}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// serve runs the background tasks, each in its own goroutine, and the HTTP servers.
// After the servers have stopped, it ends the tasks and closes what they use.
func (e *entry) serve(ctx context.Context) error {
	tasks, stop := context.WithCancel(context.Background())
	logging, stopLog := context.WithCancel(context.Background())
	var running, writing sync.WaitGroup
	writing.Go(func() { e.logLines.Run(logging, os.Stdout) })
	listener, err := net.Listen("tcp", e.port(e.own.PeerPort).String())
	if err != nil {
		stop()
		stopLog()
		writing.Wait()
		return err
	}
	if err := e.startQuotas(tasks, &running); err != nil {
		listener.Close()
		stop()
		running.Wait()
		stopLog()
		writing.Wait()
		return err
	}
	running.Go(func() { e.peerServer.Serve(tasks, e.guard.ListenMessages(listener)) })
	for _, task := range []func(context.Context){
		e.follower.Run, e.follower.SweepExpired, e.announcer.Run, e.watchFiles, e.peerServer.Exchange,
		e.inspector.Run, e.publishReports, e.responder.Probe,
	} {
		running.Go(func() { task(tasks) })
	}
	err = e.serveHTTP(ctx)
	stop()
	if e.quoter != nil {
		// Requests of other VMs that it has forwarded end with it.
		e.quoter.Close()
	}
	running.Wait()
	e.peerClient.Close()
	e.delegator.Close()
	e.pools.Close()
	e.timers.Close()
	e.log.Info("stop", zap.Error(err))
	stopLog()
	writing.Wait()
	return errors.Join(err, e.metrics.Close(), e.spans.Shutdown(context.Background()))
}

func (e *entry) publishReports(ctx context.Context) { e.inspector.Publish(ctx, e.store, e.link) }
