// Package runner assembles and runs a relay process.
package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
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

const (
	process      = "relay"
	storeTimeout = 2 * time.Second
	drainPeriod  = 10 * time.Millisecond
	// flushTime is how long queued answers may take to be written at a stop.
	flushTime = 100 * time.Millisecond
)

// Run runs a relay until the context ends, then stops it gracefully.
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
	incarnation := uint64(time.Now().UnixNano())
	hello := &peerpb.Hello{
		Node: settings.Node, Incarnation: incarnation, FailureDomain: settings.FailureDomain,
		Role: peerpb.Role_ROLE_RELAY, Protocol: messenger.ProtocolVersion,
		SessionAddress: settings.SessionAddress.String(), Version: version,
	}
	timers := timer.NewService()
	metrics := meter.New(process, settings.Node)
	publish := publisher.New(settings.Node)
	inspect := inspector.New(incarnation, timers, publish, log)
	dispatch := dispatcher.New(timers, inspect)
	connect := connector.New(settings.Node, incarnation, timers, dispatch, publish, spans, log)
	forward := forwarder.New(timers, dispatch, inspect, connect, settings.MaxSubRequests, log)
	peers := messenger.NewPeers(keys, hello)
	control := controller.New(controller.Config{
		Settings: settings, Incarnation: incarnation, Version: version, Timers: timers,
		Store: keeper.NewClient(keeper.Settings{Address: settings.PlatformAddress, CallTimeout: storeTimeout}),
		Peers: peers, Publisher: publish, Connector: connect, Quarantine: inspect, Log: log,
	})
	admin := administrator.New(func() (bool, string) { return control.Ready(), "no configuration in force" }, metrics.Handler)
	report := reporter.New(adminapi.Origin{
		Node: settings.Node, Process: process, FailureDomain: settings.FailureDomain,
	}, control, publish, connect, inspect)
	admin.Show("members", report.Members)
	admin.Show("targets", report.Targets)
	admin.Show("configuration", report.Configuration)
	admin.Show("quarantine", report.Quarantine)
	if err := admin.Listen(ctx, settings.AdminAddress); err != nil {
		return err
	}
	listener, err := acceptor.Listen(ctx, settings.SessionListener())
	if err != nil {
		return err
	}
	accept := acceptor.New(keys, hello, streams{publish, forward, control}.serve, log)
	log.Info("relay started", zap.String("version", version), zap.Stringer("address", settings.SessionAddress))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	inspect.Connect(connect, control)
	go inspect.Run(work)
	go control.Run(work)
	go accept.Run(work, listener)
	<-ctx.Done()
	drain(settings, control, forward, log)
	connect.Close()
	dispatch.Close()
	stop()
	peers.Close()
	log.Info("relay stopped")
	return errors.Join(admin.Close(), metrics.Close(), spans.Shutdown(context.WithoutCancel(ctx)))
}

// drain tells the peers that this relay leaves, works on until they have had
// time to hear, and ends what is in flight.
func drain(settings *loader.Settings, control *controller.Controller, forward *forwarder.Forwarder, log *zap.Logger) {
	log.Info("relay drains", zap.Int64("held", forward.Held()))
	control.Leave()
	time.Sleep(settings.LeaveTime)
	forward.Refuse()
	deadline := time.Now().Add(settings.DrainTime)
	for forward.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPeriod)
	}
	// The last answers are queued on streams, whose close would drop them.
	time.Sleep(flushTime)
}

// streams hands each stream to the part that serves its first frame.
type streams struct {
	publisher  *publisher.Publisher
	forwarder  *forwarder.Forwarder
	controller *controller.Controller
}

func (s streams) serve(ctx context.Context, peer *peerpb.Hello, stream *messenger.Stream) {
	first, err := stream.Receive()
	// A frame of a later version, whose kind is unknown here, decides nothing.
	for err == nil && first.Kind == nil {
		first, err = stream.Receive()
	}
	if err != nil {
		return
	}
	switch kind := first.Kind.(type) {
	case *peerpb.Frame_Subscribe:
		s.subscribe(peer, stream, kind.Subscribe)
	case *peerpb.Frame_Batch, *peerpb.Frame_Cancel, *peerpb.Frame_Execute:
		s.forwarder.Serve(ctx, peer, stream, first)
	default:
		s.controller.Serve(peer, stream, first)
	}
}

// subscribe serves a subscriber until its stream ends.
func (s streams) subscribe(peer *peerpb.Hello, stream *messenger.Stream, wanted *peerpb.Subscribe) {
	defer s.controller.RegisterGateway(peer)()
	s.publisher.Subscribe(stream, wanted)
	defer s.publisher.Unsubscribe(stream)
	for {
		if _, err := stream.Receive(); err != nil {
			return
		}
	}
}
