package controller

import (
	"net/netip"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/detector"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/relay/connector"
)

const (
	portions = 2
	// limitShare is the part of a target's connections in one portion.
	limitShare = 4
)

// ownership computes which targets this node connects to.
type ownership struct {
	node, domain string
	live         []string
}

func newOwnership(node, domain string) *ownership {
	return &ownership{node: node, domain: domain, live: []string{node}}
}

func (o *ownership) setMembers(members []detector.Member) {
	o.live = o.live[:0]
	for _, m := range members {
		if m.State.Live() {
			o.live = append(o.live, m.Node)
		}
	}
}

func (o *ownership) targets(documents map[string]*parser.Document) []connector.Target {
	var targets []connector.Target
	for _, doc := range documents {
		for _, set := range doc.Sets {
			for _, t := range set.Targets {
				if t.FailureDomain != o.domain {
					continue
				}
				if n := o.portions(t.Address); n > 0 {
					targets = append(targets, connector.Target{
						Service: doc.Service, Set: set.Name, Name: t.Name, Address: t.Address,
						FailureDomain: t.FailureDomain, Slots: t.Slots, Connections: t.Connections,
						Allotment: n * max(t.Connections/limitShare, 1), Owners: min(portions, len(o.live)),
					})
				}
			}
		}
	}
	return targets
}

func (o *ownership) portions(target netip.AddrPort) int {
	n := 0
	for _, owner := range assigner.Rank(target.String(), o.live, portions) {
		if owner == o.node {
			n++
		}
	}
	return n
}
