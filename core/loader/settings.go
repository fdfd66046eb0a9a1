// Package loader reads the settings and the shared keys of a process.
package loader

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// Settings is the settings table of gateway and relay.
type Settings struct {
	// Node names the VM. The gateway and the relay of a VM have the same one.
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`

	// CallerAddress accepts the HTTP requests of callers (gateway only).
	CallerAddress netip.AddrPort `json:"caller-address"`
	// SessionAddress accepts sessions from other jackdawcart processes.
	SessionAddress netip.AddrPort `json:"session-address"`
	// SessionListenAddress is where the process listens for sessions if others
	// reach it at SessionAddress through a translation of addresses.
	SessionListenAddress netip.AddrPort `json:"session-listen-address"`
	// AdminAddress serves health, readiness, metrics and views for operators.
	AdminAddress netip.AddrPort `json:"admin-address"`

	// Relays are the relays of the own failure domain for a gateway, and the
	// first members to contact for a relay.
	Relays []netip.AddrPort `json:"relays"`
	// Neighbours are the other failure domains that can be reached.
	Neighbours      []Neighbour    `json:"neighbours"`
	PlatformAddress netip.AddrPort `json:"platform-address"`
	// KeyFile holds the shared keys; a relative path is resolved against the
	// directory of the settings file.
	KeyFile string `json:"key-file"`

	LogLevel zapcore.Level `json:"log-level"`
	// TraceEndpoint is the URL to which spans are sent by OTLP over HTTP.
	// Empty turns tracing off.
	TraceEndpoint string `json:"trace-endpoint"`
	// TraceShare is the share of the requests that are traced.
	TraceShare float64 `json:"trace-share"`

	// LeaveTime is how long a stopping process still accepts work, so that its
	// peers and the load balancer have time to hear that it leaves.
	LeaveTime time.Duration `json:"leave-time"`
	// DrainTime bounds how long a stopping process waits for requests in
	// flight, after the leave time.
	DrainTime time.Duration `json:"drain-time"`
	// TicketExpiry is how long a ticket stays valid.
	TicketExpiry time.Duration `json:"ticket-expiry"`
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration `json:"header-timeout"`
	// ReadTimeout bounds how long a caller may take to send a request.
	ReadTimeout time.Duration `json:"read-timeout"`
	// IdleTimeout closes a connection on which a caller sends no request.
	IdleTimeout time.Duration `json:"idle-timeout"`

	// MaxQueries bounds the queries that a gateway runs at once.
	MaxQueries int `json:"max-queries"`
	// MaxSubRequests bounds the sub-requests that a relay holds at once.
	MaxSubRequests int `json:"max-sub-requests"`
	// MaxTickets bounds the tickets whose state a gateway keeps.
	MaxTickets int `json:"max-tickets"`
	// MaxCallerConnections bounds the connections from callers.
	MaxCallerConnections int `json:"max-caller-connections"`
	MaxBodyBytes         int `json:"max-body-bytes"`
}

// SessionListener returns the address at which to listen for sessions.
func (s *Settings) SessionListener() netip.AddrPort {
	if s.SessionListenAddress.IsValid() {
		return s.SessionListenAddress
	}
	return s.SessionAddress
}

// Neighbour names relays of another failure domain.
type Neighbour struct {
	FailureDomain string           `json:"failure-domain"`
	Relays        []netip.AddrPort `json:"relays"`
}

// Defaults returns the settings that apply where a file gives no value.
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
