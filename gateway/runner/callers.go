package runner

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/net/netutil"

	"go.uber.org/zap"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/gateway/responder"
)

// maxHeaderBytes limits the header size of a caller's request.
const maxHeaderBytes = 16 << 10

// serveCallers starts the HTTP server and returns it with its listener.
func (g *gateway) serveCallers(ctx context.Context) (*http.Server, net.Listener, error) {
	api, err := callerapi.NewServer(g.handler, callerapi.WithErrorHandler(g.handler.WriteError))
	if err != nil {
		return nil, nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", g.settings.CallerAddress.String())
	if err != nil {
		return nil, nil, err
	}
	listener = netutil.LimitListener(listener, g.settings.MaxCallerConnections)
	server := &http.Server{
		Handler:           closeOnLeave(http.MaxBytesHandler(api, int64(g.settings.MaxBodyBytes)), g.handler),
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		ReadTimeout:       g.settings.ReadTimeout,
		IdleTimeout:       g.settings.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	go server.Serve(listener) //nolint:errcheck // Serve ends when the listener is closed.
	return server, listener, nil
}

// closeOnLeave closes each connection after its next response while the gateway
// is leaving. Otherwise the shutdown would close idle connections on which a
// caller may be sending a request at that moment.
func closeOnLeave(next http.Handler, handler *responder.Responder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handler.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
