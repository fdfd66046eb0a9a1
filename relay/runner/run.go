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
	process      = "relay"
	storeTimeout = 2 * time.Second
	drainPeriod  = 10 * time.Millisecond
	// measurePeriod is how often gauges are updated.
	measurePeriod = time.Second
	// flushTime is how long queued answers may take to be written at a stop.
	flushTime = 100 * time.Millisecond
)

// Run runs a relay until the context ends, then stops it gracefully.
func Run(ctx context.Context, settings *loader.Settings, version string) error {
	r, err := assemble(ctx, settings, version)
	if err != nil {
		return err
	}
	return r.serve(ctx)
}

// serve accepts work until the context ends, then stops.
func (r *relay) serve(ctx context.Context) error {
	if err := r.admin.Listen(ctx, r.settings.AdminAddress); err != nil {
		return err
	}
	listener, err := acceptor.Listen(ctx, r.settings.SessionBindAddress())
	if err != nil {
		return err
	}
	accept := acceptor.New(r.keys, r.hello, streams{r.publish, r.forward, r.control}.serve, r.log)
	r.log.Info("relay started", zap.String("version", r.hello.Version), zap.Stringer("address", r.settings.SessionAddress))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.inspect.Run(work)
	go r.control.Run(work)
	go accept.Run(work, listener)
	go r.measure(work)
	<-ctx.Done()
	r.drain()
	r.connect.Close()
	r.dispatch.Close()
	stop()
	r.peers.Close()
	r.log.Info("relay stopped")
	return errors.Join(r.admin.Close(), r.metrics.Close(), r.spans.Shutdown(context.WithoutCancel(ctx)))
}

// measure keeps the gauges of the relay until the context ends.
func (r *relay) measure(ctx context.Context) {
	held := r.metrics.Scope.Gauge("held_requests")
	owned := r.metrics.Scope.Gauge("owned_targets")
	quarantined := r.metrics.Scope.Gauge("quarantined_requests")
	ticks := r.timers.Every(measurePeriod)
	defer ticks.Stop()
	for {
		held.Update(float64(r.forward.Held()))
		owned.Update(float64(r.connect.Owned()))
		quarantined.Update(float64(len(r.inspect.Entries())))
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// drain tells the peers that this relay leaves, works on until they have had
// time to hear, and ends what is in flight.
func (r *relay) drain() {
	r.log.Info("relay drains", zap.Int64("held", r.forward.Held()))
	r.control.Leave()
	time.Sleep(r.settings.LeaveTime)
	r.forward.Refuse()
	deadline := time.Now().Add(r.settings.DrainTime)
	for r.forward.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPeriod)
	}
	// The last answers are queued on streams, whose close would drop them.
	time.Sleep(flushTime)
}
