package driver

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/scheduler"
)

func (d *Driver) send(ctx context.Context, a scheduler.Arrival) {
	a.Request.Sent = d.clock.Now()
	timeout := a.Request.Deadline + time.Duration(d.workload.Patience)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.Request.Kind == checker.RequestExecute {
		d.execute(ctx, a)
		return
	}
	d.recordAnswer(a.Request, d.query(ctx, &a.Request))
}

// callGateway calls a gateway chosen by round robin, like a load balancer, and
// fails over to the next one if the connection cannot be opened. It never repeats
// a request of which any byte may have been sent.
func (d *Driver) callGateway(call func(*callerapi.Client) error) error {
	first := d.nextGateway.Add(1)
	var err error
	for i := range uint64(len(d.clients)) {
		client := d.clients[(first+i)%uint64(len(d.clients))]
		if err = call(client); !isDialError(err) {
			return err
		}
	}
	return err
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (d *Driver) query(ctx context.Context, q *checker.Request) checker.Answer {
	request := &callerapi.QueryRequest{
		RequestID: callerapi.NewOptString(q.ID),
		Services:  q.Services,
		Text:      q.Text,
		Limit:     callerapi.NewOptInt(q.Limit),
		Deadline:  callerapi.NewOptDuration(q.Deadline),
	}
	if q.Priority != "" {
		request.Priority = callerapi.NewOptPriority(callerapi.Priority(q.Priority))
	}
	var answer *callerapi.QueryAnswer
	err := d.callGateway(func(client *callerapi.Client) (err error) {
		answer, err = client.Query(ctx, request, callerapi.QueryParams{JackdawcartCaller: q.Caller})
		return err
	})
	if err != nil {
		return answerFromError(ctx, err)
	}
	return answerFromQuery(answer)
}

func answerFromQuery(answer *callerapi.QueryAnswer) checker.Answer {
	a := checker.Answer{
		Outcome: checker.OutcomeAnswered, EchoedRequest: answer.RequestID.Value, QueryID: answer.QueryID,
		Complete: answer.Complete, Coverage: answer.Coverage,
	}
	for _, h := range answer.Hits {
		hit := checker.Hit{ID: h.ID, Score: h.Score, Title: h.Title}
		a.Hits = append(a.Hits, checker.AnswerHit{Service: h.Service, Hit: hit})
	}
	for _, s := range answer.Services {
		a.Services = append(a.Services, checker.ServiceAnswer{
			Service: s.Service, Set: s.Set, Snapshot: s.Snapshot, Coverage: s.Coverage, Missing: s.MissingShards,
		})
	}
	return a
}

// execute obtains a ticket, unless the request has an idempotency key, and sends
// the request once or twice. Of two copies, one may be correctly refused while
// the other runs, so both are recorded as sharing their text.
func (d *Driver) execute(ctx context.Context, a scheduler.Arrival) {
	q := a.Request
	request := &callerapi.ExecuteRequest{
		Service: q.Services[0], Operation: q.Operation, Payload: q.Text, Deadline: callerapi.NewOptDuration(q.Deadline),
	}
	if a.UseKey {
		request.IdempotencyKey = callerapi.NewOptString(q.ID)
	} else if err := d.obtainTicket(ctx, &q, request); err != nil {
		answer := answerFromError(ctx, err)
		// Without a ticket the execution itself was never sent.
		answer.Outcome = checker.OutcomeNotRun
		d.recordAnswer(q, answer)
		return
	}
	var sends sync.WaitGroup
	if a.Resend {
		q.SharedText = true
		duplicate := q
		duplicate.ID += "-again"
		sends.Go(func() { d.recordAnswer(duplicate, d.executeOnce(ctx, &duplicate, request)) })
	}
	d.recordAnswer(q, d.executeOnce(ctx, &q, request))
	sends.Wait()
}

func (d *Driver) obtainTicket(ctx context.Context, q *checker.Request, request *callerapi.ExecuteRequest) error {
	return d.callGateway(func(client *callerapi.Client) error {
		ticket, err := client.IssueTicket(ctx, callerapi.IssueTicketParams{JackdawcartCaller: q.Caller})
		if err == nil {
			request.Ticket = callerapi.NewOptString(ticket.Ticket)
		}
		return err
	})
}

func (d *Driver) executeOnce(ctx context.Context, q *checker.Request, request *callerapi.ExecuteRequest) checker.Answer {
	var answer *callerapi.ExecuteAnswer
	err := d.callGateway(func(client *callerapi.Client) (err error) {
		answer, err = client.Execute(ctx, request, callerapi.ExecuteParams{JackdawcartCaller: q.Caller})
		return err
	})
	if err != nil {
		return answerFromError(ctx, err)
	}
	return checker.Answer{
		Outcome: checker.OutcomeAnswered, EchoedRequest: answer.RequestID, Complete: true, Coverage: 1, Result: answer.Result,
	}
}

// answerFromError converts a client error to the outcome that the caller knows.
func answerFromError(ctx context.Context, err error) checker.Answer {
	var typed *callerapi.ErrorStatusCode
	if errors.As(err, &typed) {
		r := typed.Response
		return checker.Answer{Outcome: checker.Outcome(r.Outcome), Code: string(r.Code), Message: r.Message}
	}
	a := checker.Answer{Outcome: checker.OutcomeUnknown, Code: CodeConnection, Message: err.Error()}
	if ctx.Err() != nil {
		a.Code = CodeNoAnswer
	}
	if isDialError(err) {
		a.Outcome = checker.OutcomeNotRun
	}
	return a
}
