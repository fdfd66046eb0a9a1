package placer

import (
	"maps"
	"time"
)

// Sweep drops the state of services and routes that a configuration does not name. What
// was used within the last repeat window stays, because repeats still count.
func (p *Placer) Sweep(now time.Time, hasService, hasRoute func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := func(usedAt time.Time) bool { return now.Sub(usedAt) > p.limits.RepeatWindow }
	maps.DeleteFunc(p.services, func(name string, s *service) bool { return !hasService(name) && idle(s.usedAt) })
	maps.DeleteFunc(p.routes, func(name string, r *route) bool { return !hasRoute(name) && idle(r.usedAt) })
}

// Len returns the number of services, routes and targets whose state is kept.
func (p *Placer) Len() (services, routes, targets int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.services), len(p.routes), len(p.targets)
}

// Forget drops the state of a target that has left. A successor with the same
// ID shares that state and loses it too.
func (p *Placer) Forget(service, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.targets, id)
	p.limited.Remove(id)
	if s, ok := p.services[service]; ok {
		s.selectorState.Retain(func(target string) bool { return target != id })
		delete(s.fullUntil, id)
	}
}
