// Package runner assembles, serves and stops the process of an entry VM.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/supervisor"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/follower"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/entry/responder"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

const process = "entry"

// longOutage is the outage of the store from which registrations may have
// lapsed although their targets live: two of the targets' usual heartbeats.
const longOutage = 2400 * time.Millisecond

// Files are the paths of the settings.
type Files struct {
	Own      string
	Platform string
}

type entry struct {
	files    Files
	own      configurer.Settings
	platform decoder.Settings
	lines    *logger.Bounded
	log      *zap.Logger
	metrics  *meter.Meter
	spans    *tracer.Tracer
	timers   *timer.Service
	store    *storer.Client
	link     *supervisor.Link
	state    *follower.State
	follow   *follower.Follower
	announce *announcer.Announcer
	place    *placer.Placer
	// asking and informing share with the other VMs of the failure domain.
	asking    *informer.Client
	informing *informer.Server
	couriers  *courier.Pools
	respond   *responder.Responder
	ready     *readiness
	hup       <-chan os.Signal

	boundsMu sync.Mutex
	bounds   placer.Limits
}

// Run serves until the context ends, and then finishes what has begun. Each
// signal on reload makes it read its files again.
func Run(ctx context.Context, files Files, reload <-chan os.Signal, version string) error {
	e, err := assemble(ctx, files, version)
	if err != nil {
		return err
	}
	e.hup = reload
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
	if err := own.CheckPorts(platform.FirstPort, platform.LastPort); err != nil {
		return nil, err
	}
	spans, err := tracer.New(ctx, own.TraceEndpoint, own.TraceShare, process, platform.VM)
	if err != nil {
		return nil, err
	}
	e := &entry{
		files: files, own: own, platform: platform, spans: spans,
		lines: logger.NewBounded(), metrics: meter.New(process, platform.VM), timers: timer.NewService(),
	}
	e.log = logger.NewTo(e.lines, own.LogLevel, process, platform.VM)
	e.place = placer.New(placer.DefaultConfig(), e.platform.VM, e.platform.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.assembleFollowing()
	e.assembleServing()
	e.log.Info("start", zap.String("version", version), zap.String("domain", platform.Domain),
		zap.Stringer("callers", platform.Callers), zap.Stringer("store", platform.Store))
	return e, nil
}

func (e *entry) assembleFollowing() {
	e.store = storer.NewClient(e.platform.Store, e.own.StoreTimeout, e.countCall)
	e.link = supervisor.NewLink(e.timers.Now(), longOutage)
	config := follower.DefaultConfig(min(e.platform.DrainNotice, e.platform.ConfigurationBound), e.platform.Calm)
	config.Domain = e.platform.Domain
	e.state = follower.NewState(config.Hold)
	self := registrar.Member{Name: e.platform.VM, Domain: e.platform.Domain, Address: e.port(e.own.PeerPort)}
	sharing := informer.DefaultConfig()
	e.asking = informer.NewClient(sharing, self, dial, e.place, e.timers, e.countExchange, e.log)
	e.informing = informer.NewServer(sharing, e.link, e.place, e.timers, e.log)
	e.follow = follower.New(config, e.store, e.link, peers{e.asking, e.informing}, e.state, e.timers, e.log,
		follower.Listeners{Table: e.warm, Target: e.onTarget, EntryVMs: e.onEntryVMs})
	e.announce = announcer.New(announcer.DefaultConfig(e.platform.ShutdownGrace), self, e.informing.Serves, e.store, e.link, e.timers, e.log)
}

// peers are the other entry VMs as the follower sees them.
type peers struct {
	*informer.Client
	*informer.Server
}

// port returns an own address, whose port counts from the first one between VMs.
func (e *entry) port(offset int) netip.AddrPort {
	return netip.AddrPortFrom(e.platform.Address, e.platform.FirstPort+uint16(offset))
}

func (e *entry) countExchange(outcome string) {
	e.metrics.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("peer_exchanges").Inc(1)
}

func (e *entry) assembleServing() {
	e.bounds.EntryVMs, e.bounds.Domains = assumedEntryVMs, e.platform.Domains
	e.setBounds(e.platform)
	e.couriers = courier.New(dial, func(event string) { e.metrics.Scope.Counter("connections_" + event).Inc(1) }, e.onReach)
	config := responder.DefaultConfig()
	config.Query.CallerTime = e.own.CallerTime
	e.respond = responder.New(config, responder.Dependencies{
		Domain: e.platform.Domain, Directory: e.state, Placer: e.place, Pools: e.couriers, Timers: e.timers, Spans: e.spans, OnVacated: e.follow.Vacate,
	}, e.metrics.Scope, e.log)
	e.ready = &readiness{state: e.state}
}

// assumedEntryVMs stands in for the number of entry VMs until they are counted.
const assumedEntryVMs = 9

func (e *entry) onEntryVMs(members []registrar.Member) {
	e.asking.SetMembers(members)
	e.boundsMu.Lock()
	defer e.boundsMu.Unlock()
	e.bounds.EntryVMs = len(members)
	e.place.SetLimits(e.bounds)
}

// setBounds takes over the bounds of repeated work.
func (e *entry) setBounds(platform decoder.Settings) {
	e.boundsMu.Lock()
	defer e.boundsMu.Unlock()
	e.bounds.RepeatRatio, e.bounds.RepeatExtra = platform.RepeatRatio, platform.RepeatExtra
	e.bounds.RepeatWindow = platform.RepeatWindow
	e.place.SetLimits(e.bounds)
}

func (e *entry) countCall(call, outcome string, took time.Duration) {
	scope := e.metrics.Scope.Tagged(map[string]string{"call": call, "outcome": outcome})
	scope.Counter("store_calls").Inc(1)
	if call == storer.CallWatch {
		// A watch takes as long as nothing changes.
		return
	}
	scope.Histogram("store_call_latency", meter.LatencyBuckets).RecordDuration(took)
}

func (e *entry) onTarget(event registrar.Event) {
	record := event.Record
	switch event.Change {
	case registrar.Removed, registrar.Drained, registrar.Vacated:
		e.couriers.Retire(record.ID)
		if event.Change == registrar.Removed {
			e.place.Forget(record.Service, record.ID)
		}
	case registrar.Restarted:
		e.couriers.Retire(record.ID)
		e.place.Forget(record.Service, record.ID)
		e.warmTarget(e.state.Table(), record)
	case registrar.Added:
		e.warmTarget(e.state.Table(), record)
	case registrar.Unchanged, registrar.Held, registrar.Updated:
	}
}

// warm opens connections to the targets of a version before requests come.
func (e *entry) warm(table *router.Table) {
	for _, service := range table.RoutedServices() {
		for _, record := range e.state.Targets(service) {
			e.warmTarget(table, record)
		}
	}
}

// warmTarget keeps a connection open to a target that a route leads to and that
// this VM prefers. The others are rarely asked.
func (e *entry) warmTarget(table *router.Table, record registrar.Record) {
	if table == nil || record.Draining || !table.RoutesTo(record.Service) {
		return
	}
	service, _ := table.Service(record.Service)
	if !e.place.ShouldPreconnect(record.ID, e.state.Targets(record.Service), service.MaxConnections) {
		return
	}
	e.couriers.Pool(record.ID, record.Address, courier.Options{MaxOpen: e.place.Connections(service.MaxConnections)}).Warm()
}

// onReach hears whether a connection to a target opened.
func (e *entry) onReach(target string, opened bool) {
	if e.place.Reachable(target) != opened {
		e.log.Info("target reachability", zap.String("target", target), zap.Bool("reachable", opened))
	}
	e.place.SetReachable(target, opened)
}

// targetKeepAlive finds connections that have gone silent, about three seconds
// after the last sign of life.
var targetKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: targetKeepAlive}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// serve runs every duty in its own goroutine.
func (e *entry) serve(ctx context.Context) error {
	duties, stop := context.WithCancel(context.Background())
	logging, stopLog := context.WithCancel(context.Background())
	var running, writing sync.WaitGroup
	writing.Go(func() { e.lines.Run(logging, os.Stdout) })
	listener, err := net.Listen("tcp", e.port(e.own.PeerPort).String())
	if err != nil {
		stop()
		stopLog()
		return err
	}
	running.Go(func() { e.informing.Serve(duties, listener) })
	for _, duty := range []func(context.Context){
		e.follow.Run, e.follow.SweepHeld, e.announce.Run, e.followFiles, e.informing.Exchange,
	} {
		running.Go(func() { duty(duties) })
	}
	err = e.serveHTTP(ctx)
	stop()
	running.Wait()
	e.asking.Close()
	e.couriers.Close()
	e.timers.Close()
	e.log.Info("stop", zap.Error(err))
	stopLog()
	writing.Wait()
	return errors.Join(err, e.metrics.Close(), e.spans.Shutdown(context.Background()))
}

// readiness answers the platform's balancer.
type readiness struct {
	state    *follower.State
	mu       sync.Mutex
	stopping bool
}

func (r *readiness) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// ServeHTTP answers 200 while the process can serve and does not stop.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if stopping || r.state.Table() == nil || r.state.Known() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
