package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/selector"
)

// keptTargets holds the targets of a service that this VM keeps connections
// to.
type keptTargets struct {
	// local marks the targets in the failure domain of this VM.
	local []bool
	// chosen marks the kept targets; it is nil if all are kept.
	chosen []bool
}

// preconnects reports whether a connection to the target is opened before the
// first request.
func (k keptTargets) preconnects(i int) bool {
	if k.chosen != nil {
		return k.chosen[i]
	}
	return k.local[i]
}

// setPreference sets the fields of a candidate that prefer its target
// regardless of latency. Traffic to another failure domain costs money. If
// all targets are in other domains, a kept target only saves opening a
// connection.
func (k keptTargets) setPreference(c *selector.Candidate, i int, unkeptPenalty float64) {
	if slices.Contains(k.local, true) {
		c.Local = k.local[i]
		return
	}
	c.Local = true
	if !k.preconnects(i) {
		c.Penalty = unkeptPenalty
	}
}

// selectKept chooses the targets that the VM keeps connections to: all of
// them while each target has room for all VMs, only the local ones while the number of
// VMs is not known. Otherwise each VM keeps as
// many as fit on average, local ones first and then by rendezvous hashing, so
// that each target is chosen by about the same number of VMs.
func (p *Placer) selectKept(targets []registrar.Record, maxConnections int) keptTargets {
	local := make([]bool, len(targets))
	for i, t := range targets {
		local[i] = t.Domain == p.domain
	}
	perVM := p.config.KeptShare * float64(maxConnections) / float64(p.limits.EntryVMs)
	switch {
	case perVM >= 1 && p.count.uncertain:
		return keptTargets{local: local, chosen: local}
	case perVM >= 1:
		return keptTargets{local: local}
	}
	chosen := make([]bool, len(targets))
	for range p.keptCount(perVM*float64(len(targets)), local) {
		best := -1
		for i := range targets {
			if !chosen[i] && (best < 0 || p.ranksBefore(targets, local, i, best)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		chosen[best] = true
	}
	return keptTargets{local: local, chosen: chosen}
}

// keptCount returns how many targets of a service a VM keeps where the given
// number fits on average. The remainder after rounding down goes to the VMs
// without a local target, as they use all targets alike.
func (p *Placer) keptCount(average float64, local []bool) int {
	count := max(int(average), 1)
	if slices.Contains(local, true) || p.limits.Domains <= len(local) {
		return count
	}
	remoteShare := 1 - float64(len(local))/float64(p.limits.Domains)
	if average-float64(count) >= remoteShare {
		count++
	}
	return count
}

func (p *Placer) ranksBefore(targets []registrar.Record, local []bool, i, j int) bool {
	if local[i] != local[j] {
		return local[i]
	}
	return p.target(targets[i].ID).rendezvousWeight > p.target(targets[j].ID).rendezvousWeight
}

// idleTimeout returns how long an idle connection to a target stays open; 0
// means until the target closes it. For a target that is not kept, the
// timeout follows from the number of spare connections for each VM that does not
// keep the target, after reserving two for each VM that does. With fewer than one per VM,
// each VM has a connection open for that share of the time. At the same timeout for all
// rates, 142 VMs that use the other targets of a shard every two seconds would hold 107 of
// 121 connections.
func (p *Placer) idleTimeout(now time.Time, k keptTargets, i, maxConnections int, t *target) time.Duration {
	if k.chosen == nil || k.chosen[i] {
		return 0
	}
	if now.Sub(p.firstPlacedAt) < p.config.StartupPeriod || p.count.uncertain {
		return p.config.MinIdleTimeout
	}
	count := 0
	for _, chosen := range k.chosen {
		if chosen {
			count++
		}
	}
	entryVMs := float64(p.limits.EntryVMs)
	keeping := entryVMs * float64(count) / float64(len(k.chosen))
	share := (float64(maxConnections) - 2*keeping) / (entryVMs - keeping)
	switch {
	case share <= 0:
		return p.config.MinIdleTimeout
	case share >= 1:
		return time.Duration(share * float64(p.config.FullIdleTimeout))
	}
	// Requests come independently of each other, so the gap between two of them exceeds
	// a time with a probability that falls exponentially.
	timeout := time.Duration(-math.Log(1-share) / t.use.perSecond(now) * float64(time.Second))
	return min(max(timeout, p.config.MinIdleTimeout), p.config.FullIdleTimeout)
}

// vmCount tells how certain the number of entry VMs is.
type vmCount struct {
	// last is the number at the last sub-request, and since the time of its last change.
	last      int
	since     time.Time
	uncertain bool
}

// updateCount records whether the number of entry VMs is an assumption or, as when all of
// them start, still grows. The few VMs known then would keep more than their share.
func (p *Placer) updateCount(now time.Time) {
	c := &p.count
	if n := p.limits.EntryVMs; n != c.last {
		c.last, c.since = n, now
	}
	starting := now.Sub(p.firstPlacedAt) < p.config.StartupPeriod
	c.uncertain = p.limits.Uncounted || starting && now.Sub(c.since) < p.config.CountPeriod
}

// use is the rate at which this process sends requests to a target.
type use struct {
	// recent is a count in which a request weighs less the older it is.
	recent  float64
	countAt time.Time
}

// usePeriod is the time constant of a rate of use. It covers several requests to a target
// that gets one every few seconds.
const usePeriod = 10 * time.Second

func (u *use) add(now time.Time) {
	u.recent = u.recent*math.Exp(-now.Sub(u.countAt).Seconds()/usePeriod.Seconds()) + 1
	u.countAt = now
}

// perSecond returns the rate after at least one request.
func (u *use) perSecond(now time.Time) float64 {
	return u.recent * math.Exp(-now.Sub(u.countAt).Seconds()/usePeriod.Seconds()) / usePeriod.Seconds()
}

// rendezvousWeight returns the rank of a target for a VM.
func rendezvousWeight(vm, target string) uint64 { return xxhash.Sum64String(vm + "\x00" + target) }

// ShouldPreconnect reports whether this VM should open a connection to the target
// before the first request.
func (p *Placer) ShouldPreconnect(id string, targets []registrar.Record, maxConnections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.selectKept(targets, maxConnections)
	for i, t := range targets {
		if t.ID == id {
			return k.preconnects(i)
		}
	}
	return false
}
