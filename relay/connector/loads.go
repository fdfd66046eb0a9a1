package connector

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// loadsPeriod is how old the loads in an answer may be. It is well below the
// service time of targets, and spares a walk over all targets for each answer.
const loadsPeriod = 2 * time.Millisecond

// loads is a snapshot of the loads of the owned targets, by service.
type loads struct {
	at        time.Time
	version   uint64
	byService map[string][]*peerpb.NamedLoad
}

// Loads returns the loads of the owned targets of a service, with the version of
// the snapshot that they come from. They travel with answers, so that a gateway
// also hears of targets it has not asked lately.
func (c *Connector) Loads(service string) (named []*peerpb.NamedLoad, version uint64) {
	now := c.timers.Now()
	current := c.loads.Load()
	if current == nil || now.Sub(current.at) >= loadsPeriod {
		current = c.collectLoads(now)
		c.loads.Store(current)
	}
	return current.byService[service], current.version
}

func (c *Connector) collectLoads(now time.Time) *loads {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadsVersion++
	collected := &loads{at: now, version: c.loadsVersion, byService: make(map[string][]*peerpb.NamedLoad)}
	for address, owned := range c.owned {
		load, ok := c.dispatcher.Load(address.String())
		if !ok {
			continue
		}
		service := owned.config.Service
		collected.byService[service] = append(collected.byService[service], &peerpb.NamedLoad{
			Service: service, Target: owned.config.Name, Load: load,
		})
	}
	return collected
}
