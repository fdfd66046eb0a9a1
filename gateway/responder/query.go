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
	// minDeadline is the shortest deadline that a target could meet.
	minDeadline = 5 * time.Millisecond
	// defaultLimit is the maximum number of hits if the caller sets no limit.
	defaultLimit = 20
)

// Query searches one or more services.
func (r *Responder) Query(ctx context.Context, request *callerapi.QueryRequest, params callerapi.QueryParams) (*callerapi.QueryAnswer, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx = tracer.WithTraceparent(ctx, params.Traceparent.Or(""))
	ctx, span := r.config.Tracer.Start(ctx, "query", attribute.StringSlice("services", request.Services))
	defer span.End()
	started := r.config.Timers.Now()
	prepared, err := r.prepareQuery(request, params.JackdawcartCaller, started)
	if err != nil {
		return nil, err
	}
	prepared.Traceparent = tracer.Traceparent(ctx)
	priority := priorityOf(request, prepared.Services)
	if !r.admit(priority) {
		return nil, notRunError("query", callerapi.ErrorCodeOverloaded, "the tier is at capacity; try again later")
	}
	answer := r.config.Engine.Query(ctx, prepared)
	ended := r.config.Timers.Now()
	r.finish(admitter.Outcome{
		WithinCapacity: !answer.Overloaded,
		Elapsed:        ended.Sub(started),
		Deadline:       prepared.Deadline.Sub(started),
	})
	r.recordQuery(prepared, answer, ended.Sub(started))
	r.config.Mirror.MirrorAnswered(prepared, answer)
	return r.reply(request, prepared, answer)
}

// prepareQuery validates a request before any target is involved.
func (r *Responder) prepareQuery(request *callerapi.QueryRequest, caller string, now time.Time) (*scatterer.Request, error) {
	if refusal := r.refuseUnlessServing("query"); refusal != nil {
		return nil, refusal
	}
	services, err := r.services(request.Services)
	if err != nil {
		return nil, err
	}
	timeout := shortestDeadline(services)
	if requested, ok := request.Deadline.Get(); ok {
		timeout = min(timeout, requested)
	}
	if timeout < minDeadline {
		return nil, notRunError("query", callerapi.ErrorCodeDeadlineTooLate,
			fmt.Sprintf("a deadline of %s leaves no time; the least is %s", timeout, minDeadline))
	}
	fingerprint := queryFingerprint(request)
	if r.config.Control.Quarantined(fingerprint) {
		return nil, notRunError("query", callerapi.ErrorCodeQuarantined, "this request has taken targets down and is refused for a time")
	}
	return &scatterer.Request{
		Services:    services,
		Caller:      caller,
		Text:        request.Text,
		Limit:       request.Limit.Or(defaultLimit),
		Deadline:    now.Add(timeout),
		Fingerprint: fingerprint,
	}, nil
}

func (r *Responder) services(names []string) ([]*planner.Service, error) {
	services := make([]*planner.Service, 0, len(names))
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return nil, notRunError("query", callerapi.ErrorCodeMalformed, fmt.Sprintf("service %q is named twice", name))
		}
		entry, ok := r.config.Table.Service(name)
		if !ok {
			return nil, notRunError("query", callerapi.ErrorCodeUnknownService, fmt.Sprintf("no service is named %q", name))
		}
		services = append(services, entry)
	}
	return services, nil
}

func shortestDeadline(services []*planner.Service) time.Duration {
	shortest := time.Duration(services[0].Document.Answering.Deadline)
	for _, s := range services[1:] {
		shortest = min(shortest, time.Duration(s.Document.Answering.Deadline))
	}
	return shortest
}

// priorityOf returns the priority that the caller requests or else the highest
// priority of the services. A requested normal priority counts as none, because
// it is the default of the API.
func priorityOf(request *callerapi.QueryRequest, services []*planner.Service) admitter.Priority {
	if requested, ok := request.Priority.Get(); ok && requested != callerapi.PriorityNormal {
		return admitter.ParsePriority(string(requested))
	}
	priority := admitter.Low
	for _, s := range services {
		priority = max(priority, admitter.ParsePriority(s.Document.Answering.Priority))
	}
	return priority
}

// queryFingerprint returns the same value for requests that cause the same work
// at targets.
func queryFingerprint(request *callerapi.QueryRequest) uint64 {
	services := slices.Sorted(slices.Values(request.Services))
	return quarantiner.Fingerprint(strings.Join(services, "\x00"), "search", request.Text)
}

func (r *Responder) recordQuery(prepared *scatterer.Request, answer *scatterer.Answer, latency time.Duration) {
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
		zap.Int("services", len(prepared.Services)),
		zap.Float64("coverage", answer.Coverage),
		zap.Duration("latency", latency),
		zap.Bool("overloaded", answer.Overloaded),
	)
}

func (r *Responder) reply(request *callerapi.QueryRequest, prepared *scatterer.Request, answer *scatterer.Answer) (*callerapi.QueryAnswer, error) {
	if answer.Stats.Sent == 0 {
		return nil, notRunError("query", callerapi.ErrorCodeUnavailable, "no target of the named services can be reached now")
	}
	for i, s := range answer.Services {
		if minimum := prepared.Services[i].Document.Answering.MinimumCoverage; s.Coverage < minimum {
			return nil, &Error{
				Op: "query", Kind: callerapi.ErrorCodeCoverageTooLow, Outcome: queryOutcome(answer),
				Message: fmt.Sprintf("coverage of %s is %.3f, below its minimum of %.3f", s.Service, s.Coverage, minimum),
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

// queryOutcome returns OutcomeRan if a target is known to have run a part of the
// query.
func queryOutcome(answer *scatterer.Answer) callerapi.Outcome {
	if answer.Stats.Answered > 0 {
		return callerapi.OutcomeRan
	}
	return callerapi.OutcomeUnknown
}
