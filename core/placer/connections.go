package placer

import (
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
// them while each target has room for all VMs. Otherwise each VM keeps as
// many as fit on average, local ones first and then by rendezvous hashing, so
// that each target is chosen by about the same number of VMs.
func (p *Placer) selectKept(targets []registrar.Record, maxConnections int) keptTargets {
	local := make([]bool, len(targets))
	for i, t := range targets {
		local[i] = t.Domain == p.domain
	}
	perVM := p.config.KeptShare * float64(maxConnections) / float64(p.limits.EntryVMs)
	if perVM >= 1 {
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
// timeout grows with the number of spare connections for each VM that does not
// keep the target, after reserving two for each VM that does.
func (p *Placer) idleTimeout(now time.Time, k keptTargets, i, maxConnections int) time.Duration {
	if k.chosen == nil || k.chosen[i] {
		return 0
	}
	if now.Sub(p.firstPlacedAt) < p.config.StartupPeriod {
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
	return max(time.Duration(share*float64(p.config.FullIdleTimeout)), p.config.MinIdleTimeout)
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
