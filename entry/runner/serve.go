package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/router"
	"jackdawcart.org/platform/decoder"
)

// Phases of a graceful shutdown, as shares of the grace period of the platform.
const (
	// acceptShare is how long new connections are still accepted, because the load
	// balancer notices the stop only after two health checks.
	acceptShare = 0.55
	// finishShare is when the process stops waiting for running requests. The rest
	// is for withdrawing its registration and for exiting; in the last sixth no
	// target works on its requests.
	finishShare = 0.85
)

// serveHTTP serves callers, health checks and metrics until the context ends, and
// then shuts down.
func (e *entry) serveHTTP(ctx context.Context) error {
	limits := NewLimitedListener(func() router.Limits {
		if table := e.state.Table(); table != nil {
			return table.Limits
		}
		return router.Limits{}
	})
	callers := &http.Server{Handler: e.responder, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log), ConnState: limits.OnState}
	ready := http.NewServeMux()
	ready.Handle(decoder.ReadyPath, e.ready)
	balancer := &http.Server{Handler: ready, ReadHeaderTimeout: time.Second}
	metrics := &http.Server{Handler: e.metrics.Handler, ReadHeaderTimeout: time.Second}
	failed := make(chan error, 3)
	for _, s := range []struct {
		server  *http.Server
		address netip.AddrPort
		wrap    func(net.Listener) net.Listener
	}{
		{callers, e.platform.CallerAddress, limits.Wrap},
		{balancer, e.platform.ReadinessAddress, noWrap},
		{metrics, e.port(e.own.MetricsPort), noWrap},
	} {
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return err
		}
		go func() { failed <- s.server.Serve(s.wrap(listener)) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return e.shutdown(callers, balancer, metrics)
}

func noWrap(l net.Listener) net.Listener { return l }

// maxHeaderBytes limits the memory for the head of a request. The limit in the
// configuration is lower, and callers observe it.
const maxHeaderBytes = 64 << 10

// shutdown fails the health checks so that the load balancer sends no new callers,
// then stops accepting connections, and then waits for running requests.
func (e *entry) shutdown(callers, balancer, metrics *http.Server) error {
	began := e.timers.Now()
	e.log.Info("stopping", zap.Duration("grace", e.platform.ShutdownGrace))
	e.ready.stop()
	e.responder.Stop()
	grace := float64(e.platform.ShutdownGrace)
	time.Sleep(time.Duration(acceptShare * grace))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(finishShare*grace)))
	defer cancel()
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		e.log.Warn("requests still running when the time to finish them ended", zap.Error(err))
		err = nil
	}
	return errors.Join(err, balancer.Close(), metrics.Close())
}
