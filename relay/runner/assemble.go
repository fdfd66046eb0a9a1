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

// relay holds the components of the process.
type relay struct {
	settings   *loader.Settings
	log        *zap.Logger
	keys       messenger.KeySource
	hello      *peerpb.Hello
	tracer     *tracer.Tracer
	metrics    *meter.Meter
	timers     *timer.Service
	peers      *messenger.Peers
	publisher  *publisher.Publisher
	inspector  *inspector.Inspector
	dispatcher *dispatcher.Dispatcher
	connector  *connector.Connector
	forwarder  *forwarder.Forwarder
	controller *controller.Controller
	admin      *administrator.Server
}

// assemble creates and wires the components without starting them.
func assemble(ctx context.Context, settings *loader.Settings, version string) (*relay, error) {
	keys, err := loader.NewKeySource(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	spanTracer, err := tracer.New(ctx, settings.TraceEndpoint, settings.TraceShare, processName, settings.Node)
	if err != nil {
		return nil, err
	}
	r := &relay{
		settings: settings, keys: keys, tracer: spanTracer, hello: newHello(settings, version),
		log:       logger.New(settings.LogLevel, processName, settings.Node),
		metrics:   meter.New(processName, settings.Node),
		publisher: publisher.New(settings.Node),
	}
	timers, incarnation := timer.NewService(), r.hello.Incarnation
	r.timers = timers
	r.inspector = inspector.New(incarnation, timers, r.publisher, r.log)
	r.dispatcher = dispatcher.New(timers, r.inspector)
	r.connector = connector.New(settings.Node, incarnation, timers, r.dispatcher, r.publisher, spanTracer, r.log)
	r.forwarder = forwarder.New(timers, r.dispatcher, r.inspector, r.connector, settings.MaxSubRequests, r.metrics.Scope, r.log)
	r.peers = messenger.NewPeers(keys, r.hello)
	r.controller = controller.New(controller.Config{
		Settings: settings, Incarnation: incarnation, Version: version, Timers: timers,
		Store: keeper.NewClient(keeper.Settings{Address: settings.PlatformAddress, CallTimeout: storeTimeout}),
		Peers: r.peers, Publisher: r.publisher, Connector: r.connector, Quarantine: r.inspector, Log: r.log,
	})
	r.inspector.SetDependencies(r.connector, r.controller)
	r.admin = r.newAdminServer()
	return r, nil
}

func newHello(settings *loader.Settings, version string) *peerpb.Hello {
	return &peerpb.Hello{
		Node: settings.Node, Incarnation: uint64(time.Now().UnixNano()), FailureDomain: settings.FailureDomain,
		Role: peerpb.Role_ROLE_RELAY, Protocol: messenger.ProtocolVersion,
		SessionAddress: settings.SessionAddress.String(), Version: version,
	}
}

// newAdminServer returns the server of the admin interface.
func (r *relay) newAdminServer() *administrator.Server {
	ready := func() (bool, string) { return r.controller.Ready(), "no configuration in force" }
	admin := administrator.New(ready, r.metrics.Handler)
	origin := adminapi.Origin{Node: r.settings.Node, Process: processName, FailureDomain: r.settings.FailureDomain}
	views := reporter.New(origin, r.controller, r.publisher, r.connector, r.inspector)
	admin.AddView("members", views.Members)
	admin.AddView("targets", views.Targets)
	admin.AddView("configuration", views.Configuration)
	admin.AddView("quarantine", views.Quarantine)
	return admin
}
