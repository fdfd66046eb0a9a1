// Package controller runs the control work of a node: configuration, members
// and the ownership of targets.
package controller

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/publisher"
)

const (
	portions   = 2
	watchWait  = 10 * time.Second
	retryDelay = 500 * time.Millisecond
	prefix     = "services/"
)

// Controller follows the store and assigns targets.
type Controller struct {
	Self      netip.AddrPort
	Relays    []netip.AddrPort
	Domain    string
	Keeper    *keeper.Client
	Publisher *publisher.Publisher
	Connector *connector.Connector
	Log       *zap.Logger

	documents map[string]*parser.Document
}

// Run follows the store until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.documents = make(map[string]*parser.Document)
	var revision uint64
	for ctx.Err() == nil {
		listing, err := c.next(ctx, revision)
		if err != nil {
			c.Log.Warn("store cannot be read", zap.Error(err))
			time.Sleep(retryDelay)
			continue
		}
		revision = listing.Revision
		c.apply(listing)
	}
}

func (c *Controller) next(ctx context.Context, after uint64) (keeper.Listing, error) {
	if after == 0 {
		return c.Keeper.List(ctx, prefix)
	}
	return c.Keeper.Watch(ctx, prefix, after, watchWait)
}

func (c *Controller) apply(listing keeper.Listing) {
	var documents []*peerpb.Document
	for _, entry := range listing.Entries {
		doc, err := parser.Parse(entry.Value)
		if err != nil {
			c.Log.Error("document cannot be used", zap.String("key", entry.Key), zap.Error(err))
			continue
		}
		c.documents[doc.Service] = doc
		documents = append(documents, &peerpb.Document{Service: doc.Service, Revision: entry.Revision, Body: entry.Value})
	}
	c.Publisher.PutDocuments(documents, listing.Revision, time.Now())
	if len(documents) > 0 {
		c.Connector.Own(c.owned())
	}
}

func (c *Controller) owned() []connector.Target {
	var targets []connector.Target
	for _, doc := range c.documents {
		for _, set := range doc.Sets {
			for _, t := range set.Targets {
				n := c.portions(t.Address)
				if t.FailureDomain != c.Domain || n == 0 {
					continue
				}
				targets = append(targets, connector.Target{
					Service: doc.Service, Set: set.Name, Name: t.Name, Address: t.Address,
					FailureDomain: t.FailureDomain, Slots: t.Slots,
					Allotment: max(n*t.Connections/4, 1), Owners: portions,
				})
			}
		}
	}
	return targets
}

// portions returns how many portions of a target's connections are ours.
func (c *Controller) portions(target netip.AddrPort) int {
	members := append([]netip.AddrPort{c.Self}, c.Relays...)
	slices.SortFunc(members, netip.AddrPort.Compare)
	members = slices.Compact(members)
	n := 0
	for p := range portions {
		owner := slices.MaxFunc(members, func(a, b netip.AddrPort) int {
			return cmp.Compare(weight(target, p, a), weight(target, p, b))
		})
		if owner == c.Self {
			n++
		}
	}
	return n
}

func weight(target netip.AddrPort, portion int, member netip.AddrPort) uint64 {
	return xxhash.Sum64String(target.String() + "/" + string(rune('0'+portion)) + "/" + member.String())
}
