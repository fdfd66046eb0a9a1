package subscriber

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"jackdawcart.org/core/assigner"
	"jackdawcart.org/core/container"
)

const (
	// choosePeriod is how often the relays to follow are chosen anew.
	choosePeriod = time.Second
	// perDomain is the number of relays followed in each failure domain. Each
	// relay tells about all targets of its failure domain; the second one covers
	// the loss of the first.
	perDomain = 2
)

// Run follows relays of the own failure domain and of its neighbours until the
// context ends.
func (s *Subscriber) Run(ctx context.Context) {
	followed := make(map[netip.AddrPort]context.CancelFunc)
	ticks := s.timers.Every(choosePeriod)
	defer ticks.Stop()
	for {
		s.refollow(ctx, followed)
		s.warm()
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// warm names all live relays again, because the link to one may have failed
// to open when it was met, as happens while a VM starts.
func (s *Subscriber) warm() {
	s.mu.Lock()
	var nodes []string
	for _, m := range s.members {
		if live(m) {
			nodes = append(nodes, m.Node)
		}
	}
	s.mu.Unlock()
	for _, node := range nodes {
		s.found(node)
	}
}

func (s *Subscriber) refollow(ctx context.Context, followed map[netip.AddrPort]context.CancelFunc) {
	wanted := s.choose()
	for addr, cancel := range followed {
		if !wanted.Has(addr) {
			cancel()
			delete(followed, addr)
		}
	}
	for addr := range wanted {
		if _, ok := followed[addr]; ok {
			continue
		}
		each, cancel := context.WithCancel(ctx)
		followed[addr] = cancel
		go s.keep(each, addr)
	}
}

// choose returns the addresses of the relays to follow.
func (s *Subscriber) choose() container.Set[netip.AddrPort] {
	wanted := container.NewSet[netip.AddrPort]()
	s.chooseIn(wanted, s.settings.FailureDomain, s.settings.Relays)
	for _, n := range s.settings.Neighbours {
		s.chooseIn(wanted, n.FailureDomain, n.Relays)
	}
	return wanted
}

// chooseIn adds relays of one failure domain: the one of the own VM, then
// others by rank. Seeds are used until enough members are known.
func (s *Subscriber) chooseIn(wanted container.Set[netip.AddrPort], domain string, seeds []netip.AddrPort) {
	nodes := s.liveIn(domain)
	chosen := 0
	if slices.Contains(nodes, s.settings.Node) {
		chosen += s.want(wanted, s.settings.Node)
	}
	for _, node := range assigner.Rank(s.settings.Node, nodes, perDomain) {
		if chosen == perDomain {
			return
		}
		if node != s.settings.Node {
			chosen += s.want(wanted, node)
		}
	}
	for _, addr := range seeds {
		if chosen == perDomain {
			return
		}
		if !wanted.Has(addr) {
			wanted.Add(addr)
			chosen++
		}
	}
}

func (s *Subscriber) want(wanted container.Set[netip.AddrPort], node string) int {
	addr, ok := s.RelayAddress(node)
	if !ok {
		return 0
	}
	wanted.Add(addr)
	return 1
}

func (s *Subscriber) liveIn(domain string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []string
	for _, m := range s.members {
		if m.FailureDomain == domain && live(m) {
			nodes = append(nodes, m.Node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
