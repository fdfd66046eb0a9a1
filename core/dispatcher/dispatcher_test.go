package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/limiter"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
)

// fakeClient runs each job for a fixed duration or until it is cancelled.
type fakeClient struct {
	duration time.Duration
	runs     atomic.Int64
	closed   atomic.Bool
}

func (c *fakeClient) Do(ctx context.Context, _ *dispatcher.Job) dispatcher.Result {
	c.runs.Add(1)
	select {
	case <-time.After(c.duration):
		return dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_RAN}
	case <-ctx.Done():
		return dispatcher.Result{Failure: peerpb.FailureKind_FAILURE_CANCELLED}
	}
}

func (c *fakeClient) Close() { c.closed.Store(true) }

// A missing or duplicate reply corrupts the relay's count of requests in flight
// and the query's answer. Each job must get exactly one reply, even if its
// target is replaced, removed or closed meanwhile.
func TestJobRepliesExactlyOnce(t *testing.T) {
	const jobs, workers = 400, 8
	d := dispatcher.New(timer.NewService(), nil)
	put := func(name string) {
		d.Put(dispatcher.TargetConfig{Name: name, Limiter: limiter.DefaultConfig(2, 1), Client: &fakeClient{duration: time.Millisecond}})
	}
	put("t0")
	var replies [workers * jobs]atomic.Int64
	var work sync.WaitGroup
	for worker := range workers {
		work.Go(func() {
			for i := range jobs {
				number := worker*jobs + i
				query, target := fmt.Sprint("q", number), fmt.Sprint("t", rand.IntN(3))
				d.Submit(&dispatcher.Job{
					QueryID: query, Target: target,
					Deadline: time.Now().Add(time.Duration(rand.IntN(20)) * time.Millisecond),
					Reply:    func(dispatcher.Result) { replies[number].Add(1) },
				})
				switch rand.IntN(12) {
				case 0:
					put(target)
				case 1:
					d.Remove(target)
				case 2, 3, 4:
					d.Cancel(&peerpb.Cancel{QueryId: query})
				}
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	d.Close() // some jobs are submitted later
	work.Wait()
	d.Close()
	for number := range replies {
		if got := replies[number].Load(); got != 1 {
			t.Errorf("job %d got %d replies, want 1", number, got)
		}
	}
}

// A refused queued job must be reported as not run and must not run later,
// because the gateway sends it to another target.
func TestQueuedJobsEndAsNotRun(t *testing.T) {
	tests := []struct {
		name string
		end  func(*dispatcher.Dispatcher)
		want peerpb.FailureKind
	}{
		{"deadline passes", func(*dispatcher.Dispatcher) { time.Sleep(100 * time.Millisecond) }, peerpb.FailureKind_FAILURE_DEADLINE},
		{"cancelled", func(d *dispatcher.Dispatcher) { d.Cancel(&peerpb.Cancel{QueryId: "queued"}) }, peerpb.FailureKind_FAILURE_CANCELLED},
		{"target removed", func(d *dispatcher.Dispatcher) { d.Remove("t") }, peerpb.FailureKind_FAILURE_NOT_OWNER},
		{"relay stops", func(d *dispatcher.Dispatcher) { d.Close() }, peerpb.FailureKind_FAILURE_NOT_OWNER},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, c := dispatcher.New(timer.NewService(), nil), &fakeClient{duration: time.Second}
				config := limiter.DefaultConfig(1, 1)
				config.Initial, config.Max = 1, 1
				d.Put(dispatcher.TargetConfig{Name: "t", Limiter: config, Client: c})
				results := map[string]dispatcher.Result{}
				var mu sync.Mutex
				submit := func(query string, left time.Duration) {
					d.Submit(&dispatcher.Job{
						QueryID: query, Target: "t", Deadline: time.Now().Add(left),
						Reply: func(r dispatcher.Result) {
							mu.Lock()
							defer mu.Unlock()
							r.Load = nil
							results[query] = r
						},
					})
					synctest.Wait()
				}
				submit("running", 5*time.Second)
				submit("queued", 50*time.Millisecond)
				test.end(d)
				time.Sleep(2 * time.Second)
				d.Close()
				want := map[string]dispatcher.Result{
					"running": {Outcome: peerpb.Outcome_OUTCOME_RAN},
					"queued":  {Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: test.want},
				}
				if diff := cmp.Diff(want, results); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
				if runs := c.runs.Load(); runs != 1 || !c.closed.Load() {
					t.Errorf("%d runs, want 1; closed %t, want true", runs, c.closed.Load())
				}
			})
		})
	}
}
