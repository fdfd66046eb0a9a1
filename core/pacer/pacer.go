// Package pacer spaces out requests to a target that has named a limit.
//
// The limit holds for the requests of all processes together. Processes don't report
// their requests to each other; each one keeps to a share that all of them compute from
// what all of them know. The shares add up to the limit.
package pacer

import "time"

// Limit is what an answer of a target says about the requests a second that it takes from
// all processes together. The zero value means that it names no limit.
type Limit struct {
	Named     bool
	PerSecond float64
}

// Config holds the parameters of pacing.
type Config struct {
	// Headroom is the ratio of the sum of all shares to the limit. Shares are never used
	// up at the same time everywhere.
	Headroom float64
	// MaxBurst is the time for which unused requests are kept.
	MaxBurst time.Duration
	// MinPerSecond is the lower bound of a limit, so that the processes find out when it
	// ends.
	MinPerSecond float64
	// RemoteWeight is the weight of a process that has replicas in its own failure domain,
	// in the share of a replica in another one. That of a process beside the replica is 1.
	RemoteWeight float64
	// OwnPrecedence is the time after an answer of the target to this process in which
	// the answers to other processes are ignored.
	OwnPrecedence time.Duration
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{Headroom: 1.25, MaxBurst: 200 * time.Millisecond, MinPerSecond: 0.5, RemoteWeight: 0.1, OwnPrecedence: time.Second}
}

// State is the pace of one process towards one target. SetShare must be called before a
// limit is observed. It is not safe for concurrent use.
type State struct {
	limit Limit
	share float64
	// next is the time at which the next request is due if no unused ones are kept.
	next time.Time
	// observedAt is the time of the last answer to this process.
	observedAt time.Time
}

// Observe records what an answer to this process says. draw is a random number in [0, 1)
// that spreads the first requests of the processes under a new limit.
func (s *State) Observe(config Config, now time.Time, limit Limit, draw float64) {
	s.observedAt = now
	s.set(config, now, limit, draw)
}

// ObserveRemote records what a recent answer to another process says.
func (s *State) ObserveRemote(config Config, now time.Time, limit Limit, draw float64) {
	if now.Sub(s.observedAt) >= config.OwnPrecedence {
		s.set(config, now, limit, draw)
	}
}

func (s *State) set(config Config, now time.Time, limit Limit, draw float64) {
	isNew := limit.Named && !s.limit.Named
	s.limit = limit
	if isNew {
		s.next = now.Add(time.Duration(draw * float64(s.interval(config))))
	}
}

// Limit returns the limit in force.
func (s *State) Limit() Limit { return s.limit }

// SetShare sets the part of the limit that this process may use.
func (s *State) SetShare(share float64) { s.share = share }

// NextAt returns the earliest time for the next request, the zero time without a limit.
func (s *State) NextAt(config Config) time.Time {
	if !s.limit.Named {
		return time.Time{}
	}
	return s.next.Add(-max(config.MaxBurst-s.interval(config), 0))
}

// Full reports whether as many unused requests are kept as may be.
func (s *State) Full(now time.Time) bool { return !s.limit.Named || !now.Before(s.next) }

// Take counts a request.
func (s *State) Take(config Config, now time.Time) {
	if !s.limit.Named {
		return
	}
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.interval(config))
}

// MaxInterval bounds the time between two requests of a process with a very small share.
const MaxInterval = time.Minute

// interval returns the time between two requests.
func (s *State) interval(config Config) time.Duration {
	perSecond := max(config.Headroom*s.limit.PerSecond, config.MinPerSecond) * s.share
	if perSecond <= 1/MaxInterval.Seconds() {
		return MaxInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// Share returns the part of a target's limit for a process in the failure domain own. The
// target is in the domain home; processes has the number of processes in each domain, and
// hasReplica tells whether a domain has targets of the same service. A process beside the
// target, or without a replica in its own domain, gets more than the others.
func Share(config Config, own, home string, processes map[string]int, hasReplica func(domain string) bool) float64 {
	weight := func(domain string) float64 {
		if domain == home || !hasReplica(domain) {
			return 1
		}
		return config.RemoteWeight
	}
	total := 0.0
	for domain, n := range processes {
		total += float64(n) * weight(domain)
	}
	return weight(own) / max(total, weight(own))
}
