package controller

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/relay/connector"
)

// localTargets lists the targets of the own failure domain in all documents.
func (c *Controller) localTargets() []connector.Target {
	var targets []connector.Target
	for _, doc := range c.documents {
		for _, set := range doc.Sets {
			for _, t := range set.Targets {
				if t.FailureDomain != c.config.Settings.FailureDomain {
					continue
				}
				targets = append(targets, connector.Target{
					Service: doc.Service, Set: set.Name, Name: t.Name, Address: t.Address,
					FailureDomain: t.FailureDomain, Slots: t.Slots, Connections: t.Connections,
				})
			}
		}
	}
	return targets
}

// setTargets gives the assigner the targets of the documents in force.
func (c *Controller) setTargets(now time.Time) {
	c.local = c.localTargets()
	targets := make([]assigner.Target, len(c.local))
	for i, t := range c.local {
		targets[i] = assigner.Target{Name: t.Address.String(), Limit: t.Connections}
	}
	c.sendOwnership(c.assigner.SetTargets(now, c.rng, targets))
}

// setView gives the assigner the members. The own node is left out once it
// leaves, so that it releases what it owns.
func (c *Controller) setView(now time.Time, members []detector.Member) {
	view := make([]assigner.Member, 0, len(members))
	for _, m := range members {
		if m.Node == c.config.Settings.Node && !m.State.Live() {
			continue
		}
		view = append(view, assigner.Member{
			Node: m.Node, Live: m.State.Live(), Left: m.State == detector.Left, Since: m.Since,
		})
	}
	c.sendOwnership(c.assigner.SetView(now, c.rng, view))
}

// assign reports the open connections to the assigner and makes the connector
// own what the assigner allows.
func (c *Controller) assign(now time.Time) {
	if !c.distributor.Ready() {
		return
	}
	uses := c.config.Connector.Uses()
	for address, use := range uses {
		c.noteRefusals(now, address, use)
		c.sendOwnership(c.assigner.SetOpenConnections(now, address.String(), use.Open))
	}
	var owned []connector.Target
	for _, t := range c.local {
		name := t.Address.String()
		t.Allotment = c.assigner.Allotment(name)
		if t.Allotment == 0 {
			continue
		}
		t.Owners = max(len(c.assigner.Owners(name)), 1)
		owned = append(owned, t)
	}
	c.config.Connector.Own(owned)
}

func (c *Controller) noteRefusals(now time.Time, address netip.AddrPort, use connector.Use) {
	if use.Refused > c.refused[address] {
		c.config.Log.Warn("target refused a connection", zap.Stringer("address", address), zap.Int("open", use.Open))
		c.assigner.Refused(now, address.String())
	}
	c.refused[address] = use.Refused
}

func (c *Controller) sendOwnership(out []assigner.Outgoing) {
	for _, o := range out {
		c.send(o.To, netip.AddrPort{}, o.Frame)
	}
}
