package controller

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/relay/connector"
)

// collectDomainTargets returns the targets of this failure domain in all
// documents.
func (c *Controller) collectDomainTargets() []connector.Target {
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

// setTargets passes the targets of the documents in force to the assigner.
func (c *Controller) setTargets(now time.Time) {
	c.domainTargets = c.collectDomainTargets()
	targets := make([]assigner.Target, len(c.domainTargets))
	for i, t := range c.domainTargets {
		targets[i] = assigner.Target{Name: t.Address.String(), Limit: t.Connections}
	}
	c.sendOwnership(c.assigner.SetTargets(now, c.rng, targets))
}

// setView passes the members to the assigner. It omits this node once it leaves,
// so that its targets are released.
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

// applyAssignment reports the open connections to the assigner and passes the
// targets allotted to this node to the connector.
func (c *Controller) applyAssignment(now time.Time) {
	if !c.distributor.Ready() {
		return
	}
	usages := c.config.Connector.UsageByAddress()
	for address, usage := range usages {
		c.reportRefusals(now, address, usage)
		c.sendOwnership(c.assigner.SetOpenConnections(now, address.String(), usage.Open))
	}
	var owned []connector.Target
	for _, t := range c.domainTargets {
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

func (c *Controller) reportRefusals(now time.Time, address netip.AddrPort, usage connector.Usage) {
	if usage.Refused > c.refusedCounts[address] {
		c.config.Log.Warn("target refused a connection", zap.Stringer("address", address), zap.Int("open", usage.Open))
		c.assigner.Refused(now, address.String())
	}
	c.refusedCounts[address] = usage.Refused
}

func (c *Controller) sendOwnership(out []assigner.Outgoing) {
	for _, o := range out {
		c.send(o.To, netip.AddrPort{}, o.Frame)
	}
}
