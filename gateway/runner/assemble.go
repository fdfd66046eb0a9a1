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
	// ticketRetention is how long an outcome is remembered after its ticket has
	// expired, so that a late repetition still gets it.
	ticketRetention = 10 * time.Minute
	maxResultBytes  = 16 << 20
	storeTimeout    = 2 * time.Second
)

// gateway holds the parts of the process.
type gateway struct {
	settings  *loader.Settings
	log       *zap.Logger
	keys      messenger.KeySource
	hello     *peerpb.Hello
	spans     *tracer.Tracer
	metrics   *meter.Meter
	timers    *timer.Service
	peers     *messenger.Peers
	links     *messenger.Links
	table     *planner.Table
	subscribe *subscriber.Subscriber
	control   controlView
	engine    *scatterer.Engine
	issue     *issuer.Issuer
	respond   *responder.Responder
	admin     *administrator.Server
}

// assemble joins the parts, without starting any.
func assemble(ctx context.Context, settings *loader.Settings, version string) (*gateway, error) {
	keys, err := loader.NewKeySource(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	spans, err := tracer.New(ctx, settings.TraceEndpoint, settings.TraceShare, process, settings.Node)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		settings: settings, keys: keys, spans: spans, hello: helloOf(settings, version),
		log:     logger.New(settings.LogLevel, process, settings.Node),
		metrics: meter.New(process, settings.Node),
		timers:  timer.NewService(),
		table:   planner.NewTable(),
	}
	g.peers = messenger.NewPeers(keys, g.hello)
	g.links = messenger.NewLinks(g.peers)
	g.subscribe = subscriber.New(settings, g.peers, g.table, g.timers, g.log)
	carry := courier.New(g.links, g.subscribe)
	g.subscribe.OnRelay(carry.Warm)
	g.control = controlView{g.subscribe, carry}
	g.engine = scatterer.New(scatterer.DefaultConfig(settings.FailureDomain), g.timers, g.table, carry)
	execute := executor.New(g.timers, g.table, carry, settings.FailureDomain)
	carry.SetReceiver(receiver{g.engine, execute})
	if g.issue, err = g.newIssuer(execute); err != nil {
		return nil, err
	}
	g.respond = g.newResponder()
	g.admin = g.administer()
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
		Keys: g.keys, Timers: g.timers, Runner: runner, Directory: g.subscribe, Sessions: g.peers, Log: g.log,
		Store: keeper.NewClient(keeper.Settings{Address: g.settings.PlatformAddress, CallTimeout: storeTimeout}),
	})
}

func (g *gateway) newResponder() *responder.Responder {
	return responder.New(responder.Config{
		Timers: g.timers, Table: g.table, Engine: g.engine, Control: g.control, Tracer: g.spans,
		Issuer: g.issue, Mirror: mirrorer.New(g.engine, g.timers, g.metrics.Scope, g.log),
		TicketExpiry: g.settings.TicketExpiry,
		Metrics:      g.metrics.Scope, Log: g.log, MaxQueries: g.settings.MaxQueries,
	})
}

// administer returns the interface for operators.
func (g *gateway) administer() *administrator.Server {
	admin := administrator.New(func() (bool, string) { return ready(g.control, g.respond) }, g.metrics.Handler)
	origin := adminapi.Origin{Node: g.settings.Node, Process: process, FailureDomain: g.settings.FailureDomain}
	report := reporter.New(origin, g.subscribe, g.table)
	admin.AddView("members", report.Members)
	admin.AddView("targets", report.Targets)
	admin.AddView("configuration", report.Configuration)
	admin.AddView("quarantine", report.Quarantine)
	admin.AddView("explain", report.Explain)
	return admin
}
