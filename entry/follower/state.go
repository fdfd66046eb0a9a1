// Package follower keeps the configuration and the registrations of targets current
// with the platform's store.
package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
)

// State is the process's copy of the configuration and the registrations. It is safe
// for concurrent use.
type State struct {
	table atomic.Pointer[router.Table]

	mu       sync.Mutex
	registry *registrar.Registry
}

// NewState returns an empty state. Targets whose registration expired during an
// outage of the store are kept for gracePeriod.
func NewState(gracePeriod time.Duration) *State {
	return &State{registry: registrar.NewRegistry(gracePeriod)}
}

// Table returns the configuration in force, or nil before the first one.
func (s *State) Table() *router.Table { return s.table.Load() }

// setTable puts a configuration in force and reports true, unless one of the same or
// a newer version is in force.
func (s *State) setTable(next *router.Table) bool {
	for {
		current := s.table.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if s.table.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Targets returns the targets of a service that accept new requests.
func (s *State) Targets(service string) []registrar.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Targets(service)
}

// TargetCount returns the number of targets.
func (s *State) TargetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len()
}

// updateRegistry calls f with the registry while it is locked.
func (s *State) updateRegistry(f func(*registrar.Registry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.registry)
}

// InDomains returns the targets in the given failure domains, evacuated or not.
func (s *State) InDomains(domains container.Set[string]) []registrar.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.InDomains(domains)
}
