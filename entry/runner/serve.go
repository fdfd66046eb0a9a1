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
	"jackdawcart.org/core/stopper"
	"jackdawcart.org/platform/decoder"
)

// serveHTTP serves callers, health checks and metrics until the context ends, and
// then shuts down.
func (e *entry) serveHTTP(ctx context.Context) error {
	limits := NewLimitedListener(e.callerLimits)
	var busy busyConnections
	onState := func(c net.Conn, state http.ConnState) {
		limits.OnState(c, state)
		e.guard.OnState(c, state)
		busy.onState(c, state)
	}
	callers := e.newServer(e.guard.Handler(e.responder))
	callers.ConnState = onState
	ready := http.NewServeMux()
	ready.Handle(decoder.ReadyPath, e.ready)
	balancer := e.newServer(e.guard.Handler(ready))
	balancer.ReadHeaderTimeout, balancer.IdleTimeout = time.Second, internalIdleTimeout
	metrics := e.newServer(e.guard.ScrapeHandler(e.metrics.Handler))
	metrics.ReadHeaderTimeout, metrics.IdleTimeout = time.Second, internalIdleTimeout
	// delegated takes requests of callers that other VMs cannot serve.
	delegated := e.newServer(e.guard.Handler(http.HandlerFunc(e.responder.ServeDelegated)))
	delegated.ReadHeaderTimeout = delegatedHeaderTimeout
	delegated.ConnState = func(c net.Conn, state http.ConnState) {
		e.guard.OnState(c, state)
		busy.onState(c, state)
	}
	failed := make(chan error, 4)
	running, err := startServer(callers, e.platform.CallerAddress, func(l net.Listener) net.Listener { return e.guard.Listen(limits.Wrap(l)) }, failed)
	if err != nil {
		return err
	}
	takingOver, err := startServer(delegated, e.port(e.own.RequestPort), e.guard.Listen, failed)
	if err != nil {
		return err
	}
	if _, err := startServer(balancer, e.platform.ReadinessAddress, e.guard.Listen, failed); err != nil {
		return err
	}
	if _, err := startServer(metrics, e.port(e.own.MetricsPort), e.guard.Listen, failed); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return e.shutdown([]*runningServer{running, takingOver}, &busy, balancer, metrics)
}

// newServer returns a server whose connections are in the budget.
func (e *entry) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log),
		ConnState: e.guard.OnState, ConnContext: e.guard.ConnContext,
	}
}

// callerLimits returns the limits of the configuration in force.
func (e *entry) callerLimits() router.Limits {
	if table := e.state.Table(); table != nil {
		return table.Limits
	}
	return router.Limits{}
}

// writeTimeout returns how long a client may leave a part of its answer unread.
func (e *entry) writeTimeout() time.Duration {
	if timeout := e.callerLimits().IdleTimeout; timeout > 0 {
		return timeout
	}
	return defaultWriteTimeout
}

// internalIdleTimeout is how long a connection for readiness checks or metrics may stay
// without a request. Scrapes are at most a minute apart.
const internalIdleTimeout = 90 * time.Second

// delegatedHeaderTimeout limits the time in which another VM sends the head of a request.
const delegatedHeaderTimeout = time.Second

// runningServer is an HTTP server with its listener.
type runningServer struct {
	*http.Server
	listener net.Listener
	// ended is closed when the server accepts no more connections.
	ended chan struct{}
}

// startServer serves at an address. It passes the error with which that ends to failed,
// which must have room for it.
func startServer(server *http.Server, address netip.AddrPort, wrap func(net.Listener) net.Listener, failed chan<- error) (*runningServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &runningServer{server, listener, make(chan struct{})}
	go func() {
		defer close(s.ended)
		failed <- server.Serve(wrap(listener))
	}()
	return s, nil
}

// maxHeaderBytes limits the memory for the head of a request. The limit in the
// configuration is lower, and callers observe it.
const maxHeaderBytes = 64 << 10

// shutdown fails the health checks so that the load balancer sends no new callers,
// then stops accepting connections, and then waits for running requests.
func (e *entry) shutdown(callers []*runningServer, busy *busyConnections, balancer, metrics *http.Server) error {
	began := e.timers.Now()
	e.ready.stop()
	// The files may have changed since they were last read.
	e.reload("stop")
	grace := e.inForce.Load().Platform.ShutdownGrace
	e.log.Info("stopping", zap.Duration("grace", grace))
	plan := stopper.Plan{Began: began, Grace: grace}
	e.responder.Stop(plan)
	time.Sleep(plan.LastAccept().Sub(began))
	ctx, cancel := context.WithDeadline(context.Background(), plan.Close())
	defer cancel()
	// The server drops a request that it reads after the start of Shutdown without an
	// answer, so the connections that have been accepted are served first.
	var err error
	for _, server := range callers {
		err = errors.Join(err, server.listener.Close())
		<-server.ended
	}
	busy.awaitIdle(ctx, e.timers)
	for _, server := range callers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		e.log.Warn("requests still running when the time to finish them ended", zap.Error(err))
		err = nil
	}
	return errors.Join(err, balancer.Close(), metrics.Close())
}
