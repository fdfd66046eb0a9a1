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
	// meetPeriod is how often seed addresses without a known member are tried.
	meetPeriod  = time.Second
	meetTimeout = 500 * time.Millisecond
)

// seed is an address at which a relay may be met.
type seed struct {
	addr   netip.AddrPort
	domain string
}

// Received takes a frame from a link that this node has opened.
func (c *Controller) Received(node string, frame *peerpb.Frame) {
	c.inbox.Put(event{from: node, frame: frame})
}

// Lost needs no action: the next frame opens the link again.
func (c *Controller) Lost(string) {}

// Serve takes the control frames of a stream that another relay has opened.
func (c *Controller) Serve(peer *peerpb.Hello, stream *messenger.Stream, first *peerpb.Frame) {
	if peer.Role != peerpb.Role_ROLE_RELAY {
		return
	}
	frame, err := first, error(nil)
	for err == nil {
		c.inbox.Put(event{from: peer.Node, stream: stream, frame: frame})
		frame, err = stream.Receive()
	}
	c.do(func(time.Time) {
		if c.incoming[peer.Node] == stream {
			delete(c.incoming, peer.Node)
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
	c.do(func(time.Time) { c.detector.SetGateway(addr, peer.Incarnation) })
	return func() {
		c.do(func(time.Time) {
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

// send prefers the stream that the other node has opened, so that two nodes
// need only one session.
func (c *Controller) send(node string, addr netip.AddrPort, frame *peerpb.Frame) {
	if stream, ok := c.incoming[node]; ok {
		if stream.Send(frame) == nil {
			return
		}
		delete(c.incoming, node)
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
	return c.addresses[node]
}

// meetSeeds tries the seed addresses at which no member is known, so that
// nodes find each other at the start and after a partition.
func (c *Controller) meetSeeds(ctx context.Context, now time.Time) {
	if now.Sub(c.meetAt) < meetPeriod {
		return
	}
	c.meetAt = now
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
		go c.meet(ctx, s)
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

// meet opens a session to a seed, which then tells its name.
func (c *Controller) meet(ctx context.Context, s seed) {
	ctx, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	session, err := c.config.Peers.Session(ctx, s.addr)
	if err != nil {
		c.do(func(time.Time) { c.forgetNeighbourAt(s.addr) })
		return
	}
	peer := session.Peer()
	c.do(func(time.Time) { c.met(peer, s.addr) })
}

func (c *Controller) met(peer *peerpb.Hello, addr netip.AddrPort) {
	if peer.Role != peerpb.Role_ROLE_RELAY || peer.Node == c.config.Settings.Node {
		return
	}
	c.addresses[peer.Node] = addr
	if peer.FailureDomain == c.config.Settings.FailureDomain {
		c.sendMembers(c.detector.Join(peer.Node))
		return
	}
	if _, ok := c.neighbours[peer.Node]; !ok {
		c.config.Log.Info("neighbour met", zap.String("peer", peer.Node), zap.String("domain", peer.FailureDomain))
	}
	c.neighbours[peer.Node] = peer.FailureDomain
	c.setNeighbours()
}

func (c *Controller) forgetNeighbourAt(addr netip.AddrPort) {
	for node, known := range c.addresses {
		if _, ok := c.neighbours[node]; ok && known == addr {
			delete(c.neighbours, node)
			delete(c.addresses, node)
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
