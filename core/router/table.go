// Package router matches requests to the routes of one configuration version.
package router

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	// Idempotent is true for idempotent requests.
	Idempotent bool
	// Timeout bounds the time in which a request is answered.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is the number of targets to which a request, or its part for
	// one shard, may be sent.
	MaxAttempts int
	// Split lists the services of a plain route.
	Split []WeightedService
	// Shards lists the services of a scatter-gather route. Each holds one shard
	// of an index.
	Shards []string
	// MaxRecords is the maximum number of records in a merged answer.
	MaxRecords int
	// MinShardShare is the share of the shards that must answer for a success.
	MinShardShare float64
	// Public routes need no key.
	Public bool
	// Regions lists the regions in which requests may be handled; all if it is empty.
	Regions []string
}

// Gathers reports whether the route sends a request to every shard of an index
// and merges their answers.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Service is the configuration of the targets that share a service name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdRate is the number of requests a second that all VMs together may send to a cold
	// target; 0 means no limit. How long one is cold is in its registration.
	ColdRate float64
}

// Limits bounds the sizes and the timeouts of a caller's requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version        int64
	Limits         Limits
	services       map[string]Service
	routes         map[string][]*Route
	routedServices map[string]bool
	routeNames     map[string]bool
	// workspaces is nil if the configuration has none.
	workspaces    map[KeyDigest]*Workspace
	workspaceList []*Workspace
	keyConflicts  []KeyConflict
}

// NewTable returns the table of the given routes and services.
func NewTable(version int64, limits Limits, routes []Route, services []Service) *Table {
	list := make([]*Route, len(routes))
	for i := range routes {
		route := routes[i]
		list[i] = &route
	}
	return NewSharedTable(version, limits, list, services)
}

// NewSharedTable returns the table of the given routes, which may be shared with other tables
// and must not be modified, and services.
func NewSharedTable(version int64, limits Limits, routes []*Route, services []Service) *Table {
	t := &Table{
		Version:        version,
		Limits:         limits,
		services:       make(map[string]Service, len(services)),
		routes:         make(map[string][]*Route),
		routedServices: make(map[string]bool),
		routeNames:     make(map[string]bool, len(routes)),
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
		t.routeNames[route.Name] = true
		for _, shard := range route.Shards {
			t.routedServices[shard] = true
		}
		for _, weighted := range route.Split {
			t.routedServices[weighted.Service] = true
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

// RoutesTo reports whether any route uses the service.
func (t *Table) RoutesTo(service string) bool { return t.routedServices[service] }

// HasRoute reports whether the configuration has a route with the name.
func (t *Table) HasRoute(name string) bool { return t.routeNames[name] }

// RoutedServices returns the names of the services that routes use, sorted.
func (t *Table) RoutedServices() []string { return slices.Sorted(maps.Keys(t.routedServices)) }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}
