package sharer

import (
	"maps"
	"sync"
	"time"
)

// IndexLoad is the load of a class on an index or service.
type IndexLoad struct {
	Index string
	Load
}

// Refusal is what was known when a request was rejected.
type Refusal struct {
	// Share is the admitted share of its class.
	Share float64
	// Total is the recent load of all classes.
	Total Load
}

// Group holds the states of all indexes and services by name. It is safe for concurrent use.
type Group struct {
	config Config

	mu     sync.Mutex
	states map[string]*State
}

// maxStates bounds the states, as names come from other VMs too.
const maxStates = 10_000

// NewGroup returns a group without load.
func NewGroup(config Config) *Group {
	return &Group{config: config, states: make(map[string]*State)}
}

// Admit reports whether a request to an index or service is admitted, and what was known if it
// is not. An admitted request must be ended with Ended.
func (g *Group) Admit(now time.Time, index string, class Class, draw float64) (Refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(now, index)
	share, ok := s.admit(now, class, draw)
	if ok {
		return Refusal{}, true
	}
	return Refusal{Share: share, Total: s.Total()}, false
}

// Ended records the end of an admitted request.
func (g *Group) Ended(now time.Time, index string, class Class, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(now, index).Ended(now, class, served)
}

// TakeLoads returns the loads of this process since the last call.
func (g *Group) TakeLoads() []IndexLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	var loads []IndexLoad
	for index, s := range g.states {
		for _, load := range s.Take() {
			loads = append(loads, IndexLoad{Index: index, Load: load})
		}
	}
	return loads
}

// MergeLoads adds the loads of other processes.
func (g *Group) MergeLoads(now time.Time, loads []IndexLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range loads {
		if len(g.states) < maxStates || g.states[l.Index] != nil {
			g.state(now, l.Index).Merge(now, []Load{l.Load})
		}
	}
}

// state returns the state of an index or service. It drops idle ones whenever another one
// comes into use.
func (g *Group) state(now time.Time, index string) *State {
	s, ok := g.states[index]
	if !ok {
		maps.DeleteFunc(g.states, func(_ string, s *State) bool { return s.Idle(now) && len(s.pending) == 0 })
		s = New(g.config)
		g.states[index] = s
	}
	return s
}
