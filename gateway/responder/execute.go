package responder

import (
	"context"

	"jackdawcart.org/core/callerapi"
)

// IssueTicket issues a ticket for one non-idempotent request.
func (r *Responder) IssueTicket(context.Context, callerapi.IssueTicketParams) (*callerapi.Ticket, error) {
	return nil, notRun("issue-ticket", callerapi.ErrorCodeUnavailable, "tickets are not served")
}

// Execute runs a non-idempotent request at most once.
func (r *Responder) Execute(context.Context, *callerapi.ExecuteRequest, callerapi.ExecuteParams) (*callerapi.ExecuteAnswer, error) {
	return nil, notRun("execute", callerapi.ErrorCodeUnavailable, "execute is not served")
}
