package forwarder

import (
	"sync"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

// gatewayStream is a gateway's data stream with the last version of the loads sent
// on it for each service.
type gatewayStream struct {
	*messenger.Stream
	loads Loads

	mu           sync.Mutex
	sentVersions map[string]uint64
}

// changedLoads returns the loads of a service's targets, or nil if this version was
// already sent. At a high request rate most answers carry none.
func (g *gatewayStream) changedLoads(service string) []*peerpb.NamedLoad {
	named, version := g.loads.Loads(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sentVersions[service] == version {
		return nil
	}
	g.sentVersions[service] = version
	return named
}
