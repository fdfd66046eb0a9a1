package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/administrator"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/controller"
	"jackdawcart.org/relay/forwarder"
	"jackdawcart.org/relay/inspector"
	"jackdawcart.org/relay/publisher"
	"jackdawcart.org/relay/reporter"
)

// relay holds the parts of the process.
type relay struct {
	settings *loader.Settings
	log      *zap.Logger
	keys     messenger.KeySource
	hello    *peerpb.Hello
	spans    *tracer.Tracer
	metrics  *meter.Meter
	timers   *timer.Service
	peers    *messenger.Peers
	publish  *publisher.Publisher
	inspect  *inspector.Inspector
	dispatch *dispatcher.Dispatcher
	connect  *connector.Connector
	forward  *forwarder.Forwarder
	control  *controller.Controller
	admin    *administrator.Server
}

// assemble joins the parts, without starting any.
func assemble(ctx context.Context, settings *loader.Settings, version string) (*relay, error) {
	keys, err := loader.NewKeySource(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	spans, err := tracer.New(ctx, settings.TraceEndpoint, settings.TraceShare, process, settings.Node)
	if err != nil {
		return nil, err
	}
	r := &relay{
		settings: settings, keys: keys, spans: spans, hello: helloOf(settings, version),
		log:     logger.New(settings.LogLevel, process, settings.Node),
		metrics: meter.New(process, settings.Node),
		publish: publisher.New(settings.Node),
	}
	timers, incarnation := timer.NewService(), r.hello.Incarnation
	r.timers = timers
	r.inspect = inspector.New(incarnation, timers, r.publish, r.log)
	r.dispatch = dispatcher.New(timers, r.inspect)
	r.connect = connector.New(settings.Node, incarnation, timers, r.dispatch, r.publish, spans, r.log)
	r.forward = forwarder.New(timers, r.dispatch, r.inspect, r.connect, settings.MaxSubRequests, r.metrics.Scope, r.log)
	r.peers = messenger.NewPeers(keys, r.hello)
	r.control = controller.New(controller.Config{
		Settings: settings, Incarnation: incarnation, Version: version, Timers: timers,
		Store: keeper.NewClient(keeper.Settings{Address: settings.PlatformAddress, CallTimeout: storeTimeout}),
		Peers: r.peers, Publisher: r.publish, Connector: r.connect, Quarantine: r.inspect, Log: r.log,
	})
	r.inspect.Connect(r.connect, r.control)
	r.admin = r.administer()
	return r, nil
}

func helloOf(settings *loader.Settings, version string) *peerpb.Hello {
	return &peerpb.Hello{
		Node: settings.Node, Incarnation: uint64(time.Now().UnixNano()), FailureDomain: settings.FailureDomain,
		Role: peerpb.Role_ROLE_RELAY, Protocol: messenger.ProtocolVersion,
		SessionAddress: settings.SessionAddress.String(), Version: version,
	}
}

// administer returns the interface for operators.
func (r *relay) administer() *administrator.Server {
	ready := func() (bool, string) { return r.control.Ready(), "no configuration in force" }
	admin := administrator.New(ready, r.metrics.Handler)
	origin := adminapi.Origin{Node: r.settings.Node, Process: process, FailureDomain: r.settings.FailureDomain}
	report := reporter.New(origin, r.control, r.publish, r.connect, r.inspect)
	admin.AddView("members", report.Members)
	admin.AddView("targets", report.Targets)
	admin.AddView("configuration", report.Configuration)
	admin.AddView("quarantine", report.Quarantine)
	return admin
}
