// Package runner assembles and runs a relay process.
package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

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
	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/controller"
	"jackdawcart.org/relay/forwarder"
	"jackdawcart.org/relay/publisher"
)

const process = "relay"

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
	dispatch := dispatcher.New(timers, nil)
	connect := connector.New(settings.Node, incarnation, timers, dispatch, publish, spans, log)
	forward := forwarder.New(timers, dispatch, noQuarantine{}, settings.MaxSubRequests, log)
	control := &controller.Controller{
		Self: settings.SessionAddress, Relays: settings.Relays, Domain: settings.FailureDomain,
		Keeper:    keeper.NewClient(keeper.Settings{Address: settings.PlatformAddress, CallTimeout: 2 * time.Second}),
		Publisher: publish, Connector: connect, Log: log,
	}
	admin := administrator.New(func() (bool, string) { return true, "" }, metrics.Handler)
	if err := admin.Listen(ctx, settings.AdminAddress); err != nil {
		return err
	}
	listener, err := acceptor.Listen(ctx, settings.SessionAddress)
	if err != nil {
		return err
	}
	accept := acceptor.New(keys, hello, streams{publish, forward}.serve, log)
	log.Info("relay started", zap.String("version", version), zap.Stringer("address", settings.SessionAddress))
	go control.Run(ctx)
	accept.Run(ctx, listener)
	connect.Close()
	dispatch.Close()
	log.Info("relay stopped")
	return errors.Join(admin.Close(), metrics.Close(), spans.Shutdown(context.WithoutCancel(ctx)))
}

type noQuarantine struct{}

// Quarantined reports false.
func (noQuarantine) Quarantined(uint64) bool { return false }

// streams hands each stream to the part that serves its first frame.
type streams struct {
	publisher *publisher.Publisher
	forwarder *forwarder.Forwarder
}

func (s streams) serve(ctx context.Context, peer *peerpb.Hello, stream *messenger.Stream) {
	first, err := stream.Receive()
	if err != nil {
		return
	}
	if subscribe := first.GetSubscribe(); subscribe != nil {
		s.publisher.Subscribe(stream, subscribe)
		defer s.publisher.Unsubscribe(stream)
		for err == nil {
			_, err = stream.Receive()
		}
		return
	}
	s.forwarder.Serve(ctx, peer, stream, first)
}
