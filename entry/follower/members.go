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

// replaceMembers applies the entry VMs of a full listing.
func (f *Follower) replaceMembers(items []storer.Item) {
	var members []registrar.Member
	var unreadable []string
	for _, item := range items {
		member, ok, err := announcer.ParseItem(item)
		switch {
		case !ok:
		case err != nil:
			f.rejections.Add("entry-vm", item.Key, err)
			unreadable = append(unreadable, member.Name)
		default:
			members = append(members, member)
		}
	}
	f.memberSet.Replace(f.timers.Now(), members, unreadable...)
	f.updateMembers()
}

// applyMembers applies the entry VMs of a listing of changes.
func (f *Follower) applyMembers(items []storer.Item) {
	for _, item := range items {
		member, ok, err := announcer.ParseItem(item)
		switch {
		case !ok:
		case err != nil:
			f.rejections.Add("entry-vm", item.Key, err)
		case item.Gone:
			f.memberSet.MarkMissing(f.timers.Now(), member.Name)
		default:
			f.memberSet.MarkPresent(member)
		}
	}
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
	return time.Duration(share * float64(f.batchPause.Load()))
}
