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

// member returns the entry VM that an item announces.
func (f *Follower) member(item storer.Item) (registrar.Member, bool) {
	member, ok := announcer.Read(item)
	if ok && !item.Gone && !member.Address.IsValid() {
		f.log.Warn("entry VM counts and cannot be asked", zap.String("vm", member.Name), zap.Uint64("revision", item.Revision))
	}
	return member, ok
}

// count tells which entry VMs there are when that has changed.
func (f *Follower) count() {
	members := f.census.Members(f.timers.Now())
	if slices.Equal(members, f.members) {
		return
	}
	if len(members) != len(f.members) {
		f.log.Info("entry VMs counted", zap.Int("before", len(f.members)), zap.Int("now", len(members)))
	}
	f.members = members
	f.hear.EntryVMs(members)
}

// leastGather is the least part of the pause after changes that remains when a
// VM reads for many others.
const leastGather = 0.25

// gather returns the pause after changes. A VM that reads for others reads more
// often: all VMs of a domain together still make fewer calls, and hear sooner.
func (f *Follower) gather() time.Duration {
	near := 0
	for _, m := range f.members {
		if m.Domain == f.config.Domain {
			near++
		}
	}
	share := max(1/math.Sqrt(float64(max(near, 1))), leastGather)
	return time.Duration(share * float64(f.config.Gather))
}
