// Package forwarder submits the requests of gateways to a relay's targets and
// returns the answers.
package forwarder

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
)

// Quarantine reports whether a request must not be sent to any target.
type Quarantine interface {
	Quarantined(fingerprint uint64) bool
}

// Loads returns the loads of the owned targets of a service and their version.
type Loads interface {
	Loads(service string) (named []*peerpb.NamedLoad, version uint64)
}

// Forwarder serves the data streams of gateways.
type Forwarder struct {
	timers         *timer.Service
	dispatcher     *dispatcher.Dispatcher
	quarantine     Quarantine
	loads          Loads
	maxHeld        int64
	resultCounters map[peerpb.FailureKind]tally.Counter
	log            *zap.Logger
	held           atomic.Int64
	refusing       atomic.Bool
}

// New returns a forwarder that holds at most maxHeld unanswered requests at once.
func New(timers *timer.Service, d *dispatcher.Dispatcher, quarantine Quarantine, loads Loads, maxHeld int, metrics tally.Scope, log *zap.Logger) *Forwarder {
	return &Forwarder{timers: timers, dispatcher: d, quarantine: quarantine, loads: loads, maxHeld: int64(maxHeld), resultCounters: newResultCounters(metrics), log: log}
}

// Held returns the number of unanswered requests.
func (f *Forwarder) Held() int64 { return f.held.Load() }

// Refuse makes the forwarder reject new requests as not run.
func (f *Forwarder) Refuse() { f.refusing.Store(true) }

// Serve handles the frames of a gateway's data stream, starting with first, which
// has already been read.
func (f *Forwarder) Serve(_ context.Context, peer *peerpb.Hello, stream *messenger.Stream, first *peerpb.Frame) {
	g := &gatewayStream{Stream: stream, loads: f.loads, sentVersions: make(map[string]uint64)}
	frame, err := first, error(nil)
	for err == nil {
		f.handle(g, frame)
		frame, err = stream.Receive()
	}
	f.log.Debug("data stream ended", zap.String("peer", peer.Node), zap.Error(err))
}

func (f *Forwarder) handle(g *gatewayStream, frame *peerpb.Frame) {
	switch kind := frame.Kind.(type) {
	case *peerpb.Frame_Batch:
		f.batch(g, kind.Batch)
	case *peerpb.Frame_Cancel:
		f.dispatcher.Cancel(kind.Cancel)
	case *peerpb.Frame_Execute:
		f.execute(g, kind.Execute)
	}
}

func (f *Forwarder) batch(g *gatewayStream, batch *peerpb.Batch) {
	deadline := f.timers.Now().Add(batch.TimeLeft.AsDuration())
	for _, sub := range batch.Subs {
		f.submit(&dispatcher.Job{
			QueryID:     batch.QueryId,
			Sub:         sub.Sub,
			Attempt:     sub.Attempt,
			Service:     sub.Service,
			Target:      sub.TargetAddress,
			Shard:       sub.Shard,
			Snapshot:    sub.Snapshot,
			Text:        batch.Text,
			Limit:       int(batch.Limit),
			Deadline:    deadline,
			Traceparent: batch.Traceparent,
			Fingerprint: batch.Fingerprint,
			Reply: func(result dispatcher.Result) {
				defer f.recordResult(result)
				f.reply(g.Stream, &peerpb.Frame{Kind: &peerpb.Frame_SubAnswer{SubAnswer: &peerpb.SubAnswer{
					QueryId:  batch.QueryId,
					Sub:      sub.Sub,
					Attempt:  sub.Attempt,
					Outcome:  result.Outcome,
					Failure:  result.Failure,
					Hits:     result.Hits,
					Snapshot: result.Snapshot,
					Shard:    result.Shard,
					Load:     result.Load,
					Loads:    g.changedLoads(sub.Service),
				}}})
			},
		})
	}
}

func (f *Forwarder) execute(g *gatewayStream, execute *peerpb.Execute) {
	f.submit(&dispatcher.Job{
		QueryID:     execute.RequestId,
		Service:     execute.Service,
		Target:      execute.TargetAddress,
		Deadline:    f.timers.Now().Add(execute.TimeLeft.AsDuration()),
		Traceparent: execute.Traceparent,
		Fingerprint: execute.Fingerprint,
		Execute:     execute,
		Reply: func(result dispatcher.Result) {
			defer f.recordResult(result)
			f.reply(g.Stream, &peerpb.Frame{Kind: &peerpb.Frame_ExecuteAnswer{ExecuteAnswer: &peerpb.ExecuteAnswer{
				RequestId: execute.RequestId,
				Outcome:   result.Outcome,
				Failure:   result.Failure,
				Result:    result.Output,
			}}})
		},
	})
}

func (f *Forwarder) submit(job *dispatcher.Job) {
	held := f.held.Add(1)
	switch {
	case f.refusing.Load():
		job.Reply(notRun(peerpb.FailureKind_FAILURE_NOT_OWNER))
	case held > f.maxHeld:
		job.Reply(notRun(peerpb.FailureKind_FAILURE_OVERLOADED))
	case f.quarantine.Quarantined(job.Fingerprint):
		job.Reply(notRun(peerpb.FailureKind_FAILURE_QUARANTINED))
	default:
		f.dispatcher.Submit(job)
	}
}

func (f *Forwarder) recordResult(result dispatcher.Result) {
	f.held.Add(-1)
	if counter, ok := f.resultCounters[result.Failure]; ok {
		counter.Inc(1)
	}
}

// newResultCounters returns a request counter for each failure kind, including
// none.
func newResultCounters(metrics tally.Scope) map[peerpb.FailureKind]tally.Counter {
	counters := make(map[peerpb.FailureKind]tally.Counter, len(peerpb.FailureKind_name))
	for number, name := range peerpb.FailureKind_name {
		failure := strings.ToLower(strings.TrimPrefix(name, "FAILURE_"))
		counters[peerpb.FailureKind(number)] = metrics.Tagged(map[string]string{"failure": failure}).Counter("requests")
	}
	return counters
}

func (f *Forwarder) reply(stream *messenger.Stream, frame *peerpb.Frame) {
	if err := stream.Send(frame); err != nil {
		f.log.Debug("answer dropped", zap.Error(err))
	}
}

func notRun(kind peerpb.FailureKind) dispatcher.Result {
	return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: kind}
}
