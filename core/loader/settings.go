// Package loader loads the settings and the shared keys of a process.
package loader

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// Settings holds the settings of a gateway or relay.
type Settings struct {
	// Node is the name of the VM, shared by its gateway and relay.
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`

	// CallerAddress is where a gateway listens for the HTTP requests of callers.
	CallerAddress netip.AddrPort `json:"caller-address"`
	// SessionAddress is where other jackdawcart processes reach this one.
	SessionAddress netip.AddrPort `json:"session-address"`
	// SessionListenAddress is where the process listens for sessions if
	// SessionAddress is subject to address translation.
	SessionListenAddress netip.AddrPort `json:"session-listen-address"`
	// AdminAddress is where the process serves health, readiness, metrics and the
	// admin API.
	AdminAddress netip.AddrPort `json:"admin-address"`

	// Relays are the relays of the gateway's own failure domain. For a relay, they
	// are the seed members to join.
	Relays []netip.AddrPort `json:"relays"`
	// Neighbours are the other reachable failure domains.
	Neighbours      []Neighbour    `json:"neighbours"`
	PlatformAddress netip.AddrPort `json:"platform-address"`
	// KeyFile is the path of the file with the shared keys. Load resolves a
	// relative path against the directory of the settings file.
	KeyFile string `json:"key-file"`

	LogLevel zapcore.Level `json:"log-level"`
	// TraceEndpoint is the URL to which spans are exported by OTLP over HTTP. If it
	// is empty, tracing is disabled.
	TraceEndpoint string `json:"trace-endpoint"`
	// TraceShare is the fraction of requests that are traced.
	TraceShare float64 `json:"trace-share"`

	// LeaveTime is how long a stopping process still accepts work, so that its
	// peers and the load balancer can detect that it is leaving.
	LeaveTime time.Duration `json:"leave-time"`
	// DrainTime is how long a stopping process waits for requests in flight after
	// LeaveTime has passed.
	DrainTime time.Duration `json:"drain-time"`
	// TicketExpiry is the lifetime of a ticket.
	TicketExpiry time.Duration `json:"ticket-expiry"`
	// HeaderTimeout is how long a caller may take to send the request headers.
	HeaderTimeout time.Duration `json:"header-timeout"`
	// ReadTimeout is how long a caller may take to send the whole request.
	ReadTimeout time.Duration `json:"read-timeout"`
	// IdleTimeout is how long a caller connection may stay idle between requests.
	IdleTimeout time.Duration `json:"idle-timeout"`

	// MaxQueries limits the concurrent queries of a gateway.
	MaxQueries int `json:"max-queries"`
	// MaxSubRequests limits the sub-requests that a relay holds at the same time.
	MaxSubRequests int `json:"max-sub-requests"`
	// MaxTickets limits the tickets whose state a gateway stores.
	MaxTickets int `json:"max-tickets"`
	// MaxCallerConnections limits the open connections from callers.
	MaxCallerConnections int `json:"max-caller-connections"`
	MaxBodyBytes         int `json:"max-body-bytes"`
}

// SessionBindAddress returns the address on which to listen for sessions.
func (s *Settings) SessionBindAddress() netip.AddrPort {
	if s.SessionListenAddress.IsValid() {
		return s.SessionListenAddress
	}
	return s.SessionAddress
}

// Neighbour lists the relays of another failure domain.
type Neighbour struct {
	FailureDomain string           `json:"failure-domain"`
	Relays        []netip.AddrPort `json:"relays"`
}

// Defaults returns the settings that apply to fields missing from a file.
func Defaults() Settings {
	return Settings{
		LogLevel:             zapcore.InfoLevel,
		TraceShare:           0.001,
		LeaveTime:            2 * time.Second,
		DrainTime:            15 * time.Second,
		TicketExpiry:         5 * time.Minute,
		HeaderTimeout:        2 * time.Second,
		ReadTimeout:          5 * time.Second,
		IdleTimeout:          2 * time.Minute,
		MaxQueries:           1000,
		MaxSubRequests:       20000,
		MaxTickets:           100000,
		MaxCallerConnections: 10000,
		MaxBodyBytes:         1 << 20,
	}
}
