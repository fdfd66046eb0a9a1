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

// followRetry spaces attempts to subscribe to a peer's targets.
const followRetry = 500 * time.Millisecond

// membersChanged carries a new view of the failure domain to the other parts.
func (c *Controller) membersChanged(ctx context.Context, now time.Time) {
	members := c.detector.Members()
	published := make([]*peerpb.Member, 0, len(members))
	var peers []distributor.Peer
	var live []string
	for i := range members {
		m := &members[i]
		published = append(published, m.Proto())
		if !m.State.Live() {
			c.config.Publisher.ForgetRelay(m.Node)
			c.unfollow(m.Node)
			if m.State == detector.Dead {
				// A member that left may still answer what it has in flight.
				c.links.Remove(m.Node)
			}
			continue
		}
		live = append(live, m.Node)
		if m.Node == c.config.Settings.Node {
			continue
		}
		peers = append(peers, distributor.Peer{Node: m.Node, ReachesStore: m.ReadsStore})
		c.follow(ctx, m)
	}
	c.config.Publisher.PutMembers(published)
	c.distributor.SetPeers(peers)
	c.setView(now, members)
	c.tellQuarantine()
	c.config.Log.Info("members changed", zap.Strings("live", live), zap.Uint64("view", c.view))
}

// tellQuarantine sends what is in force, so that a new member knows it too.
func (c *Controller) tellQuarantine() {
	if entries := c.config.Quarantine.Entries(); len(entries) > 0 {
		c.sendToAll(&peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{
			QuarantineUpdate: &peerpb.QuarantineUpdate{Entries: entries},
		}})
	}
}

// followed is a subscription to the targets of a peer.
type followed struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// follow subscribes to the targets that a peer owns, so that every relay can
// tell a subscriber about all targets of the failure domain. A peer that was
// replaced is followed at its new address.
func (c *Controller) follow(ctx context.Context, m *detector.Member) {
	if f, ok := c.followed[m.Node]; ok {
		if f.addr == m.RelayAddress {
			return
		}
		f.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	c.followed[m.Node] = followed{m.RelayAddress, cancel}
	addr := m.RelayAddress
	go func() {
		for ctx.Err() == nil {
			c.followOnce(ctx, addr)
			select {
			case <-time.After(followRetry):
			case <-ctx.Done():
			}
		}
	}()
}

func (c *Controller) unfollow(node string) {
	if f, ok := c.followed[node]; ok {
		f.cancel()
		delete(c.followed, node)
	}
}

func (c *Controller) followOnce(ctx context.Context, addr netip.AddrPort) {
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
