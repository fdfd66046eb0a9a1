package connector

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/pooler"
	"jackdawcart.org/core/tracer"
)

// client runs the jobs of one target over a connection pool.
type client struct {
	pool     *pooler.Pool
	tracer   *tracer.Tracer
	onResult func(result dispatcher.Result)
}

// Do runs a job and passes its result to onResult.
func (c *client) Do(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	ctx = tracer.WithTraceparent(ctx, job.Traceparent)
	var result dispatcher.Result
	if c.tracer.Enabled() {
		result = c.runTraced(ctx, job)
	} else {
		result = c.run(ctx, job)
	}
	c.onResult(result)
	return result
}

func (c *client) runTraced(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	ctx, span := c.tracer.Start(ctx, "sub-request",
		attribute.String("service", job.Service),
		attribute.String("target", job.Target),
		attribute.String("shard", job.Shard),
	)
	defer span.End()
	result := c.run(ctx, job)
	if result.Failure != peerpb.FailureKind_FAILURE_NONE {
		span.SetAttributes(attribute.String("failure", result.Failure.String()))
	}
	return result
}

func (c *client) run(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	if job.Execute != nil {
		return c.execute(ctx, job)
	}
	return c.search(ctx, job)
}

// Close closes the connection pool.
func (c *client) Close() { c.pool.Close() }

func (c *client) search(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	answer, err := c.pool.Search(ctx, job.Deadline, &pooler.Search{
		QueryID:     job.QueryID,
		SubID:       strconv.FormatUint(uint64(job.Sub), 10) + "." + strconv.FormatUint(uint64(job.Attempt), 10),
		Shard:       job.Shard,
		Snapshot:    job.Snapshot,
		Text:        job.Text,
		Limit:       job.Limit,
		Traceparent: tracer.Traceparent(ctx),
	})
	if err != nil {
		return errorResult(err)
	}
	result := dispatcher.Result{
		Outcome:  peerpb.Outcome_OUTCOME_RAN,
		Snapshot: answer.Snapshot,
		Shard:    answer.Shard,
		Hits:     make([]*peerpb.Hit, len(answer.Hits)),
	}
	// One allocation holds all hits, which live as long as the answer.
	hits := make([]peerpb.Hit, len(answer.Hits))
	for i, hit := range answer.Hits {
		hits[i].Id, hits[i].Score, hits[i].Title = hit.ID, hit.Score, hit.Title
		result.Hits[i] = &hits[i]
	}
	return result
}

// execute runs a non-idempotent request. The deadline is checked once more on
// the monotonic clock, because the process may have been paused while the job
// was queued.
func (c *client) execute(ctx context.Context, job *dispatcher.Job) dispatcher.Result {
	if !time.Now().Before(job.Deadline) {
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_DEADLINE}
	}
	answer, err := c.pool.Execute(ctx, job.Deadline, &pooler.Execute{
		RequestID:   job.Execute.RequestId,
		Operation:   job.Execute.Operation,
		Payload:     string(job.Execute.Payload),
		Traceparent: tracer.Traceparent(ctx),
	})
	if err != nil {
		return errorResult(err)
	}
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_RAN, Output: []byte(answer.Result)}
}

func errorResult(err error) dispatcher.Result {
	var failure *pooler.Error
	if !errors.As(err, &failure) {
		return dispatcher.Result{Failure: peerpb.FailureKind_FAILURE_TARGET}
	}
	return dispatcher.Result{Outcome: failure.Outcome, Failure: failure.Failure()}
}
