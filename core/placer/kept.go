package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/selector"
)

// kept says which of the targets of a service this VM keeps connections to.
type kept struct {
	// near marks the targets of the own failure domain.
	near []bool
	// chosen marks the kept targets; it is nil if all are kept.
	chosen []bool
}

// prefers reports whether the target should have a connection before the first
// request.
func (k kept) prefers(i int) bool {
	if k.chosen != nil {
		return k.chosen[i]
	}
	return k.near[i]
}

// mark says in a candidate what speaks for its target besides its latency. The
// bytes to another failure domain are priced. Where all targets are in others, a
// kept one only saves a new connection.
func (k kept) mark(c *selector.Candidate, i int, unkept float64) {
	if slices.Contains(k.near, true) {
		c.Local = k.near[i]
		return
	}
	c.Local = true
	if !k.prefers(i) {
		c.Penalty = unkept
	}
}

// keeps chooses the targets that the VM keeps connections to. While a target has
// room for all VMs these are all of them. Else each VM chooses as many as fit on
// average, near ones first, and by a hash that differs between VMs, so that each
// target is chosen by about as many.
func (p *Placer) keeps(targets []registrar.Record, maxConnections int) kept {
	near := make([]bool, len(targets))
	for i, t := range targets {
		near[i] = t.Domain == p.domain
	}
	room := p.config.KeptShare * float64(maxConnections) / float64(p.limits.EntryVMs)
	if room >= 1 {
		return kept{near: near}
	}
	chosen := make([]bool, len(targets))
	for range p.fitting(room*float64(len(targets)), near) {
		best := -1
		for i := range targets {
			if !chosen[i] && (best < 0 || p.before(targets, near, i, best)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		chosen[best] = true
	}
	return kept{near: near, chosen: chosen}
}

// fitting returns how many targets of a service a VM keeps where the given
// number fits on average. What the rounding leaves goes to the VMs without a
// near target, as they use all targets alike.
func (p *Placer) fitting(room float64, near []bool) int {
	count := max(int(room), 1)
	if slices.Contains(near, true) || p.limits.Domains <= len(near) {
		return count
	}
	without := 1 - float64(len(near))/float64(p.limits.Domains)
	if room-float64(count) >= without {
		count++
	}
	return count
}

func (p *Placer) before(targets []registrar.Record, near []bool, i, j int) bool {
	if near[i] != near[j] {
		return near[i]
	}
	return p.target(targets[i].ID).weight > p.target(targets[j].ID).weight
}

// linger returns how long an idle connection to a target stays open, 0 for as
// long as the target keeps it. A connection to a target that is not kept stays
// the longer, the more of the VMs that do not keep it fit beside twice those
// that do.
func (p *Placer) linger(now time.Time, k kept, i, maxConnections int) time.Duration {
	if k.chosen == nil || k.chosen[i] {
		return 0
	}
	if now.Sub(p.began) < p.config.Settling {
		return p.config.LingerLeast
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
	return max(time.Duration(share*float64(p.config.LingerMost)), p.config.LingerLeast)
}

// weight is the rank of a target for a VM.
func weight(vm, target string) uint64 { return xxhash.Sum64String(vm + "\x00" + target) }

// Prefers reports whether this VM prefers a target to others of its service, and
// so should have a connection before the first request.
func (p *Placer) Prefers(id string, targets []registrar.Record, maxConnections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.keeps(targets, maxConnections)
	for i, t := range targets {
		if t.ID == id {
			return k.prefers(i)
		}
	}
	return false
}
