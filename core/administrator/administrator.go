// Package administrator serves the operators' HTTP interface of a process:
// health, readiness, metrics and views of its state.
package administrator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"jackdawcart.org/core/adminapi"
)

const (
	headerTimeout = 2 * time.Second
	readTimeout   = 10 * time.Second
	// writeTimeout leaves time to record a CPU profile.
	writeTimeout   = time.Minute
	maxHeaderBytes = 16 << 10
)

// Readiness reports whether a process can accept work, and the reason if not.
type Readiness func() (ready bool, reason string)

// View returns the state of a process to be served as JSON.
type View func(request *http.Request) any

// Server is the admin interface of one process.
type Server struct {
	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
}

// New returns a server with health, readiness and metrics endpoints.
func New(ready Readiness, metrics http.Handler) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"state": "healthy"})
	})
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		if !ok {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"state": "not-ready", "reason": reason})
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
	})
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /v1/admin/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, adminapi.Failure{
			Code: adminapi.CodeNotServed, Message: "this process does not serve " + r.URL.Path,
		})
	})
	return &Server{
		mux: mux,
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      writeTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

// AddView serves a view under /v1/admin/.
func (s *Server) AddView(name string, view View) {
	s.mux.HandleFunc("GET /v1/admin/"+name, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, view(r))
	})
}

// Listen opens a listener on addr and serves it in the background.
func (s *Server) Listen(ctx context.Context, addr netip.AddrPort) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return &Error{Op: "listen", Kind: KindAddress, Err: err}
	}
	s.listener = listener
	go s.server.Serve(listener) //nolint:errcheck // Serve ends with the error of Close.
	return nil
}

// Close stops the server.
func (s *Server) Close() error { return s.server.Close() }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only when the operator has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
