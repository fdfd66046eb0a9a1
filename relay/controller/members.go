package controller

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/messenger/peerpb"
)

// resubscribeDelay is the delay between attempts to subscribe to a peer's
// targets.
const resubscribeDelay = 500 * time.Millisecond

// membersChanged passes a new view of the failure domain's members to the
// components that depend on it.
func (c *Controller) membersChanged(ctx context.Context, now time.Time) {
	members := c.detector.Members()
	published := make([]*peerpb.Member, 0, len(members))
	var peers []distributor.Peer
	var live []string
	for i := range members {
		m := &members[i]
		published = append(published, m.Proto())
		if !m.State.Live() {
			c.config.Publisher.RemoveRelay(m.Node)
			c.unsubscribe(m.Node)
			if m.State == detector.Dead {
				// A member that left may still answer requests in flight.
				c.links.Remove(m.Node)
			}
			continue
		}
		live = append(live, m.Node)
		if m.Node == c.config.Settings.Node {
			continue
		}
		peers = append(peers, distributor.Peer{Node: m.Node, ReachesStore: m.ReachesStore})
		c.subscribe(ctx, m)
	}
	c.config.Publisher.PutMembers(published)
	c.distributor.SetPeers(peers)
	c.setView(now, members)
	c.sendQuarantine()
	c.config.Log.Info("members changed", zap.Strings("live", live), zap.Uint64("view", c.membersRevision))
}

// sendQuarantine sends the quarantines in force to all peers, so that new members
// receive them.
func (c *Controller) sendQuarantine() {
	if entries := c.config.Quarantine.Entries(); len(entries) > 0 {
		c.sendToAll(&peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{
			QuarantineUpdate: &peerpb.QuarantineUpdate{Entries: entries},
		}})
	}
}

// subscription is a subscription to the targets of a peer.
type subscription struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// subscribe subscribes to the targets that a peer owns, so that every relay can
// publish all targets of the failure domain. If the peer was replaced by one at
// another address, the subscription moves there.
func (c *Controller) subscribe(ctx context.Context, m *detector.Member) {
	if existing, ok := c.subscriptions[m.Node]; ok {
		if existing.addr == m.RelayAddress {
			return
		}
		existing.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	c.subscriptions[m.Node] = subscription{m.RelayAddress, cancel}
	addr := m.RelayAddress
	go func() {
		for ctx.Err() == nil {
			c.receiveTargets(ctx, addr)
			select {
			case <-time.After(resubscribeDelay):
			case <-ctx.Done():
			}
		}
	}()
}

func (c *Controller) unsubscribe(node string) {
	if existing, ok := c.subscriptions[node]; ok {
		existing.cancel()
		delete(c.subscriptions, node)
	}
}

func (c *Controller) receiveTargets(ctx context.Context, addr netip.AddrPort) {
	session, err := c.config.Peers.Session(ctx, addr)
	if err != nil {
		return
	}
	stream, err := session.Open()
	if err != nil {
		return
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Subscribe{
		Subscribe: &peerpb.Subscribe{Targets: true, OwnTargets: true},
	}}) != nil {
		return
	}
	for {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		for _, state := range frame.GetTargetUpdate().GetTargets() {
			c.config.Publisher.PutTarget(state)
		}
	}
}
