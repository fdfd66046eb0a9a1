package granter

import "time"

type role int

const (
	keeperRole role = iota
	deputyRole
)

// grantor is the state of a keeper or deputy for one workspace.
type grantor struct {
	role   role
	bucket bucket
	// asked is the time of the last ask.
	asked     time.Time
	workspace Workspace
	granting  bool
	// checks are the outcomes of the last checks of a deputy.
	checks []check
}

// check is the outcome of a check: Alive, Unreached, or 0 without an answer.
type check struct {
	at     time.Time
	status Status
}

// Handle answers a request of another VM. If forward is not nil, it is to be sent first, and
// its outcome passed to Forwarded, which returns the answer.
func (n *Node) Handle(now time.Time, r Request) (answer Answer, forward *Send) {
	n.heard(now, r.From)
	w := r.Workspace
	p := purchase{vm: r.From.Name, wanted: bounded(r.Wanted), extra: bounded(r.Extra), held: bounded(r.Held), returning: r.Returning}
	switch r.Kind {
	case AskKeeper:
		return n.grantAsKeeper(now, w, p), nil
	case AskDeputy:
		keeper := n.list().Keeper(w.Name)
		if keeper.Name == n.self.Name {
			return n.grantAsKeeper(now, w, p), nil
		}
		if keeper.Name != "" && !now.Before(n.peer(keeper.Name).avoidUntil) {
			// The keeper would count credit as that of this VM.
			return Answer{}, n.ask(now, AskKeeper, keeper.Name, askTimeout, w, purchase{wanted: p.wanted, returning: p.returning})
		}
		return n.grantAsDeputy(now, w, p), nil
	case Check:
		target, known := n.peers[r.Target]
		if known && target.failing.lasts(now, 0) && now.Before(target.avoidUntil) {
			return Answer{Status: Unreached}, nil
		}
		return Answer{}, &Send{To: r.Target, Timeout: askTimeout, SentAt: now, Request: Request{Kind: Ping, From: n.self}}
	case Claim:
		n.yield(now, r.From.Name, w.Name)
		return Answer{Status: Alive}, nil
	case Ping:
		return Answer{Status: Alive}, nil
	default:
		// A kind of a later version.
		return Answer{Status: NotGranting}, nil
	}
}

// Forwarded returns the answer to a request after the outcome of its forward.
func (n *Node) Forwarded(now time.Time, r Request, forward *Send, answer Answer, ok bool) Answer {
	if ok {
		n.reached(now, forward.To)
		return answer
	}
	n.failed(now, forward.To)
	if r.Kind == Check {
		return Answer{Status: Unreached}
	}
	return n.grantAsDeputy(now, r.Workspace, purchase{vm: r.From.Name, wanted: bounded(r.Wanted), returning: r.Returning})
}

// RoleChange says that the VM has begun or ceased to grant.
type RoleChange struct {
	Workspace string
	Deputy    bool
	Granting  bool
}

// maxChanges bounds the changes that are kept until they are taken.
const maxChanges = 64

// TakeChanges returns the changes of role since the last call.
func (n *Node) TakeChanges() []RoleChange {
	changes := n.changes
	n.changes = nil
	return changes
}

func (n *Node) setGranting(g *grantor, granting bool) {
	if g.granting == granting {
		return
	}
	g.granting = granting
	if len(n.changes) < maxChanges {
		n.changes = append(n.changes, RoleChange{Workspace: g.workspace.Name, Deputy: g.role == deputyRole, Granting: granting})
	}
}

// drop removes the state of a keeper or deputy.
func (n *Node) drop(workspace string) {
	if g, ok := n.grants[workspace]; ok {
		n.setGranting(g, false)
		delete(n.grants, workspace)
	}
}

func bounded(n int) int { return min(max(n, 0), maxCredit) }

// yield stops the grants of this VM after the claim of one of higher rank.
func (n *Node) yield(now time.Time, from, workspace string) {
	if n.list().Keeper(workspace) != n.self || Score(from, workspace) <= Score(n.self.Name, workspace) {
		return
	}
	if len(n.yields) >= maxWorkspaces {
		clear(n.yields)
	}
	n.yields[workspace] = now.Add(yieldTime)
	n.drop(workspace)
}

// limit returns the quota of a workspace, by the configuration of this VM if it names one.
func (n *Node) limit(w Workspace) Limit {
	if l, ok := n.limitOf(w.Name); ok {
		return l
	}
	return w.Limit
}

// grantor returns the state for a role, which begins with an empty bucket.
func (n *Node) grantor(now, since time.Time, w Workspace, r role) *grantor {
	g, ok := n.grants[w.Name]
	if !ok || g.role != r {
		n.drop(w.Name)
		if len(n.grants) >= maxWorkspaces {
			clear(n.grants)
		}
		g = &grantor{role: r, bucket: bucket{at: since}}
		n.grants[w.Name] = g
	}
	g.asked, g.workspace = now, w
	return g
}

func (n *Node) grantAsKeeper(now time.Time, w Workspace, p purchase) Answer {
	since, ok := n.grantsSince(now, func(l *List) bool { return l.Keeper(w.Name) == n.self })
	if n.list().Keeper(w.Name) == n.self {
		// Contact is built up while the VM waits.
		n.keeperAsk = now
	}
	if until, yields := n.yields[w.Name]; yields {
		if now.Before(until) {
			return Answer{Status: NotGranting}
		}
		delete(n.yields, w.Name)
		since = now
	}
	if !ok {
		return Answer{Status: NotGranting}
	}
	limit := n.limit(w)
	list := n.list()
	g := n.grantor(now, since, w, keeperRole)
	// The deputy of a domain that was out of contact may have granted its share.
	g.bucket.tokens = min(g.bucket.tokens, n.bounds.capacity(limit)*list.share(n.contact.vmsThroughout(g.bucket.at, now, list, n.self)))
	share := list.share(n.contact.vms(now, list, n.self))
	accrued := n.bounds.rate(limit) * n.contact.vmSeconds(g.bucket.at, now, list, n.self) / float64(len(list.members))
	return n.grant(now, g, limit, share, accrued, p)
}

func (n *Node) grantAsDeputy(now time.Time, w Workspace, p purchase) Answer {
	list := n.list()
	if list.Deputy(w.Name, n.self.Domain) != n.self.Name {
		return Answer{Status: NotGranting}
	}
	g := n.grantor(now, now, w, deputyRole)
	_, named := n.grantsSince(now, func(l *List) bool { return l.Deputy(w.Name, n.self.Domain) == n.self.Name })
	if !named || !n.mayTakeOver(now, g) {
		g.bucket = bucket{at: now}
		n.setGranting(g, false)
		return Answer{Status: NotGranting}
	}
	// What accrued before the deputy took over is the keeper's.
	if start := n.peers[list.Keeper(w.Name).Name].failing.since.Add(takeOverDelay); g.bucket.at.Before(start) {
		g.bucket = bucket{at: start}
	}
	vms := len(list.domains[n.self.Domain])
	if list.Keeper(w.Name).Domain == n.self.Domain {
		vms--
	}
	limit := n.limit(w)
	share := list.share(vms)
	return n.grant(now, g, limit, share, n.bounds.rate(limit)*share*now.Sub(g.bucket.at).Seconds(), p)
}

// mayTakeOver reports whether a deputy has not reached the keeper for long enough, nor have
// the other VMs of its domain.
func (n *Node) mayTakeOver(now time.Time, g *grantor) bool {
	list := n.list()
	keeper := list.Keeper(g.workspace.Name)
	p, ok := n.peers[keeper.Name]
	if !ok || !p.failing.lasts(now, takeOverDelay) {
		return false
	}
	if len(n.witnesses(keeper.Name)) == 0 {
		return true
	}
	agreed, silent := 0, 0
	for _, c := range g.checks {
		switch {
		case now.Sub(c.at) >= contactTimeout:
		case c.status == Unreached:
			agreed++
		case c.status == Alive:
			return false
		default:
			silent++
		}
	}
	return agreed > silent
}

// grant grants tokens from a bucket of a share of the quota.
func (n *Node) grant(now time.Time, g *grantor, limit Limit, share, accrued float64, p purchase) Answer {
	if limit.Rate <= 0 {
		return Answer{Status: NotGranting}
	}
	n.setGranting(g, true)
	// A bucket that never holds a whole token would admit nothing.
	capacity := max(n.bounds.capacity(limit)*share, 1)
	g.bucket.fill(now, accrued, capacity)
	granted, credit := g.bucket.grant(now, p, capacity, creditShare*n.bounds.margin(limit)*share)
	if granted < p.wanted {
		g.bucket.tokens += float64(granted)
		rate := n.bounds.rate(limit) * share
		backlog := g.bucket.denials.add(now)
		return Answer{Status: Denied, RetryAfter: g.bucket.wait(rate), Spread: waitFor(backlog, rate)}
	}
	g.bucket.demand.add(now, p.vm, granted+credit)
	return Answer{Status: Granted, Credit: credit, Share: g.bucket.demand.share(p.vm)}
}
