package placer

import "time"

// SetLimits replaces the limits that the entry VMs share.
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

// repeatAllowance returns the number of repeats that this process may send in
// each window regardless of its traffic.
func (p *Placer) repeatAllowance() float64 {
	return p.config.BudgetShare * p.limits.RepeatExtra / float64(p.limits.EntryVMs)
}

// newBudget returns the repeat budget of a service. A restarted process does
// not know how many repeats it sent before, so half of the allowance counts
// as used.
func (p *Placer) newBudget(now time.Time) *window {
	w := newWindow(now, p.limits.RepeatWindow)
	w.addRepeats(p.repeatAllowance() / 2)
	return w
}

// takeRepeat charges one repeat to the budget and reports whether the budget
// allows it. Hedges leave a reserve for repeats of requests that will get no
// answer.
func (p *Placer) takeRepeat(w *window, hedge bool) bool {
	allowed := p.config.BudgetShare*p.limits.RepeatRatio*w.firstCount() + p.repeatAllowance()
	if hedge {
		allowed -= p.config.HedgeReserve * max(allowed-1, 0)
	}
	if w.repeatTotal+1 > allowed {
		return false
	}
	w.addRepeats(1)
	return true
}

// Connections returns the number of connections that this process may hold to
// a target whose service allows the given number across all callers.
func (p *Placer) Connections(allowed int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections(allowed)
}

func (p *Placer) connections(allowed int) int {
	share := p.config.ConnectionShare * float64(allowed) / float64(p.limits.EntryVMs)
	return max(int(share), 1)
}
