// Package follower keeps the configuration and the registrations of targets as
// the platform's store has them.
package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
)

// State is what the process believes. It is safe for concurrent use.
type State struct {
	table atomic.Pointer[router.Table]

	mu   sync.Mutex
	book *registrar.Registry
}

// NewState returns an empty belief. Registrations that lapsed during an outage
// of the store are kept for the given time.
func NewState(hold time.Duration) *State {
	return &State{book: registrar.NewRegistry(hold)}
}

// Table returns the configuration in force, nil before the first one.
func (s *State) Table() *router.Table { return s.table.Load() }

// setTable puts a version in force unless a newer one is.
func (s *State) setTable(next *router.Table) bool {
	for {
		known := s.table.Load()
		if known != nil && next.Version <= known.Version {
			return false
		}
		if s.table.CompareAndSwap(known, next) {
			return true
		}
	}
}

// Targets returns the targets of a service that take new work.
func (s *State) Targets(service string) []registrar.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Targets(service)
}

// Known returns the number of targets.
func (s *State) Known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len()
}

// change runs f on the book.
func (s *State) change(f func(*registrar.Registry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.book)
}
