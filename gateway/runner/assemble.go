package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/administrator"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/meter"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/ticketer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/gateway/courier"
	"jackdawcart.org/gateway/executor"
	"jackdawcart.org/gateway/issuer"
	"jackdawcart.org/gateway/mirrorer"
	"jackdawcart.org/gateway/reporter"
	"jackdawcart.org/gateway/responder"
	"jackdawcart.org/gateway/subscriber"
)

const (
	// ticketRetention is how long an outcome is kept after its ticket has expired,
	// so that a late retry still receives it.
	ticketRetention = 10 * time.Minute
	maxResultBytes  = 16 << 20
	storeTimeout    = 2 * time.Second
)

// gateway holds the components of the process.
type gateway struct {
	settings      *loader.Settings
	log           *zap.Logger
	keys          messenger.KeySource
	hello         *peerpb.Hello
	tracing       *tracer.Tracer
	metrics       *meter.Meter
	timers        *timer.Service
	peers         *messenger.Peers
	links         *messenger.Links
	table         *planner.Table
	subscriptions *subscriber.Subscriber
	control       controlView
	engine        *scatterer.Engine
	tickets       *issuer.Issuer
	handler       *responder.Responder
	admin         *administrator.Server
}

// assemble creates the components without starting them.
func assemble(ctx context.Context, settings *loader.Settings, version string) (*gateway, error) {
	keys, err := loader.NewKeySource(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	tracing, err := tracer.New(ctx, settings.TraceEndpoint, settings.TraceShare, processName, settings.Node)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		settings: settings, keys: keys, tracing: tracing, hello: helloOf(settings, version),
		log:     logger.New(settings.LogLevel, processName, settings.Node),
		metrics: meter.New(processName, settings.Node),
		timers:  timer.NewService(),
		table:   planner.NewTable(),
	}
	g.peers = messenger.NewPeers(keys, g.hello)
	g.links = messenger.NewLinks(g.peers)
	g.subscriptions = subscriber.New(settings, g.peers, g.table, g.timers, g.log)
	relayClient := courier.New(g.links, g.subscriptions)
	g.subscriptions.OnLiveRelay(relayClient.Preconnect)
	g.control = controlView{g.subscriptions, relayClient}
	g.engine = scatterer.New(scatterer.DefaultConfig(settings.FailureDomain), g.timers, g.table, relayClient)
	execute := executor.New(g.timers, g.table, relayClient, settings.FailureDomain)
	relayClient.SetReceiver(receiver{g.engine, execute})
	if g.tickets, err = g.newIssuer(execute); err != nil {
		return nil, err
	}
	g.handler = g.newResponder()
	g.admin = g.newAdminServer()
	return g, nil
}

func helloOf(settings *loader.Settings, version string) *peerpb.Hello {
	return &peerpb.Hello{
		Node: settings.Node, Incarnation: uint64(time.Now().UnixNano()), FailureDomain: settings.FailureDomain,
		Role: peerpb.Role_ROLE_GATEWAY, Protocol: messenger.ProtocolVersion,
		SessionAddress: settings.SessionAddress.String(), CallerAddress: settings.CallerAddress.String(), Version: version,
	}
}

func (g *gateway) newIssuer(runner issuer.Runner) (*issuer.Issuer, error) {
	return issuer.New(issuer.Config{
		Table: ticketer.Config{
			Node: g.settings.Node, Incarnation: g.hello.Incarnation, Lifetime: g.settings.TicketExpiry,
			Retention: ticketRetention, MaxTickets: g.settings.MaxTickets, MaxResultBytes: maxResultBytes,
		},
		Keys: g.keys, Timers: g.timers, Runner: runner, Directory: g.subscriptions, Sessions: g.peers, Log: g.log,
		Store: keeper.NewClient(keeper.Settings{Address: g.settings.PlatformAddress, CallTimeout: storeTimeout}),
	})
}

func (g *gateway) newResponder() *responder.Responder {
	return responder.New(responder.Config{
		Timers: g.timers, Table: g.table, Engine: g.engine, Control: g.control, Tracer: g.tracing,
		Issuer: g.tickets, Mirror: mirrorer.New(g.engine, g.timers, g.metrics.Scope, g.log),
		TicketExpiry: g.settings.TicketExpiry,
		Metrics:      g.metrics.Scope, Log: g.log, MaxQueries: g.settings.MaxQueries,
	})
}

// newAdminServer returns the HTTP server for operators.
func (g *gateway) newAdminServer() *administrator.Server {
	admin := administrator.New(func() (bool, string) { return readiness(g.control, g.handler) }, g.metrics.Handler)
	origin := adminapi.Origin{Node: g.settings.Node, Process: processName, FailureDomain: g.settings.FailureDomain}
	report := reporter.New(origin, g.subscriptions, g.table)
	admin.AddView("members", report.Members)
	admin.AddView("targets", report.Targets)
	admin.AddView("configuration", report.Configuration)
	admin.AddView("quarantine", report.Quarantine)
	admin.AddView("explain", report.Explain)
	return admin
}
