// Package runner assembles and runs a gateway process.
package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/loader"
)

const processName = "gateway"

// lastRequestWait is how long a caller may take to send its request on a
// connection that was accepted just before the gateway stopped listening.
const lastRequestWait = 250 * time.Millisecond

// Run runs a gateway until the context ends and then stops it gracefully.
func Run(ctx context.Context, settings *loader.Settings, version string) error {
	g, err := assemble(ctx, settings, version)
	if err != nil {
		return err
	}
	return g.serve(ctx)
}

// serve accepts requests until the context ends and then shuts down.
func (g *gateway) serve(ctx context.Context) error {
	if err := g.admin.Listen(ctx, g.settings.AdminAddress); err != nil {
		return err
	}
	server, callerListener, err := g.serveCallers(ctx)
	if err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go g.subscriptions.Run(workCtx)
	listener, err := acceptor.Listen(ctx, g.settings.SessionBindAddress())
	if err != nil {
		return err
	}
	accept := acceptor.New(g.keys, g.hello, g.tickets.Serve, g.log)
	go accept.Run(workCtx, listener)
	go g.tickets.Run(workCtx)
	go g.tickets.SettleClaims(workCtx)
	g.log.Info("gateway started", zap.String("version", g.hello.Version), zap.Stringer("address", g.settings.CallerAddress))
	<-ctx.Done()
	g.drain(server, callerListener)
	g.handOver(ctx)
	stop()
	g.links.Close()
	g.peers.Close()
	g.log.Info("gateway stopped")
	return errors.Join(g.admin.Close(), g.metrics.Close(), g.tracing.Shutdown(context.WithoutCancel(ctx)))
}

// drain lets the load balancer detect that this gateway is leaving, and then waits
// for the requests in flight.
func (g *gateway) drain(server *http.Server, callerListener net.Listener) {
	g.handler.Leave()
	g.log.Info("gateway drains", zap.Int64("live", g.handler.InFlight()))
	time.Sleep(g.settings.LeaveTime)
	// The server drops a request that it reads after the start of Shutdown without
	// an answer, so new connections are refused first.
	callerListener.Close()
	time.Sleep(lastRequestWait)
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.DrainTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("requests were still in flight", zap.Int64("live", g.handler.InFlight()), zap.Error(err))
	}
	g.handler.Stop()
}

// handOver withdraws the unused tickets of this gateway and hands the finished
// answers over.
func (g *gateway) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.DrainTime)
	defer cancel()
	g.tickets.Stop(ctx)
}
