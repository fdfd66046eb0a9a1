package controller

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jackdawcart.org/core/distributor"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// watchWait is how long the store holds a watch open. A watch counts as one
	// call however long it waits.
	watchWait = 10 * time.Second
	// relistPeriod is how often a reader lists all documents, to pick up changes
	// that a watch may have missed.
	relistPeriod = time.Minute
	// vmListPeriod is how often a reader requests the list of VMs.
	vmListPeriod = time.Second
	// leavingRepeatPeriod is how often an unchanged list of leaving VMs is sent
	// again, for members that have joined since.
	leavingRepeatPeriod = 3 * time.Second
)

// readStore keeps one call to the store pending while this node is a reader.
func (c *Controller) readStore(ctx context.Context, now time.Time) {
	if c.storeReadPending || !c.distributor.ShouldReadStore(now) {
		return
	}
	c.storeReadPending = true
	after := c.watchAfter
	if now.Sub(c.listedAt) >= relistPeriod {
		after = 0
	}
	go func() {
		listing, err := c.listOrWatch(ctx, after)
		c.runInLoop(func(now time.Time) { c.handleStoreRead(now, after, listing, err) })
	}()
}

func (c *Controller) listOrWatch(ctx context.Context, after uint64) (keeper.Listing, error) {
	if after == 0 {
		return c.config.Store.List(ctx, distributor.KeyPrefix)
	}
	return c.config.Store.Watch(ctx, distributor.KeyPrefix, after, watchWait)
}

func (c *Controller) handleStoreRead(now time.Time, after uint64, listing keeper.Listing, err error) {
	c.storeReadPending = false
	if err != nil {
		c.config.Log.Warn("store cannot be read", zap.Error(err))
		c.watchAfter = 0
		c.listedAt = time.Time{}
		c.distributor.RecordStoreFailure(now, c.rng)
		return
	}
	documents := distributor.DocumentsFromEntries(listing.Entries)
	if after == 0 {
		c.listedAt = now
		c.sendDocuments(c.distributor.ApplySnapshot(now, c.rng, listing.Revision, documents))
	} else {
		c.sendDocuments(c.distributor.ApplyChanges(now, c.rng, listing.Revision, documents))
	}
	c.watchAfter = listing.Revision
}

// readVMs requests the list of VMs while this node is a reader, and sends the
// leaving VMs to its peers.
func (c *Controller) readVMs(ctx context.Context, now time.Time) {
	if c.vmReadPending || now.Sub(c.vmReadAt) < vmListPeriod || !slices.Contains(c.distributor.Readers(), c.config.Settings.Node) {
		return
	}
	c.vmReadPending = true
	c.vmReadAt = now
	go func() {
		vms, err := c.config.Store.VMs(ctx)
		c.runInLoop(func(time.Time) {
			c.vmReadPending = false
			if err == nil {
				c.applyVMs(vms)
			}
		})
	}()
}

func (c *Controller) applyVMs(vms []keeper.VM) {
	leaving := &peerpb.LeavingVMs{}
	c.vmSeeds = c.vmSeeds[:0]
	for _, vm := range vms {
		if vm.State == keeper.VMLeaving {
			leaving.Names = append(leaving.Names, vm.Name)
			if vm.Address.Port() != 0 {
				leaving.Addresses = append(leaving.Addresses, vm.Address.String())
			}
			continue
		}
		// A VM that is listed at the session port of the relays is a seed.
		if port := c.config.Settings.SessionAddress.Port(); vm.Address.Port() == port {
			c.vmSeeds = append(c.vmSeeds, seed{netip.AddrPortFrom(vm.Address.Addr(), port), vm.FailureDomain})
		}
	}
	c.config.Connector.MarkLeaving(leaving.Names, leaving.Addresses)
	c.sendLeaving(leaving)
}

// sendLeaving sends the leaving VMs to the members: immediately when the list
// changes, otherwise at a low rate, because each message goes to every member of
// the failure domain.
func (c *Controller) sendLeaving(leaving *peerpb.LeavingVMs) {
	now := c.config.Timers.Now()
	changed := !proto.Equal(leaving, c.sentLeaving)
	if !changed && (len(leaving.Names) == 0 || now.Sub(c.leavingSentAt) < leavingRepeatPeriod) {
		return
	}
	c.sentLeaving, c.leavingSentAt = leaving, now
	c.sendToMembers(&peerpb.Frame{Kind: &peerpb.Frame_LeavingVms{LeavingVms: leaving}})
}
