// Package ticketer issues and checks the tickets under which non-idempotent
// requests run at most once.
//
// Only the incarnation that issued a ticket may run its request, and its Table
// holds the only record of it. Any other process forwards the ticket, returns an
// answer handed over to it, or reports that the outcome is unknown. Only the
// issuing Table may report "not run" for a request, because each such refusal
// also closes the ticket for that request: a delayed copy cannot run afterwards.
//
// A Table does no I/O, starts no goroutine and must be used by one goroutine
// only.
package ticketer
