package forwarder

import (
	"sync"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// link is the data stream of one gateway, with the loads that it was told last.
type link struct {
	*messenger.Stream
	loads Loads

	mu   sync.Mutex
	sent map[string]uint64
}

// news returns the loads of a service's targets, unless the gateway has been
// told this version: at a high rate most answers need none.
func (g *link) news(service string) []*peerpb.NamedLoad {
	named, version := g.loads.Loads(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent[service] == version {
		return nil
	}
	g.sent[service] = version
	return named
}
