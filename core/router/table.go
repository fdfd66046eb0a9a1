// Package router selects the route of a request from one version of the
// configuration.
package router

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Share is a service's part of the requests on a route.
type Share struct {
	Service string
	Weight  float64
}

// Route says how requests on a host and path prefix are answered.
type Route struct {
	Name, Host, Prefix string
	// Repeatable is true for idempotent requests.
	Repeatable bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Aim is the time within which an answer is worth the most.
	Aim time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is the number of targets that a request, or the part of it
	// that concerns one shard, may be sent to.
	MaxAttempts int
	// Split names the services of a plain route.
	Split []Share
	// Shards names the services that each hold one shard of an index.
	Shards []string
	// Best is the number of records in the answer to a query over shards.
	Best int
	// LeastShare is the share of the shards below which an answer is no success.
	LeastShare float64
}

// Gathers reports whether the route asks every shard of an index.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Service describes the targets that share a name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It does not change.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	routes   map[string][]*Route
	routed   map[string]bool
}

// NewTable returns the table of the given routes and services.
func NewTable(version int64, limits Limits, routes []Route, services []Service) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		routes:   make(map[string][]*Route),
		routed:   make(map[string]bool),
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], &route)
		for _, shard := range route.Shards {
			t.routed[shard] = true
		}
		for _, share := range route.Split {
			t.routed[share.Service] = true
		}
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns the description of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Leads reports whether a route leads to the service.
func (t *Table) Leads(service string) bool { return t.routed[service] }

// Routed returns the services that routes lead to.
func (t *Table) Routed() []string { return slices.Sorted(maps.Keys(t.routed)) }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}
