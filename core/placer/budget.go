package placer

import "time"

// SetLimits changes the bounds that are shared between the entry VMs.
func (p *Placer) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limits.RepeatWindow != p.limits.RepeatWindow {
		for _, s := range p.services {
			s.budget.length = limits.RepeatWindow
		}
	}
	p.limits = limits
	p.limits.EntryVMs = max(limits.EntryVMs, 1)
}

// extra is what this process may repeat in a window whatever it was asked.
func (p *Placer) extra() float64 {
	return p.config.BudgetShare * p.limits.RepeatExtra / float64(p.limits.EntryVMs)
}

// newBudget returns the budget of a service. A process that has just started
// knows nothing of what it repeated before its end, so half of the extra counts
// as used.
func (p *Placer) newBudget(now time.Time) *window {
	w := newWindow(now, p.limits.RepeatWindow)
	w.repeat(p.extra() / 2)
	return w
}

// withdraw takes a repeat from the budget. Hedges leave a part to repeats of
// answers that will not come.
func (p *Placer) withdraw(w *window, hedge bool) bool {
	allowed := p.config.BudgetShare*p.limits.RepeatRatio*w.asked() + p.extra()
	if hedge {
		allowed -= p.config.HedgeReserve * max(allowed-1, 0)
	}
	if w.allAgain+1 > allowed {
		return false
	}
	w.repeat(1)
	return true
}

// Connections returns how many connections this process may hold to a target
// whose service allows the given number over all callers.
func (p *Placer) Connections(allowed int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections(allowed)
}

func (p *Placer) connections(allowed int) int {
	share := p.config.ConnectionShare * float64(allowed) / float64(p.limits.EntryVMs)
	return max(int(share), 1)
}
