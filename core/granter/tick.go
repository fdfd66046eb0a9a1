package granter

import (
	"slices"
	"time"
)

// Tick returns the messages that are due. Their answers are passed to Answered or Failed.
func (n *Node) Tick(now time.Time) []*Send {
	var sends []*Send
	if n.keepsContact(now) {
		sends = n.pings(now, sends)
		sends = n.claims(now, sends)
	}
	probed := make(map[string]bool)
	for _, g := range n.grants {
		if !g.probes(now) {
			continue
		}
		keeper := n.list().Keeper(g.workspace.Name).Name
		if keeper == "" || keeper == n.self.Name {
			continue
		}
		p := n.peer(keeper)
		if p.failing.last.IsZero() || now.Sub(p.failing.last) < pingDelay-tickInterval/2 {
			continue
		}
		if !probed[keeper] {
			probed[keeper] = true
			sends = append(sends, n.message(now, Ping, keeper, askTimeout))
		}
		for _, vm := range n.pick(n.witnesses(keeper), witnesses) {
			s := n.message(now, Check, vm, checkTimeout)
			s.Request.Target, s.Request.Workspace = keeper, g.workspace
			sends = append(sends, s)
		}
	}
	return sends
}

// NextTick returns when Tick is to be called, and false if there is no need.
func (n *Node) NextTick(now time.Time) (time.Time, bool) {
	active := n.keepsContact(now)
	for _, g := range n.grants {
		active = active || g.probes(now)
	}
	return now.Add(tickInterval), active
}

func (n *Node) keepsContact(now time.Time) bool {
	return !n.keeperAsk.IsZero() && now.Sub(n.keeperAsk) < keeperIdle
}

func (g *grantor) probes(now time.Time) bool {
	return g.role == deputyRole && now.Sub(g.asked) < deputyIdle
}

func (n *Node) message(now time.Time, kind Kind, to string, timeout time.Duration) *Send {
	return &Send{To: to, Timeout: timeout, SentAt: now, Request: Request{Kind: kind, From: n.self}}
}

// pings returns a ping to a VM of each domain from which nothing was heard: to the one heard
// last, and to two others as well once the contact is about to end.
func (n *Node) pings(now time.Time, sends []*Send) []*Send {
	for domain, vms := range n.list().domains {
		vms = without(vms, n.self.Name, "")
		var chosen []string
		s, known := n.contact[domain]
		switch {
		case !known:
			chosen = n.pick(vms, 1)
		case now.Sub(s.last) < pingDelay-tickInterval/2:
		case now.Sub(s.last) < contactTimeout/2 && slices.Contains(vms, s.vm):
			chosen = []string{s.vm}
		default:
			chosen = n.pick(vms, 2)
		}
		for _, vm := range chosen {
			sends = append(sends, n.message(now, Ping, vm, askTimeout))
		}
	}
	return sends
}

// claims returns the claims to the VMs that may have been keepers before a change of the list.
func (n *Node) claims(now time.Time, sends []*Send) []*Send {
	if now.Sub(n.listSince) >= claimTime || now.Sub(n.claimed) < claimInterval {
		return sends
	}
	n.claimed = now
	for name, g := range n.grants {
		second := n.list().rank(name).second.Name
		if g.role != keeperRole || second == "" {
			continue
		}
		s := n.message(now, Claim, second, askTimeout)
		s.Request.Workspace = g.workspace
		sends = append(sends, s)
	}
	return sends
}

// witnesses returns the VMs of the own domain other than this one and the keeper.
func (n *Node) witnesses(keeper string) []string {
	return without(n.list().domains[n.self.Domain], n.self.Name, keeper)
}

func without(vms []string, a, b string) []string {
	rest := make([]string, 0, len(vms))
	for _, vm := range vms {
		if vm != a && vm != b {
			rest = append(rest, vm)
		}
	}
	return rest
}

// pick returns some of the VMs, chosen at random, and reorders the slice.
func (n *Node) pick(vms []string, count int) []string {
	n.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(count, len(vms))]
}

// maxChecks bounds the outcomes of checks that are kept.
const maxChecks = 32

// checked records the outcome of a check.
func (n *Node) checked(now time.Time, s *Send, status Status) {
	g, ok := n.grants[s.Request.Workspace.Name]
	if !ok || g.role != deputyRole {
		return
	}
	if status == Alive {
		g.bucket = bucket{at: now}
		n.setGranting(g, false)
	}
	g.checks = append(g.checks, check{at: now, status: status})
	if len(g.checks) > maxChecks {
		g.checks = g.checks[len(g.checks)-maxChecks:]
	}
}
