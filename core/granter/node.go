package granter

import (
	"math/rand/v2"
	"time"

	"jackdawcart.org/core/container"
)

// Node makes the decisions of one VM. It is not safe for concurrent use. Times come from a
// clock that goes on during a suspension.
type Node struct {
	self   Member
	bounds Bounds
	random *rand.Rand
	// limitOf returns the quota of a workspace by the configuration of this VM.
	limitOf func(workspace string) (Limit, bool)

	// lists holds the lists of the last listDelay, the newest one last.
	lists   []listSince
	peers   map[string]*peer
	contact contact
	holders map[string]*holder
	grants  map[string]*grantor
	// yields holds until when the VM does not grant as keeper of a workspace.
	yields    map[string]time.Time
	listSince time.Time
	firstList time.Time
	claimed   time.Time
	// keeperAsk is the time of the last ask to this VM as a keeper.
	keeperAsk time.Time
	changes   []RoleChange
}

type listSince struct {
	list  *List
	since time.Time
}

// peer is what is known of the way to another VM.
type peer struct {
	avoidUntil time.Time
	failing    span
}

// New returns the decisions of the VM self. limitOf returns the quota of a workspace by the
// configuration of this VM.
func New(self Member, bounds Bounds, limitOf func(workspace string) (Limit, bool), random *rand.Rand) *Node {
	return &Node{
		self: self, bounds: bounds, random: random, limitOf: limitOf,
		lists: []listSince{{list: NewList(nil)}}, peers: make(map[string]*peer), contact: make(contact),
		holders: make(map[string]*holder), grants: make(map[string]*grantor), yields: make(map[string]time.Time),
	}
}

// SetBounds replaces the bounds.
func (n *Node) SetBounds(bounds Bounds) { n.bounds = bounds }

// SetMembers replaces the list of VMs.
func (n *Node) SetMembers(now time.Time, members []Member) {
	n.listSince = now
	if n.firstList.IsZero() {
		n.firstList, n.lists = now, nil
	}
	n.lists = append(n.lists, listSince{NewList(members), now})
	n.dropLists(now)
	for name, g := range n.grants {
		if n.list().Keeper(name) != n.self && g.role == keeperRole ||
			n.list().Deputy(name, n.self.Domain) != n.self.Name && g.role == deputyRole {
			n.drop(name)
		}
	}
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	for name := range n.peers {
		if !known[name] {
			delete(n.peers, name)
		}
	}
	for domain := range n.contact {
		if len(n.list().domains[domain]) == 0 {
			delete(n.contact, domain)
		}
	}
}

// dropLists drops the lists that were replaced before the last listDelay.
func (n *Node) dropLists(now time.Time) {
	for len(n.lists) > 1 && now.Sub(n.lists[1].since) >= listDelay {
		n.lists = n.lists[1:]
	}
}

func (n *Node) list() *List { return n.lists[len(n.lists)-1].list }

// grantsSince returns the time from which all lists name this VM as the keeper and it may
// grant, and false if that is later than now.
func (n *Node) grantsSince(now time.Time, named func(*List) bool) (time.Time, bool) {
	n.dropLists(now)
	for _, l := range n.lists {
		if !named(l.list) {
			return time.Time{}, false
		}
	}
	since := n.lists[0].since.Add(listDelay)
	if n.lists[0].since.Equal(n.firstList) {
		since = n.firstList.Add(firstListDelay)
	}
	return since, !now.Before(since)
}

func (n *Node) peer(name string) *peer {
	p, ok := n.peers[name]
	if !ok {
		p = &peer{}
		n.peers[name] = p
	}
	return p
}

// heard records a message of another VM.
func (n *Node) heard(now time.Time, m Member) {
	// A message with an unknown domain must not add state.
	if m.Name == n.self.Name || len(n.list().domains[m.Domain]) == 0 {
		return
	}
	n.contact.heard(now, m)
}

// reached records an answer of another VM.
func (n *Node) reached(now time.Time, name string) {
	for domain, vms := range n.list().domains {
		for _, vm := range vms {
			if vm == name {
				n.heard(now, Member{Name: name, Domain: domain})
			}
		}
	}
	if p, ok := n.peers[name]; ok && !p.failing.last.IsZero() {
		for _, g := range n.grants {
			if g.role == deputyRole && n.list().Keeper(g.workspace.Name).Name == name {
				g.bucket = bucket{at: now}
				n.setGranting(g, false)
			}
		}
		p.avoidUntil, p.failing = time.Time{}, span{}
	}
}

// failed records that another VM did not answer.
func (n *Node) failed(now time.Time, name string) {
	p := n.peer(name)
	p.avoidUntil = now.Add(avoidTime)
	p.failing.observe(now)
}

func (n *Node) holder(workspace string) *holder {
	h, ok := n.holders[workspace]
	if !ok {
		if len(n.holders) >= maxWorkspaces {
			clear(n.holders)
		}
		h = &holder{}
		n.holders[workspace] = h
	}
	return h
}

// Configure makes the VM keep contact if it is the keeper of one of the workspaces, which are
// those with a quota, and drops the state of the others.
func (n *Node) Configure(now time.Time, workspaces container.Set[string]) {
	for name := range workspaces {
		if n.list().Keeper(name) == n.self {
			n.keeperAsk = now
		}
	}
	for name := range n.holders {
		if !workspaces.Has(name) {
			delete(n.holders, name)
		}
	}
	for name := range n.grants {
		if !workspaces.Has(name) {
			n.drop(name)
		}
	}
}

// Take decides on a request of a caller of this VM. returning is set if the request was probably
// refused before.
func (n *Node) Take(now time.Time, w Workspace, returning bool) Step {
	h := n.holder(w.Name)
	h.countTake(now)
	if h.takeCredit(now) {
		return Step{Admitted: true, Source: SourceCredit}
	}
	if now.Before(h.deniedUntil) {
		return n.refuse(h.deniedUntil.Sub(now), h.spread, SourceDenial)
	}
	keeper := n.list().Keeper(w.Name)
	switch {
	case keeper.Name == "":
		return n.useReserve(now, w)
	case keeper.Name == n.self.Name:
		return n.decide(now, w, n.grantAsKeeper(now, w, purchase{wanted: 1, returning: returning}), SourceKeeper, now, 1)
	case !now.Before(n.peer(keeper.Name).avoidUntil):
		return Step{Send: n.ask(now, AskKeeper, keeper.Name, askTimeout, w, n.purchase(now, h, 1, returning))}
	default:
		return n.askDeputy(now, w, returning)
	}
}

// purchase returns what to ask for. Only one ask at a time wants credit, so that it knows how
// much the VM has.
func (n *Node) purchase(now time.Time, h *holder, wanted int, returning bool) purchase {
	p := purchase{wanted: wanted, held: h.credit(now), returning: returning}
	if !now.Before(h.renewingUntil) {
		p.extra = max(h.desired()-p.held, 0)
	}
	if p.extra > 0 {
		h.renewingUntil = now.Add(askTimeout)
	}
	return p
}

func (n *Node) ask(now time.Time, kind Kind, to string, timeout time.Duration, w Workspace, p purchase) *Send {
	return &Send{
		To: to, Timeout: timeout, SentAt: now,
		Request: Request{Kind: kind, From: n.self, Workspace: w, Wanted: p.wanted, Extra: p.extra, Held: p.held, Returning: p.returning},
	}
}

func (n *Node) askDeputy(now time.Time, w Workspace, returning bool) Step {
	deputy := n.list().Deputy(w.Name, n.self.Domain)
	switch {
	case deputy == n.self.Name:
		return n.decide(now, w, n.grantAsDeputy(now, w, purchase{wanted: 1, returning: returning}), SourceDeputy, now, 1)
	case deputy == "" || now.Before(n.peer(deputy).avoidUntil):
		return n.useReserve(now, w)
	default:
		return Step{Send: n.ask(now, AskDeputy, deputy, deputyTimeout, w, n.purchase(now, n.holder(w.Name), 1, returning))}
	}
}

// Renew returns an ask for credit in the background, nil if there is no need. It is meant to
// be called after a request was admitted by credit.
func (n *Node) Renew(now time.Time, w Workspace) *Send {
	h := n.holder(w.Name)
	keeper := n.list().Keeper(w.Name)
	desired := h.desired()
	if now.Before(h.renewingUntil) || desired == 0 || h.credit(now) > desired/2 || keeper.Name == "" || keeper.Name == n.self.Name ||
		now.Before(n.peer(keeper.Name).avoidUntil) || now.Before(h.deniedUntil) {
		return nil
	}
	return n.ask(now, AskKeeper, keeper.Name, askTimeout, w, n.purchase(now, h, 0, false))
}

// Answered returns the next step after an answer to a Send.
func (n *Node) Answered(now time.Time, s *Send, answer Answer) Step {
	n.reached(now, s.To)
	w := s.Request.Workspace
	switch s.Request.Kind {
	case AskKeeper, AskDeputy:
		source := SourceKeeper
		if s.Request.Kind == AskDeputy {
			source = SourceDeputy
		}
		if s.Request.Extra > 0 {
			n.holder(w.Name).renewingUntil = time.Time{}
		}
		return n.decide(now, w, answer, source, s.SentAt, s.Request.Wanted)
	case Check:
		n.checked(now, s, answer.Status)
	case Ping, Claim:
	}
	return Step{}
}

// Failed returns the next step after a Send was not answered. late is set if the caller's
// time to wait ended before that of the Send, which says little about the other VM.
func (n *Node) Failed(now time.Time, s *Send, late bool) Step {
	if !late {
		n.failed(now, s.To)
	}
	switch s.Request.Kind {
	case AskKeeper:
		if s.Request.Wanted > 0 && late {
			return n.useReserve(now, s.Request.Workspace)
		}
		if s.Request.Wanted > 0 {
			return n.askDeputy(now, s.Request.Workspace, s.Request.Returning)
		}
	case AskDeputy:
		return n.useReserve(now, s.Request.Workspace)
	case Check:
		n.checked(now, s, 0)
	case Ping, Claim:
	}
	return Step{}
}

// decide applies an answer to an ask for the wanted number of tokens.
func (n *Node) decide(now time.Time, w Workspace, answer Answer, source Source, sentAt time.Time, wanted int) Step {
	h := n.holder(w.Name)
	until := sentAt.Add(creditTime)
	switch answer.Status {
	case Granted:
		h.addCredit(until, min(answer.Credit, maxCredit))
		h.share, h.sharedAt = min(max(answer.Share, 0), 1), now
		if !now.Before(until) {
			return n.refuse(notGrantingRetry, notGrantingRetry, source)
		}
		return Step{Admitted: true, Source: source}
	case Denied:
		if wanted == 0 {
			return Step{}
		}
		retry := min(max(answer.RetryAfter, 0), maxRetryAfter)
		if until := now.Add(retry); until.After(h.deniedUntil) {
			h.deniedUntil = until
		}
		h.spread = min(max(answer.Spread, 0), maxRetryAfter)
		return n.refuse(retry, h.spread, source)
	default:
		if wanted == 0 {
			return Step{}
		}
		return n.useReserve(now, w)
	}
}

// Unanswered records that another VM did not answer in time.
func (n *Node) Unanswered(now time.Time, vm string) { n.failed(now, vm) }

// GaveUp records the answer to an ask whose request no longer waits. Its tokens become credit.
func (n *Node) GaveUp(now time.Time, s *Send, answer Answer) {
	n.reached(now, s.To)
	if answer.Status == Granted {
		n.holder(s.Request.Workspace.Name).addCredit(s.SentAt.Add(creditTime), s.Request.Wanted)
	}
}

func (n *Node) useReserve(now time.Time, w Workspace) Step {
	vms := n.reserveVMs(now)
	if vms > 0 {
		h := n.holder(w.Name)
		part := evenReserve / float64(vms)
		if now.Sub(h.sharedAt) < shareTime {
			part += sharedReserve * h.share
		}
		size := n.bounds.margin(w.Limit) * part
		if h.reserve.take(now, n.bounds.Window, size, n.random.Float64()) {
			return Step{Admitted: true, Source: SourceReserve}
		}
	}
	return n.refuse(notGrantingRetry, notGrantingRetry, SourceReserve)
}

// reserveVMs returns the number of VMs that share the reserve, 0 while it is unknown.
func (n *Node) reserveVMs(now time.Time) int {
	if n.firstList.IsZero() || now.Sub(n.firstList) < firstListDelay {
		return 0
	}
	n.dropLists(now)
	vms := 0
	for _, l := range n.lists {
		vms = max(vms, len(l.list.members))
	}
	return vms
}

// minSpread keeps callers from returning together.
const minSpread = 10 * time.Millisecond

// refuse returns a refusal. The delay is spread over the time in which the callers that were
// refused could be admitted.
func (n *Node) refuse(retry, spread time.Duration, source Source) Step {
	spread = max(spread, retry, minSpread)
	return Step{RetryAfter: retry + time.Duration(n.random.Float64()*float64(spread)), Source: source}
}

// Return gives back the token of an admitted request that has not run.
func (n *Node) Return(now time.Time, workspace string) {
	n.holder(workspace).addCredit(now.Add(returnTime), 1)
}
