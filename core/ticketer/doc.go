// Package ticketer issues and checks the tickets under which non-idempotent
// requests run at most once.
//
// The incarnation that issued a ticket is the only one that may run its
// request, and its Table is the only record of it. Any other process forwards
// the ticket, answers from handed-over answers, or says that the outcome is
// unknown. Only the issuing Table may say "not run" about a ticketed request,
// because each such refusal also closes the ticket for that request: a delayed
// copy of the request cannot run afterwards.
//
// A Table does no I/O, starts no goroutine and is owned by one goroutine.
package ticketer
