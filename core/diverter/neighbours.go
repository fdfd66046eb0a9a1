package diverter

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/registrar"
)

// avoidPeriod is how long a VM that could not take a request is not asked again.
const avoidPeriod = 2 * time.Second

// recentPeriod is how long a VM that has taken a request is preferred. While most VMs are cut
// off, those chosen at random mostly cannot take a request either.
const recentPeriod = 2 * time.Second

// exploreShare is the share of the requests for which a VM is chosen at random nevertheless, so
// that the load of this VM spreads over all that take requests.
const exploreShare = 0.25

// Neighbours chooses the VM that takes a request which this VM cannot serve. It is safe for
// concurrent use.
type Neighbours struct {
	self registrar.Member

	mu      sync.Mutex
	members []registrar.Member
	// avoidUntil holds the VMs that could not take a request, and tookAt when others last took
	// one.
	avoidUntil, tookAt map[string]time.Time
}

// NewNeighbours returns the neighbours of the VM self, none at first.
func NewNeighbours(self registrar.Member) *Neighbours {
	return &Neighbours{self: self, avoidUntil: make(map[string]time.Time), tookAt: make(map[string]time.Time)}
}

// SetMembers replaces the known entry VMs.
func (n *Neighbours) SetMembers(members []registrar.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = members
	isGone := func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(members, func(m registrar.Member) bool { return m.Name == name })
	}
	maps.DeleteFunc(n.avoidUntil, isGone)
	maps.DeleteFunc(n.tookAt, isGone)
}

// Took records that a VM has taken a request and answered it.
func (n *Neighbours) Took(now time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tookAt[name] = now
}

// Avoid records that a VM could not take a request.
func (n *Neighbours) Avoid(now time.Time, name string) { n.AvoidFor(now, name, avoidPeriod) }

// AvoidFor records that a VM will not take requests for a time, because it stops.
func (n *Neighbours) AvoidFor(now time.Time, name string, period time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := now.Add(period); until.After(n.avoidUntil[name]) {
		n.avoidUntil[name] = until
	}
}

// Outside returns the VMs in failure domains that are not allowed, none if allowed is nil.
func (n *Neighbours) Outside(allowed func(domain string) bool) container.Set[string] {
	outside := container.NewSet[string]()
	if allowed == nil {
		return outside
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if !allowed(m.Domain) {
			outside.Add(m.Name)
		}
	}
	return outside
}

// maxNearTried is the number of VMs of the own failure domain that are asked before one of
// another domain, because a whole domain may be cut off together.
const maxNearTried = 2

// Choose returns a VM that has not been tried, and false if no further one is likely to
// take a request. It prefers the own failure domain, as bytes between domains are paid for,
// and spreads the requests over the VMs of a domain.
func (n *Neighbours) Choose(now time.Time, tried container.Set[string]) (registrar.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near, far []registrar.Member
	for _, m := range n.members {
		switch {
		case m.Name == n.self.Name || !m.RequestAddress.IsValid() || tried.Has(m.Name) || now.Before(n.avoidUntil[m.Name]):
		case m.Domain == n.self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	candidates := near
	if len(near) == 0 || len(tried) >= maxNearTried && len(far) > 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return registrar.Member{}, false
	}
	recent := slices.DeleteFunc(slices.Concat(near, far), func(m registrar.Member) bool {
		at, took := n.tookAt[m.Name]
		return !took || now.Sub(at) > recentPeriod
	})
	if len(recent) > 0 && rand.Float64() >= exploreShare {
		candidates = recent
	}
	return candidates[rand.IntN(len(candidates))], true
}
