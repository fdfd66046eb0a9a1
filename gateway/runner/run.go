// Package runner assembles and runs a gateway process.
package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/administrator"
	"jackdawcart.org/core/callerapi"
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

const process = "gateway"

// maxHeaderBytes bounds the headers of a caller's request.
const maxHeaderBytes = 16 << 10

const (
	// ticketRetention is how long an outcome is remembered after its ticket has
	// expired, so that a late repetition still gets it.
	ticketRetention = 10 * time.Minute
	maxResultBytes  = 16 << 20
	storeTimeout    = 2 * time.Second
)

// lastRequestTime is how long a caller may take to send its request on a
// connection that was accepted just before the gateway stopped listening.
const lastRequestTime = 250 * time.Millisecond

// Run runs a gateway until the context ends, then stops it gracefully.
func Run(ctx context.Context, settings *loader.Settings, version string) error {
	log := logger.New(settings.LogLevel, process, settings.Node)
	keys, err := loader.NewKeySource(settings.KeyFile)
	if err != nil {
		return err
	}
	spans, err := tracer.New(ctx, settings.TraceEndpoint, settings.TraceShare, process, settings.Node)
	if err != nil {
		return err
	}
	hello := &peerpb.Hello{
		Node: settings.Node, Incarnation: uint64(time.Now().UnixNano()), FailureDomain: settings.FailureDomain,
		Role: peerpb.Role_ROLE_GATEWAY, Protocol: messenger.ProtocolVersion,
		SessionAddress: settings.SessionAddress.String(), CallerAddress: settings.CallerAddress.String(), Version: version,
	}
	timers := timer.NewService()
	metrics := meter.New(process, settings.Node)
	peers := messenger.NewPeers(keys, hello)
	table := planner.NewTable()
	subscribe := subscriber.New(settings, peers, table, timers, log)
	links := messenger.NewLinks(peers)
	carry := courier.New(links, subscribe)
	engine := scatterer.New(scatterer.DefaultConfig(settings.FailureDomain), timers, table, carry)
	execute := executor.New(timers, table, carry, settings.FailureDomain)
	carry.SetReceiver(receiver{engine, execute})
	issue, err := issuer.New(issuer.Config{
		Table: ticketer.Config{
			Node: settings.Node, Incarnation: hello.Incarnation, Lifetime: settings.TicketExpiry,
			Retention: ticketRetention, MaxTickets: settings.MaxTickets, MaxResultBytes: maxResultBytes,
		},
		Keys: keys, Timers: timers, Runner: execute, Directory: subscribe, Sessions: peers, Log: log,
		Store: keeper.NewClient(keeper.Settings{Address: settings.PlatformAddress, CallTimeout: storeTimeout}),
	})
	if err != nil {
		return err
	}
	subscribe.OnRelay(carry.Warm)
	control := controlView{subscribe, carry}
	respond := responder.New(responder.Config{
		Timers: timers, Table: table, Engine: engine, Control: control, Tracer: spans,
		Issuer: issue, Mirror: mirrorer.New(engine, timers, metrics.Scope, log), TicketExpiry: settings.TicketExpiry,
		Metrics: metrics.Scope, Log: log, MaxQueries: settings.MaxQueries,
	})
	admin := administrator.New(func() (bool, string) { return ready(control, respond) }, metrics.Handler)
	report := reporter.New(adminapi.Origin{
		Node: settings.Node, Process: process, FailureDomain: settings.FailureDomain,
	}, subscribe, table)
	admin.Show("members", report.Members)
	admin.Show("targets", report.Targets)
	admin.Show("configuration", report.Configuration)
	admin.Show("quarantine", report.Quarantine)
	admin.Show("explain", report.Explain)
	if err := admin.Listen(ctx, settings.AdminAddress); err != nil {
		return err
	}
	server, callers, err := serveCallers(ctx, settings, respond, log)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go subscribe.Run(work)
	listener, err := acceptor.Listen(ctx, settings.SessionListener())
	if err != nil {
		return err
	}
	accept := acceptor.New(keys, hello, issue.Serve, log)
	go accept.Run(work, listener)
	go issue.Run(work)
	go issue.SettleClaims(work)
	log.Info("gateway started", zap.String("version", version), zap.Stringer("address", settings.CallerAddress))
	<-ctx.Done()
	drain(settings, respond, server, callers, log)
	handOver(ctx, settings, issue)
	stop()
	links.Close()
	peers.Close()
	log.Info("gateway stopped")
	return errors.Join(admin.Close(), metrics.Close(), spans.Shutdown(context.WithoutCancel(ctx)))
}

// controlView is ready once a configuration is in force and the links to the
// relays that are known by then have been opened.
type controlView struct {
	*subscriber.Subscriber
	courier *courier.Courier
}

// Ready reports whether queries can be answered.
func (c controlView) Ready() bool { return c.Subscriber.Ready() && c.courier.Ready() }

func ready(control controlView, respond *responder.Responder) (bool, string) {
	switch {
	case respond.Leaving():
		return false, "stopping"
	case !control.Subscriber.Ready():
		return false, "no configuration in force"
	case !control.Ready():
		return false, "links to relays are being opened"
	default:
		return true, ""
	}
}

func serveCallers(ctx context.Context, settings *loader.Settings, respond *responder.Responder, log *zap.Logger) (*http.Server, net.Listener, error) {
	api, err := callerapi.NewServer(respond, callerapi.WithErrorHandler(respond.WriteError))
	if err != nil {
		return nil, nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", settings.CallerAddress.String())
	if err != nil {
		return nil, nil, err
	}
	listener = netutil.LimitListener(listener, settings.MaxCallerConnections)
	server := &http.Server{
		Handler:           closeOnLeave(http.MaxBytesHandler(api, int64(settings.MaxBodyBytes)), respond),
		ReadHeaderTimeout: settings.HeaderTimeout,
		ReadTimeout:       settings.ReadTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	go server.Serve(listener) //nolint:errcheck // Serve ends when the listener is closed.
	return server, listener, nil
}

// closeOnLeave ends each connection with its next answer while the gateway
// leaves. Otherwise the stop would close idle connections on which a caller
// may be sending a request at that moment.
func closeOnLeave(next http.Handler, respond *responder.Responder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if respond.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain lets the balancer see that this gateway leaves, then ends every
// request in flight.
func drain(settings *loader.Settings, respond *responder.Responder, server *http.Server, callers net.Listener, log *zap.Logger) {
	respond.Leave()
	log.Info("gateway drains", zap.Int64("live", respond.Live()))
	time.Sleep(settings.LeaveTime)
	// A request that the server reads after the start of Shutdown is dropped
	// without an answer, so connections are refused first.
	callers.Close()
	time.Sleep(lastRequestTime)
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("requests were still in flight", zap.Int64("live", respond.Live()), zap.Error(err))
	}
	respond.Stop()
}

// handOver ends the tickets of this gateway.
func handOver(ctx context.Context, settings *loader.Settings, issue *issuer.Issuer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.DrainTime)
	defer cancel()
	issue.Stop(ctx)
}

// receiver hands the answers of relays to the parts that wait for them.
type receiver struct {
	engine   *scatterer.Engine
	executor *executor.Executor
}

// Deliver hands on the answer of a sub-request.
func (r receiver) Deliver(answer *peerpb.SubAnswer) { r.engine.Deliver(answer) }

// DeliverExecute hands on the answer of a non-idempotent request.
func (r receiver) DeliverExecute(answer *peerpb.ExecuteAnswer) { r.executor.Deliver(answer) }

// Lost fails what was in flight at a relay.
func (r receiver) Lost(relay string) {
	r.engine.LostRelay(relay)
	r.executor.LostRelay(relay)
}
