package follower

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/platform/storer"
)

// member returns the entry VM that an item announces, and false for other items.
func (f *Follower) member(item storer.Item) (registrar.Member, bool) {
	member, ok := announcer.ParseItem(item)
	if ok && !item.Gone && !member.Address.IsValid() {
		f.log.Warn("entry VM is announced without a valid address and cannot be polled", zap.String("vm", member.Name), zap.Uint64("revision", item.Revision))
	}
	return member, ok
}

// replaceMembers replaces the entry VMs by those of a full listing.
func (f *Follower) replaceMembers(listing storer.Listing) {
	var members []registrar.Member
	for _, item := range listing.Items {
		if member, ok := f.member(item); ok {
			members = append(members, member)
		}
	}
	f.memberSet.Replace(f.timers.Now(), members)
	f.updateMembers()
}

// updateMembers notifies the listener if the set of entry VMs has changed.
func (f *Follower) updateMembers() {
	members := f.memberSet.Members(f.timers.Now())
	if slices.Equal(members, f.members) {
		return
	}
	if len(members) != len(f.members) {
		f.log.Info("entry VMs counted", zap.Int("before", len(f.members)), zap.Int("now", len(members)))
	}
	f.members = members
	f.listeners.EntryVMs(members)
}

// minBatchDelayShare is the least share of BatchDelay that a VM waits, however many
// others it reads for.
const minBatchDelayShare = 0.25

// batchDelay returns the pause after changes. It is shorter the more VMs the domain
// has: as one VM reads for all, they still make fewer calls together and receive
// changes sooner.
func (f *Follower) batchDelay() time.Duration {
	sameDomain := 0
	for _, m := range f.members {
		if m.Domain == f.config.Domain {
			sameDomain++
		}
	}
	share := max(1/math.Sqrt(float64(max(sameDomain, 1))), minBatchDelayShare)
	return time.Duration(share * float64(f.config.BatchDelay))
}
