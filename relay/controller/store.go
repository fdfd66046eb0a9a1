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
	// watchWait is how long the store holds a watch; a waiting watch counts as
	// one call.
	watchWait = 10 * time.Second
	// relistPeriod is how often a reader lists everything, which repairs what a
	// watch may have missed.
	relistPeriod = time.Minute
	// vmPeriod is how often a reader asks for the list of VMs.
	vmPeriod = time.Second
	// leavingPeriod is how often an unchanged list of leaving VMs is repeated,
	// for members that have joined since.
	leavingPeriod = 3 * time.Second
)

// readStore keeps one call to the store under way while this node is a reader.
func (c *Controller) readStore(ctx context.Context, now time.Time) {
	if c.reading || !c.distributor.ShouldReadStore(now) {
		return
	}
	c.reading = true
	after := c.watchFrom
	if now.Sub(c.listedAt) >= relistPeriod {
		after = 0
	}
	go func() {
		listing, err := c.readOnce(ctx, after)
		c.do(func(now time.Time) { c.storeRead(now, after, listing, err) })
	}()
}

func (c *Controller) readOnce(ctx context.Context, after uint64) (keeper.Listing, error) {
	if after == 0 {
		return c.config.Store.List(ctx, distributor.KeyPrefix)
	}
	return c.config.Store.Watch(ctx, distributor.KeyPrefix, after, watchWait)
}

func (c *Controller) storeRead(now time.Time, after uint64, listing keeper.Listing, err error) {
	c.reading = false
	if err != nil {
		c.config.Log.Warn("store cannot be read", zap.Error(err))
		c.watchFrom = 0
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
	c.watchFrom = listing.Revision
}

// readVMs asks for the list of VMs while this node is a reader, and tells its
// peers which VMs leave.
func (c *Controller) readVMs(ctx context.Context, now time.Time) {
	if c.asking || now.Sub(c.askedVMs) < vmPeriod || !slices.Contains(c.distributor.Readers(), c.config.Settings.Node) {
		return
	}
	c.asking = true
	c.askedVMs = now
	go func() {
		vms, err := c.config.Store.VMs(ctx)
		c.do(func(time.Time) {
			c.asking = false
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
		if port := c.config.Settings.SessionAddress.Port(); vm.Address.Port() == port {
			c.vmSeeds = append(c.vmSeeds, seed{netip.AddrPortFrom(vm.Address.Addr(), port), vm.FailureDomain})
		}
	}
	c.config.Connector.MarkLeaving(leaving.Names, leaving.Addresses)
	c.tellLeaving(leaving)
}

// tellLeaving sends the leaving VMs to the members: at once when they change,
// else at a low rate, since each message goes to a whole failure domain.
func (c *Controller) tellLeaving(leaving *peerpb.LeavingVMs) {
	now := c.config.Timers.Now()
	changed := !proto.Equal(leaving, c.toldLeaving)
	if !changed && (len(leaving.Names) == 0 || now.Sub(c.toldAt) < leavingPeriod) {
		return
	}
	c.toldLeaving, c.toldAt = leaving, now
	c.sendToMembers(&peerpb.Frame{Kind: &peerpb.Frame_LeavingVms{LeavingVms: leaving}})
}
