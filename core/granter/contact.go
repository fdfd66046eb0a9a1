package granter

import "time"

// span is a period in which something was observed again and again.
type span struct{ since, last time.Time }

// observe extends the span, or begins a new one after a gap.
func (s *span) observe(now time.Time) {
	if s.last.IsZero() || now.Sub(s.last) >= contactTimeout {
		s.since = now
	}
	s.last = now
}

// during returns how much of the time between from and to is covered by the span, which
// counts from delay after its start until the timeout after its last observation.
func (s *span) during(from, to time.Time, delay time.Duration) time.Duration {
	if s.last.IsZero() {
		return 0
	}
	if start := s.since.Add(delay); start.After(from) {
		from = start
	}
	if end := s.last.Add(contactTimeout); end.Before(to) {
		to = end
	}
	return max(to.Sub(from), 0)
}

// lasts reports whether the span has lasted for the delay and goes on.
func (s *span) lasts(now time.Time, delay time.Duration) bool {
	return !s.last.IsZero() && now.Sub(s.since) >= delay && now.Sub(s.last) < contactTimeout
}

// contact holds, for each domain, when other VMs in it were heard.
type contact map[string]*domainContact

type domainContact struct {
	span
	// vm is the VM that was heard last. It is pinged first, which saves connections.
	vm string
}

func (c contact) heard(now time.Time, m Member) {
	s, ok := c[m.Domain]
	if !ok {
		s = &domainContact{}
		c[m.Domain] = s
	}
	s.observe(now)
	s.vm = m.Name
}

// vmSeconds returns the sum over all VMs of the time for which they count as in contact.
// The VM itself counts always.
func (c contact) vmSeconds(from, to time.Time, list *List, self Member) float64 {
	total := max(to.Sub(from), 0).Seconds()
	for domain, vms := range list.domains {
		if s, ok := c[domain]; ok {
			total += float64(others(domain, vms, self)) * s.during(from, to, contactDelay).Seconds()
		}
	}
	return total
}

// vms returns the number of VMs that count as in contact.
func (c contact) vms(now time.Time, list *List, self Member) int {
	n := 1
	for domain, vms := range list.domains {
		if s, ok := c[domain]; ok && s.lasts(now, contactDelay) {
			n += others(domain, vms, self)
		}
	}
	return n
}

// vmsThroughout returns the number of VMs that counted as in contact all the time.
func (c contact) vmsThroughout(from, to time.Time, list *List, self Member) int {
	n := 1
	for domain, vms := range list.domains {
		if s, ok := c[domain]; ok && s.during(from, to, contactDelay) >= to.Sub(from) {
			n += others(domain, vms, self)
		}
	}
	return n
}

// others returns the number of VMs of a domain without the VM itself.
func others(domain string, vms []string, self Member) int {
	if domain == self.Domain {
		return len(vms) - 1
	}
	return len(vms)
}
