package responder

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/scatterer"
	"jackdawcart.org/core/tracer"
)

const (
	// minDeadline is the shortest deadline in which a target could answer.
	minDeadline = 5 * time.Millisecond
	// defaultLimit is the number of hits returned when the caller names none.
	defaultLimit = 20
)

// Query searches one or several services.
func (r *Responder) Query(ctx context.Context, request *callerapi.QueryRequest, params callerapi.QueryParams) (*callerapi.QueryAnswer, error) {
	r.live.Add(1)
	defer r.live.Add(-1)
	ctx = tracer.WithTraceparent(ctx, params.Traceparent.Or(""))
	ctx, span := r.config.Tracer.Start(ctx, "query", attribute.StringSlice("services", request.Services))
	defer span.End()
	started := r.config.Timers.Now()
	planned, err := r.check(request, params.JackdawcartCaller, started)
	if err != nil {
		return nil, err
	}
	planned.Traceparent = tracer.Traceparent(ctx)
	priority := priorityOf(request, planned.Services)
	if !r.admit(priority) {
		return nil, notRun("query", callerapi.ErrorCodeOverloaded, "the tier is at capacity; try again later")
	}
	answer := r.config.Engine.Query(ctx, planned)
	ended := r.config.Timers.Now()
	r.finish(admitter.Outcome{
		WithinCapacity: !answer.Overloaded,
		Elapsed:        ended.Sub(started),
		Deadline:       planned.Deadline.Sub(started),
	})
	r.record(planned, answer, ended.Sub(started))
	r.config.Mirror.Answered(planned, answer)
	return r.reply(request, planned, answer)
}

// check refuses a request that cannot be answered, before any target work.
func (r *Responder) check(request *callerapi.QueryRequest, caller string, now time.Time) (*scatterer.Request, error) {
	if refusal := r.closed("query"); refusal != nil {
		return nil, refusal
	}
	services, err := r.services(request.Services)
	if err != nil {
		return nil, err
	}
	limit := deadlineOf(services)
	if asked, ok := request.Deadline.Get(); ok {
		limit = min(limit, asked)
	}
	if limit < minDeadline {
		return nil, notRun("query", callerapi.ErrorCodeDeadlineTooLate,
			fmt.Sprintf("a deadline of %s leaves no time; the least is %s", limit, minDeadline))
	}
	fingerprint := queryFingerprint(request)
	if r.config.Control.Quarantined(fingerprint) {
		return nil, notRun("query", callerapi.ErrorCodeQuarantined, "this request has taken targets down and is refused for a time")
	}
	return &scatterer.Request{
		Services:    services,
		Caller:      caller,
		Text:        request.Text,
		Limit:       request.Limit.Or(defaultLimit),
		Deadline:    now.Add(limit),
		Fingerprint: fingerprint,
	}, nil
}

func (r *Responder) services(names []string) ([]*planner.Service, error) {
	services := make([]*planner.Service, 0, len(names))
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return nil, notRun("query", callerapi.ErrorCodeMalformed, fmt.Sprintf("service %q is named twice", name))
		}
		entry, ok := r.config.Table.Service(name)
		if !ok {
			return nil, notRun("query", callerapi.ErrorCodeUnknownService, fmt.Sprintf("no service is named %q", name))
		}
		services = append(services, entry)
	}
	return services, nil
}

func deadlineOf(services []*planner.Service) time.Duration {
	limit := time.Duration(services[0].Document.Answering.Deadline)
	for _, s := range services[1:] {
		limit = min(limit, time.Duration(s.Document.Answering.Deadline))
	}
	return limit
}

// priorityOf lets a caller ask for another class than the service's own.
func priorityOf(request *callerapi.QueryRequest, services []*planner.Service) admitter.Priority {
	if asked, ok := request.Priority.Get(); ok && asked != callerapi.PriorityNormal {
		return admitter.ParsePriority(string(asked))
	}
	priority := admitter.Low
	for _, s := range services {
		priority = max(priority, admitter.ParsePriority(s.Document.Answering.Priority))
	}
	return priority
}

// queryFingerprint is equal for requests that make targets do the same work.
func queryFingerprint(request *callerapi.QueryRequest) uint64 {
	services := slices.Sorted(slices.Values(request.Services))
	return quarantiner.Fingerprint(strings.Join(services, "\x00"), "search", request.Text)
}

func (r *Responder) record(planned *scatterer.Request, answer *scatterer.Answer, latency time.Duration) {
	r.latency.RecordDuration(latency)
	r.counters.queries.Inc(1)
	r.counters.subRequests.Inc(int64(answer.Stats.Subs))
	r.counters.hedges.Inc(int64(answer.Stats.Hedges))
	r.counters.retries.Inc(int64(answer.Stats.Retries))
	r.counters.restarts.Inc(int64(answer.Stats.Restarts))
	if answer.Complete {
		return
	}
	r.counters.partial.Inc(1)
	r.config.Log.Info("partial answer",
		zap.String("query-id", answer.QueryID),
		zap.Int("services", len(planned.Services)),
		zap.Float64("coverage", answer.Coverage),
		zap.Duration("latency", latency),
		zap.Bool("overloaded", answer.Overloaded),
	)
}

func (r *Responder) reply(request *callerapi.QueryRequest, planned *scatterer.Request, answer *scatterer.Answer) (*callerapi.QueryAnswer, error) {
	if answer.Stats.Sent == 0 {
		return nil, notRun("query", callerapi.ErrorCodeUnavailable, "no target of the named services can be reached now")
	}
	for i, s := range answer.Services {
		if least := planned.Services[i].Document.Answering.MinimumCoverage; s.Coverage < least {
			return nil, &Error{
				Op: "query", Kind: callerapi.ErrorCodeCoverageTooLow, Outcome: outcomeOf(answer),
				Message: fmt.Sprintf("coverage of %s is %.3f, below its minimum of %.3f", s.Service, s.Coverage, least),
			}
		}
	}
	reply := &callerapi.QueryAnswer{
		QueryID:   answer.QueryID,
		RequestID: request.RequestID,
		Complete:  answer.Complete,
		Coverage:  answer.Coverage,
		Hits:      make([]callerapi.Hit, len(answer.Hits)),
		Services:  make([]callerapi.ServiceAnswer, len(answer.Services)),
	}
	for i, h := range answer.Hits {
		reply.Hits[i] = callerapi.Hit{Service: h.Service, ID: h.ID, Score: h.Score, Title: h.Title}
	}
	for i, s := range answer.Services {
		reply.Services[i] = callerapi.ServiceAnswer{
			Service: s.Service, Set: s.Set, Snapshot: s.Snapshot,
			Coverage: s.Coverage, MissingShards: s.Missing,
		}
	}
	return reply, nil
}

// outcomeOf tells whether a target is known to have run a part of the query.
func outcomeOf(answer *scatterer.Answer) callerapi.Outcome {
	if answer.Stats.Answered > 0 {
		return callerapi.OutcomeRan
	}
	return callerapi.OutcomeUnknown
}
