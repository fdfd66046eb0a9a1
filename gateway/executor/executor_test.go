package executor_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/gateway/executor"
)

const (
	ran     = peerpb.Outcome_OUTCOME_RAN
	notRun  = peerpb.Outcome_OUTCOME_NOT_RUN
	unknown = peerpb.Outcome_OUTCOME_UNKNOWN
)

// attemptScript defines the result of one attempt.
type attemptScript struct {
	// notSent makes the transport return an error after delay.
	notSent bool
	delay   time.Duration
	outcome peerpb.Outcome
	failure peerpb.FailureKind
	// linkLost ends the link to the relay; noAnswer drops the answer.
	linkLost, noAnswer bool
}

// fakeTransport uses one script for each attempt. Attempts without a script run.
type fakeTransport struct {
	executor *executor.Executor
	steps    []attemptScript
	attempts int
	timeLeft time.Duration
}

func (tr *fakeTransport) Execute(relay string, e *peerpb.Execute) error {
	tr.attempts++
	s := attemptScript{outcome: ran}
	if len(tr.steps) > 0 {
		s, tr.steps = tr.steps[0], tr.steps[1:]
	}
	tr.timeLeft = e.TimeLeft.AsDuration()
	if s.notSent {
		time.Sleep(s.delay)
		return errors.New("nothing was sent")
	}
	go func() {
		time.Sleep(10 * time.Millisecond)
		switch {
		case s.linkLost:
			tr.executor.LostRelay("another relay")
			tr.executor.LostRelay(relay)
		case !s.noAnswer:
			tr.executor.Deliver(&peerpb.ExecuteAnswer{RequestId: "another request", Outcome: ran})
			tr.executor.Deliver(&peerpb.ExecuteAnswer{RequestId: e.RequestId, Outcome: s.outcome, Failure: s.failure})
		}
	}()
	return nil
}

// table returns a table of three targets, each owned by a different relay.
func table(phase planner.Phase) *planner.Table {
	t := planner.NewTable()
	set := parser.Set{Name: "old"}
	var reports []*peerpb.TargetState
	for _, name := range []string{"t1", "t2", "t3"} {
		set.Targets = append(set.Targets, parser.Target{
			Name: name, Address: netip.MustParseAddrPort("127.0.0.1:9000"), FailureDomain: "east",
		})
		reports = append(reports, &peerpb.TargetState{Service: "certificados", Set: "old", Target: name, Relay: "relay of " + name, Phase: phase})
	}
	t.Put(&parser.Document{Service: "certificados", Sets: []parser.Set{set}, Answering: parser.Answering{Lead: "old"}}, 1, time.Now())
	t.Apply(reports, time.Now())
	return t
}

// A request must not be retried once a byte of it may have left a relay, or it
// may run twice. A false "not run" makes the caller run it twice as well.
func TestAttempts(t *testing.T) {
	refusal := func(failure peerpb.FailureKind) attemptScript {
		return attemptScript{outcome: notRun, failure: failure}
	}
	serving := peerpb.TargetPhase_TARGET_PHASE_SERVING
	tests := []struct {
		name     string
		phase    planner.Phase
		steps    []attemptScript
		want     executor.Result
		attempts int
		took     time.Duration
	}{
		{"runs", serving, nil, executor.Result{Outcome: ran}, 1, 10 * time.Millisecond},
		{"first relay out of reach", serving, []attemptScript{{notSent: true}}, executor.Result{Outcome: ran}, 2, 10 * time.Millisecond},
		{
			"relay does not own the target", serving,
			[]attemptScript{refusal(peerpb.FailureKind_FAILURE_NOT_OWNER)},
			executor.Result{Outcome: ran},
			2, 20 * time.Millisecond,
		},
		{
			"no relay in reach", serving,
			[]attemptScript{{notSent: true}, {notSent: true}, {notSent: true}},
			executor.Result{Outcome: notRun, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE},
			3, 0,
		},
		{
			"target refuses", serving,
			[]attemptScript{refusal(peerpb.FailureKind_FAILURE_DRAINING)},
			executor.Result{Outcome: notRun, Failure: peerpb.FailureKind_FAILURE_DRAINING},
			1, 10 * time.Millisecond,
		},
		{
			"target lost", serving,
			[]attemptScript{{outcome: unknown, failure: peerpb.FailureKind_FAILURE_LOST}},
			executor.Result{Outcome: unknown, Failure: peerpb.FailureKind_FAILURE_LOST},
			1, 10 * time.Millisecond,
		},
		{
			"unreachable after bytes have left", serving,
			[]attemptScript{{outcome: unknown, failure: peerpb.FailureKind_FAILURE_UNREACHABLE}},
			executor.Result{Outcome: unknown, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE},
			1, 10 * time.Millisecond,
		},
		{
			"relay lost", serving,
			[]attemptScript{{linkLost: true}},
			executor.Result{Outcome: unknown, Failure: peerpb.FailureKind_FAILURE_LOST},
			1, 10 * time.Millisecond,
		},
		{
			"no answer", serving,
			[]attemptScript{{noAnswer: true}},
			executor.Result{Outcome: unknown, Failure: peerpb.FailureKind_FAILURE_DEADLINE},
			1, 1050 * time.Millisecond,
		},
		{
			"deadline passes before sending", serving,
			[]attemptScript{{notSent: true, delay: 2 * time.Second}},
			executor.Result{Outcome: notRun, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE},
			1, 2 * time.Second,
		},
		{
			"targets drain", peerpb.TargetPhase_TARGET_PHASE_DRAINING, nil,
			executor.Result{Outcome: notRun, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE},
			0, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &fakeTransport{steps: test.steps}
				tr.executor = executor.New(timer.NewService(), table(test.phase), tr, "east")
				started := time.Now()
				got := tr.executor.Run(context.Background(), "inspector", started.Add(time.Second),
					&peerpb.Execute{RequestId: "r", Service: "certificados"})
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
				if took := time.Since(started); tr.attempts != test.attempts || took != test.took {
					t.Errorf("%d attempts in %v, want %d in %v", tr.attempts, took, test.attempts, test.took)
				}
			})
		})
	}
}

// A target that gets the whole deadline after a slow attempt may still run the
// request when its caller has given up.
func TestTimeLeftIsReadBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &fakeTransport{steps: []attemptScript{{notSent: true, delay: 300 * time.Millisecond}}}
		tr.executor = executor.New(timer.NewService(), table(peerpb.TargetPhase_TARGET_PHASE_SERVING), tr, "east")
		tr.executor.Run(context.Background(), "inspector", time.Now().Add(time.Second),
			&peerpb.Execute{RequestId: "r", Service: "certificados"})
		if tr.timeLeft != 700*time.Millisecond {
			t.Errorf("the target was given %v, want 700ms", tr.timeLeft)
		}
	})
}
