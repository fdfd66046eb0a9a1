// Package runner assembles and runs a relay process.
package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/loader"
)

const (
	processName     = "relay"
	storeTimeout    = 2 * time.Second
	drainPollPeriod = 10 * time.Millisecond
	// measurePeriod is how often gauges are updated.
	measurePeriod = time.Second
	// flushTime is how long queued answers may take to be written at shutdown.
	flushTime = 100 * time.Millisecond
)

// Run runs a relay until the context ends, then shuts it down gracefully.
func Run(ctx context.Context, settings *loader.Settings, version string) error {
	r, err := assemble(ctx, settings, version)
	if err != nil {
		return err
	}
	return r.serve(ctx)
}

// serve accepts requests until the context ends, then drains and shuts down.
func (r *relay) serve(ctx context.Context) error {
	if err := r.admin.Listen(ctx, r.settings.AdminAddress); err != nil {
		return err
	}
	listener, err := acceptor.Listen(ctx, r.settings.SessionBindAddress())
	if err != nil {
		return err
	}
	sessions := acceptor.New(r.keys, r.hello, streamRouter{r.publisher, r.forwarder, r.controller}.serve, r.log)
	r.log.Info("relay started", zap.String("version", r.hello.Version), zap.Stringer("address", r.settings.SessionAddress))
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.inspector.Run(workCtx)
	go r.controller.Run(workCtx)
	go sessions.Run(workCtx, listener)
	go r.updateGauges(workCtx)
	<-ctx.Done()
	r.drain()
	r.connector.Close()
	r.dispatcher.Close()
	stop()
	r.peers.Close()
	r.log.Info("relay stopped")
	return errors.Join(r.admin.Close(), r.metrics.Close(), r.tracer.Shutdown(context.WithoutCancel(ctx)))
}

// updateGauges updates the relay's gauges until the context ends.
func (r *relay) updateGauges(ctx context.Context) {
	held := r.metrics.Scope.Gauge("held_requests")
	owned := r.metrics.Scope.Gauge("owned_targets")
	quarantined := r.metrics.Scope.Gauge("quarantined_requests")
	ticks := r.timers.Every(measurePeriod)
	defer ticks.Stop()
	for {
		held.Update(float64(r.forwarder.Held()))
		owned.Update(float64(r.connector.OwnedCount()))
		quarantined.Update(float64(len(r.inspector.Entries())))
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// drain announces that this relay leaves, keeps serving for the leave time so that
// peers and gateways receive the announcement, then refuses new requests and waits
// up to the drain time for those in flight.
func (r *relay) drain() {
	r.log.Info("relay drains", zap.Int64("held", r.forwarder.Held()))
	r.controller.Leave()
	time.Sleep(r.settings.LeaveTime)
	r.forwarder.Refuse()
	deadline := time.Now().Add(r.settings.DrainTime)
	for r.forwarder.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
	// The last answers are still queued on streams; closing those would drop them.
	time.Sleep(flushTime)
}
