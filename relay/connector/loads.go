package connector

import (
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// loadsMaxAge is the maximum age of the loads in an answer. It is well below the
// service time of targets and avoids iterating over all targets for each answer.
const loadsMaxAge = 2 * time.Millisecond

// loads is a snapshot of the loads of the owned targets.
type loads struct {
	at        time.Time
	version   uint64
	byService map[string][]*peerpb.NamedLoad
}

// Loads returns the loads of the owned targets of a service and the version of
// their snapshot. Answers carry them, so that a gateway also knows the load of
// targets to which it has sent no recent request.
func (c *Connector) Loads(service string) (named []*peerpb.NamedLoad, version uint64) {
	now := c.timers.Now()
	current := c.loads.Load()
	if current == nil || now.Sub(current.at) >= loadsMaxAge {
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
