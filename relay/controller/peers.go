package controller

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// discoveryPeriod is how often seed addresses without a live member are tried.
	discoveryPeriod  = time.Second
	discoveryTimeout = 500 * time.Millisecond
)

// seed is an address at which a relay may listen.
type seed struct {
	addr   netip.AddrPort
	domain string
}

// Received queues a frame from a link that this node has opened.
func (c *Controller) Received(node string, frame *peerpb.Frame) {
	c.inbox.Put(event{from: node, frame: frame})
}

// Lost does nothing, because the next frame to the node reopens the link.
func (c *Controller) Lost(string) {}

// Serve queues the control frames of a stream that another relay has opened.
func (c *Controller) Serve(peer *peerpb.Hello, stream *messenger.Stream, first *peerpb.Frame) {
	if peer.Role != peerpb.Role_ROLE_RELAY {
		return
	}
	frame, err := first, error(nil)
	for err == nil {
		c.inbox.Put(event{from: peer.Node, stream: stream, frame: frame})
		frame, err = stream.Receive()
	}
	c.runInLoop(func(time.Time) {
		if c.inboundStreams[peer.Node] == stream {
			delete(c.inboundStreams, peer.Node)
		}
	})
}

// RegisterGateway records the gateway of this VM until the returned function
// is called.
func (c *Controller) RegisterGateway(peer *peerpb.Hello) (unregister func()) {
	addr, err := netip.ParseAddrPort(peer.SessionAddress)
	if err != nil || peer.Node != c.config.Settings.Node || peer.Role != peerpb.Role_ROLE_GATEWAY {
		return func() {}
	}
	c.runInLoop(func(time.Time) { c.detector.SetGateway(addr, peer.Incarnation) })
	return func() {
		c.runInLoop(func(time.Time) {
			// A new gateway process may have registered meanwhile.
			if c.detector.Self().GatewayIncarnation == peer.Incarnation {
				c.detector.SetGateway(netip.AddrPort{}, 0)
			}
		})
	}
}

func (c *Controller) sendMembers(out []detector.Outgoing) {
	for _, o := range out {
		c.send(o.To, o.Address, o.Frame)
	}
}

func (c *Controller) sendDocuments(out []distributor.Outgoing) {
	for _, o := range out {
		c.send(o.To, netip.AddrPort{}, o.Frame)
	}
}

// send sends a frame to a node. It prefers a stream that the node has opened, so
// that two nodes need only one session.
func (c *Controller) send(node string, addr netip.AddrPort, frame *peerpb.Frame) {
	if stream, ok := c.inboundStreams[node]; ok {
		if stream.Send(frame) == nil {
			return
		}
		delete(c.inboundStreams, node)
	}
	if !addr.IsValid() {
		addr = c.address(node)
	}
	if addr.IsValid() {
		c.links.SendBestEffort(node, addr, frame)
	}
}

func (c *Controller) address(node string) netip.AddrPort {
	if member, ok := c.detector.Member(node); ok {
		return member.RelayAddress
	}
	return c.discoveredAddresses[node]
}

// discoverPeers contacts the seed addresses that belong to no live member, so that
// nodes discover each other at startup and after a partition.
func (c *Controller) discoverPeers(ctx context.Context, now time.Time) {
	if now.Sub(c.discoveryStartedAt) < discoveryPeriod {
		return
	}
	c.discoveryStartedAt = now
	known := make(map[netip.AddrPort]struct{})
	for _, m := range c.detector.Members() {
		if m.State.Live() {
			known[m.RelayAddress] = struct{}{}
		}
	}
	for _, s := range c.seeds() {
		if _, ok := known[s.addr]; ok || s.addr == c.config.Settings.SessionAddress {
			continue
		}
		go c.contactSeed(ctx, s)
	}
}

func (c *Controller) seeds() []seed {
	settings := c.config.Settings
	var seeds []seed
	for _, addr := range settings.Relays {
		seeds = append(seeds, seed{addr, settings.FailureDomain})
	}
	for _, n := range settings.Neighbours {
		for _, addr := range n.Relays {
			seeds = append(seeds, seed{addr, n.FailureDomain})
		}
	}
	return append(seeds, c.vmSeeds...)
}

// contactSeed opens a session to a seed and adds the node that answers.
func (c *Controller) contactSeed(ctx context.Context, s seed) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	session, err := c.config.Peers.Session(ctx, s.addr)
	if err != nil {
		c.runInLoop(func(time.Time) { c.removeNeighbourAt(s.addr) })
		return
	}
	peer := session.Peer()
	c.runInLoop(func(time.Time) { c.addPeer(peer, s.addr) })
}

func (c *Controller) addPeer(peer *peerpb.Hello, addr netip.AddrPort) {
	if peer.Role != peerpb.Role_ROLE_RELAY || peer.Node == c.config.Settings.Node {
		return
	}
	c.discoveredAddresses[peer.Node] = addr
	if peer.FailureDomain == c.config.Settings.FailureDomain {
		c.sendMembers(c.detector.Join(peer.Node))
		return
	}
	if _, ok := c.neighbours[peer.Node]; !ok {
		c.config.Log.Info("neighbour discovered", zap.String("peer", peer.Node), zap.String("domain", peer.FailureDomain))
	}
	c.neighbours[peer.Node] = peer.FailureDomain
	c.setNeighbours()
}

func (c *Controller) removeNeighbourAt(addr netip.AddrPort) {
	for node, known := range c.discoveredAddresses {
		if _, ok := c.neighbours[node]; ok && known == addr {
			delete(c.neighbours, node)
			delete(c.discoveredAddresses, node)
			c.setNeighbours()
		}
	}
}

func (c *Controller) setNeighbours() {
	nodes := make([]string, 0, len(c.neighbours))
	for node := range c.neighbours {
		nodes = append(nodes, node)
	}
	c.distributor.SetNeighbours(nodes)
}
