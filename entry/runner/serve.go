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

// Times of a planned stop, as parts of the grace that the platform gives.
const (
	// leaveShare is how long new connections are still taken: the balancer
	// notices after two of its questions.
	leaveShare = 0.55
	// finishShare is when what has begun is given up. The rest is for taking the
	// own entry back and for ending; targets work on nothing in the last sixth.
	finishShare = 0.85
)

// serveHTTP serves callers, the balancer and metrics until the context ends.
func (e *entry) serveHTTP(ctx context.Context) error {
	limits := NewLimitedListener(func() router.Limits {
		if table := e.state.Table(); table != nil {
			return table.Limits
		}
		return router.Limits{}
	})
	callers := &http.Server{Handler: e.respond, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log), ConnState: limits.OnState}
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
		{callers, e.platform.Callers, limits.Wrap},
		{balancer, e.platform.Readiness, plain},
		{metrics, e.port(e.own.MetricsPort), plain},
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
	return e.leave(callers, balancer, metrics)
}

func plain(l net.Listener) net.Listener { return l }

// maxHeaderBytes bounds the head of a request in memory. The limit of the
// configuration is lower, and callers keep to it.
const maxHeaderBytes = 64 << 10

// leave stops in order: no more callers by the balancer, then no new
// connections, then what has begun is finished.
func (e *entry) leave(callers, balancer, metrics *http.Server) error {
	began := e.timers.Now()
	e.log.Info("stopping", zap.Duration("grace", e.platform.ShutdownGrace))
	e.ready.stop()
	e.respond.Stop()
	grace := float64(e.platform.ShutdownGrace)
	time.Sleep(time.Duration(leaveShare * grace))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(finishShare*grace)))
	defer cancel()
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		e.log.Warn("requests were still running at the end", zap.Error(err))
		err = nil
	}
	return errors.Join(err, balancer.Close(), metrics.Close())
}
