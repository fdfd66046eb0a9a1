package placer

import (
	"time"

	"jackdawcart.org/core/hedger"
)

// SetLimits changes the bounds that are shared between the entry VMs.
func (p *Placer) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	p.limits.EntryVMs = max(limits.EntryVMs, 1)
	for _, s := range p.services {
		p.setBudget(s.budget)
	}
}

func (p *Placer) setBudget(budget *hedger.State) {
	budget.SetBudget(p.limits.RepeatRatio * p.config.BudgetShare)
	budget.SetBurst(max((1-p.config.SteadyShare)*p.extra(), 1))
}

// extra is what this process may repeat in a window whatever it was asked.
func (p *Placer) extra() float64 {
	return p.config.BudgetShare * p.limits.RepeatExtra / float64(p.limits.EntryVMs)
}

// accrue grants the even part of the extra for the time that has passed.
func (p *Placer) accrue(now time.Time, s *service) {
	if p.limits.RepeatWindow > 0 && !s.granted.IsZero() {
		s.budget.Grant(p.config.SteadyShare * p.extra() * float64(now.Sub(s.granted)) / float64(p.limits.RepeatWindow))
	}
	s.granted = now
}

func (p *Placer) withdraw(s *service, hedge bool) bool {
	if hedge {
		return s.budget.WithdrawAbove(p.config.HedgeReserve)
	}
	return s.budget.Withdraw()
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
