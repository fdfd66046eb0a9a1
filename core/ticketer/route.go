package ticketer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/container"
)

// Route says which process decides on a ticket.
type Route string

// Routes of a ticket.
const (
	// RouteHere means that this table decides, with Begin.
	RouteHere Route = "here"
	// RouteForward means that the ticket goes to the node that issued it. If
	// no answer comes back, the outcome is unknown.
	RouteForward Route = "forward"
	// RouteGone means that the issuing incarnation is gone: its successor may
	// hold the answer, otherwise the outcome is unknown.
	RouteGone Route = "gone"
)

// Route returns which process decides on a ticket, given the incarnation that
// the membership shows for the issuing node, if any. A view older than the
// ticket still forwards: the issuer checks its own incarnation in Begin.
func (t *Table) Route(ticket Ticket, issuer container.Option[uint64]) Route {
	if t.issued(ticket) || t.hasAdopted(ticket) {
		return RouteHere
	}
	incarnation, present := issuer.Get()
	if !present || ticket.Node == t.config.Node || incarnation > ticket.Incarnation {
		return RouteGone
	}
	return RouteForward
}

// Successor returns the live gateway to which a stopping incarnation hands its
// answers, and which others ask once that incarnation is gone. Two differing
// views may choose differently, which makes an outcome unknown and no worse.
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
