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
	// choosePeriod is how often the subscribed relays are chosen again.
	choosePeriod = time.Second
	// relaysPerDomain is the number of subscribed relays in each failure domain.
	// Each relay publishes all targets of its failure domain; the second one
	// provides redundancy.
	relaysPerDomain = 2
)

// Run keeps subscriptions to relays of the local and the neighbouring failure
// domains until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	subscriptions := make(map[netip.AddrPort]context.CancelFunc)
	ticks := s.timers.Every(choosePeriod)
	defer ticks.Stop()
	for {
		s.updateSubscriptions(ctx, subscriptions)
		s.announceLiveRelays()
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceLiveRelays reports all live relays to onLiveRelay again, because a link
// may have failed to open the first time, for example while a VM was starting.
func (s *Subscriber) announceLiveRelays() {
	s.mu.Lock()
	var nodes []string
	for _, m := range s.members {
		if isLive(m) {
			nodes = append(nodes, m.Node)
		}
	}
	s.mu.Unlock()
	for _, node := range nodes {
		s.onLiveRelay(node)
	}
}

// updateSubscriptions ends the subscriptions to relays that are no longer chosen
// and starts the missing ones.
func (s *Subscriber) updateSubscriptions(ctx context.Context, subscriptions map[netip.AddrPort]context.CancelFunc) {
	wanted := s.chooseRelays()
	for addr, cancel := range subscriptions {
		if !wanted.Has(addr) {
			cancel()
			delete(subscriptions, addr)
		}
	}
	for addr := range wanted {
		if _, ok := subscriptions[addr]; ok {
			continue
		}
		relayCtx, cancel := context.WithCancel(ctx)
		subscriptions[addr] = cancel
		go s.keepSubscribed(relayCtx, addr)
	}
}

// chooseRelays returns the addresses of the relays to subscribe to.
func (s *Subscriber) chooseRelays() container.Set[netip.AddrPort] {
	wanted := container.NewSet[netip.AddrPort]()
	s.chooseInDomain(wanted, s.settings.FailureDomain, s.settings.Relays)
	for _, n := range s.settings.Neighbours {
		s.chooseInDomain(wanted, n.FailureDomain, n.Relays)
	}
	return wanted
}

// chooseInDomain adds relays of one failure domain: first the relay on this VM,
// then others by rank, then the configured seeds while too few members are known.
func (s *Subscriber) chooseInDomain(wanted container.Set[netip.AddrPort], domain string, seeds []netip.AddrPort) {
	nodes := s.liveNodesIn(domain)
	chosen := 0
	if slices.Contains(nodes, s.settings.Node) {
		chosen += s.addRelay(wanted, s.settings.Node)
	}
	for _, node := range assigner.Rank(s.settings.Node, nodes, relaysPerDomain) {
		if chosen == relaysPerDomain {
			return
		}
		if node != s.settings.Node {
			chosen += s.addRelay(wanted, node)
		}
	}
	for _, addr := range seeds {
		if chosen == relaysPerDomain {
			return
		}
		if !wanted.Has(addr) {
			wanted.Add(addr)
			chosen++
		}
	}
}

// addRelay adds the address of a relay and returns the number of relays added.
func (s *Subscriber) addRelay(wanted container.Set[netip.AddrPort], node string) int {
	addr, ok := s.RelayAddress(node)
	if !ok {
		return 0
	}
	wanted.Add(addr)
	return 1
}

func (s *Subscriber) liveNodesIn(domain string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []string
	for _, m := range s.members {
		if m.FailureDomain == domain && isLive(m) {
			nodes = append(nodes, m.Node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
