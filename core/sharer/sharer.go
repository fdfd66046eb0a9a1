// Package sharer divides the room of an overloaded index or service between the workspaces
// whose requests compete for it, before any of their work has begun.
//
// The load that it answers: one workspace, or several, send many times their usual requests
// and the targets refuse a part of all. Without shares the others lose as much as the ones
// that burst. A workspace that asks for less than an equal part of the room gets what it
// asks for, the others an equal part (max-min fairness). Each workspace spends its part on its
// urgent requests first.
package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config configures a State.
type Config struct {
	// HalfLife is the time after which a request counts half. Counts of other VMs are up to
	// three quarters of a second old.
	HalfLife time.Duration
	// Headroom is the ratio of admitted requests to those that are served. What is beyond 1
	// probes for more room.
	Headroom float64
	// RecoveryHeadroom replaces Headroom while at most the share RecoveryFailures of the
	// admitted requests fails.
	RecoveryHeadroom float64
	RecoveryFailures float64
	// Tolerance is the number of failed requests up to which all are admitted.
	Tolerance float64
	// Floor is the least admitted share of any workspace and kind of request, as a part of
	// the share of all requests, so that none is starved.
	Floor float64
	// MinShare is the lower bound of every share, which keeps measuring the room.
	MinShare float64
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{
		HalfLife: time.Second, Headroom: 1.1, RecoveryHeadroom: 1.5, RecoveryFailures: 0.04, Tolerance: 2,
		Floor: 0.5, MinShare: 0.05,
	}
}

// Class is a kind of request of one workspace.
type Class struct {
	// Rank is the order in which requests are admitted, 0 first.
	Rank      int
	Workspace string
}

// Load counts the requests of a class, rejected ones included, those that were admitted, and
// those that overload made neither fail nor late.
type Load struct {
	Class
	Requests, Admitted, Served float64
}

// State is the recent load on one index or service, of this process and of those whose loads
// are merged. It is not safe for concurrent use.
type State struct {
	config Config
	// updatedAt is the time that recent refers to.
	updatedAt time.Time
	// recent is ordered by class, pending holds the own loads that Take has not returned.
	recent, pending []Load
}

// New returns the state of an index or service without load.
func New(config Config) *State { return &State{config: config} }

// Admit reports whether a request is admitted. draw is a random number in [0, 1). An admitted
// request must be ended with Ended.
func (s *State) Admit(now time.Time, class Class, draw float64) bool {
	_, ok := s.admit(now, class, draw)
	return ok
}

// admit is Admit, and also returns the admitted share of the class.
func (s *State) admit(now time.Time, class Class, draw float64) (share float64, ok bool) {
	if share = s.Share(now, class); draw < share {
		return share, true
	}
	s.add(Load{Class: class, Requests: 1})
	return share, false
}

// Ended records the end of an admitted request. served is false only if overload made it fail
// or late.
func (s *State) Ended(now time.Time, class Class, served bool) {
	s.decay(now)
	load := Load{Class: class, Requests: 1, Admitted: 1}
	if served {
		load.Served = 1
	}
	s.add(load)
}

// Take returns the loads of this process since the last call.
func (s *State) Take() []Load {
	pending := s.pending
	s.pending = nil
	return pending
}

// Merge adds the loads of other processes.
func (s *State) Merge(now time.Time, loads []Load) {
	s.decay(now)
	for _, load := range loads {
		if load.valid() {
			s.recent = addTo(s.recent, load)
		}
	}
}

// maxLoad bounds the counts that one message of another process may add.
const maxLoad = 1e6

func (l Load) valid() bool {
	return l.Requests >= l.Admitted && l.Admitted >= l.Served && l.Served >= 0 && l.Requests <= maxLoad
}

func (s *State) add(load Load) {
	s.recent = addTo(s.recent, load)
	s.pending = addTo(s.pending, load)
}

func compareClasses(l Load, c Class) int {
	return cmp.Or(cmp.Compare(l.Rank, c.Rank), cmp.Compare(l.Workspace, c.Workspace))
}

func addTo(loads []Load, load Load) []Load {
	i, ok := slices.BinarySearchFunc(loads, load.Class, compareClasses)
	if !ok {
		return slices.Insert(loads, i, load)
	}
	loads[i].Requests += load.Requests
	loads[i].Admitted += load.Admitted
	loads[i].Served += load.Served
	return loads
}

// negligible is the number of recent requests below which a class is forgotten.
const negligible = 0.01

func (s *State) decay(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(s.config.HalfLife))
	for i := range s.recent {
		s.recent[i].Requests *= factor
		s.recent[i].Admitted *= factor
		s.recent[i].Served *= factor
	}
	s.recent = slices.DeleteFunc(s.recent, func(l Load) bool { return l.Requests < negligible })
	s.updatedAt = now
}

// Idle reports whether there have been no requests for several half-lives.
func (s *State) Idle(now time.Time) bool {
	s.decay(now)
	return len(s.recent) == 0
}

// Total returns the recent requests of all classes.
func (s *State) Total() Load {
	var total Load
	for _, l := range s.recent {
		total.Requests += l.Requests
		total.Admitted += l.Admitted
		total.Served += l.Served
	}
	return total
}
