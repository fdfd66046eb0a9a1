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

const process = "gateway"

// lastRequestTime is how long a caller may take to send its request on a
// connection that was accepted just before the gateway stopped listening.
const lastRequestTime = 250 * time.Millisecond

// Run runs a gateway until the context ends, then stops it gracefully.
func Run(ctx context.Context, settings *loader.Settings, version string) error {
	g, err := assemble(ctx, settings, version)
	if err != nil {
		return err
	}
	return g.serve(ctx)
}

// serve accepts work until the context ends, then stops.
func (g *gateway) serve(ctx context.Context) error {
	if err := g.admin.Listen(ctx, g.settings.AdminAddress); err != nil {
		return err
	}
	server, callers, err := g.serveCallers(ctx)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go g.subscribe.Run(work)
	listener, err := acceptor.Listen(ctx, g.settings.SessionListener())
	if err != nil {
		return err
	}
	accept := acceptor.New(g.keys, g.hello, g.issue.Serve, g.log)
	go accept.Run(work, listener)
	go g.issue.Run(work)
	go g.issue.SettleClaims(work)
	g.log.Info("gateway started", zap.String("version", g.hello.Version), zap.Stringer("address", g.settings.CallerAddress))
	<-ctx.Done()
	g.drain(server, callers)
	g.handOver(ctx)
	stop()
	g.links.Close()
	g.peers.Close()
	g.log.Info("gateway stopped")
	return errors.Join(g.admin.Close(), g.metrics.Close(), g.spans.Shutdown(context.WithoutCancel(ctx)))
}

// drain lets the balancer see that this gateway leaves, then ends every
// request in flight.
func (g *gateway) drain(server *http.Server, callers net.Listener) {
	g.respond.Leave()
	g.log.Info("gateway drains", zap.Int64("live", g.respond.InFlight()))
	time.Sleep(g.settings.LeaveTime)
	// A request that the server reads after the start of Shutdown is dropped
	// without an answer, so connections are refused first.
	callers.Close()
	time.Sleep(lastRequestTime)
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.DrainTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("requests were still in flight", zap.Int64("live", g.respond.InFlight()), zap.Error(err))
	}
	g.respond.Stop()
}

// handOver ends the tickets of this gateway.
func (g *gateway) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.DrainTime)
	defer cancel()
	g.issue.Stop(ctx)
}
