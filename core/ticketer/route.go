package ticketer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/container"
)

// Route says which process decides on a request with a ticket.
type Route string

// Routes of a ticket.
const (
	// RouteLocal means that Begin of this table decides.
	RouteLocal Route = "here"
	// RouteForward means that the request is forwarded to the node that issued
	// the ticket. Without an answer from it, the outcome is unknown.
	RouteForward Route = "forward"
	// RouteIssuerGone means that the issuing incarnation has ended. Its successor may
	// hold the answer; otherwise the outcome is unknown.
	RouteIssuerGone Route = "gone"
)

// Route returns the route of a ticket. The issuer argument is the incarnation of
// the issuing node in the local membership view, if the node is in it. If the
// view is older than the ticket, the ticket is still forwarded: the issuer
// checks its own incarnation in Begin.
func (t *Table) Route(ticket Ticket, issuer container.Option[uint64]) Route {
	if t.issuedHere(ticket) || t.hasAdopted(ticket) {
		return RouteLocal
	}
	incarnation, present := issuer.Get()
	if !present || ticket.Node == t.config.Node || incarnation > ticket.Incarnation {
		return RouteIssuerGone
	}
	return RouteForward
}

// Successor returns the live gateway to which a stopping incarnation hands over
// its answers, and which other gateways ask after that incarnation has ended. It
// uses rendezvous hashing. Gateways with different membership views may choose
// different successors; the only effect is that an outcome is unknown.
func Successor(node string, incarnation uint64, live []string) container.Option[string] {
	best, bestHash := container.None[string](), uint64(0)
	prefix := node + "/" + strconv.FormatUint(incarnation, 10) + "/"
	for _, candidate := range live {
		if candidate == node {
			continue
		}
		hash := xxhash.Sum64String(prefix + candidate)
		if name, ok := best.Get(); !ok || hash > bestHash || hash == bestHash && candidate < name {
			best, bestHash = container.Some(candidate), hash
		}
	}
	return best
}
