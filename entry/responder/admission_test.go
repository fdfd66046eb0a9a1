package responder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Several times the load that the targets can take. Queries that are rejected before
// any of their work has begun must have run nowhere, be told when to return, and be
// answered at once. How many are served is tested on virtual time in core/throttler.
func TestOverloadedIndex(t *testing.T) {
	const (
		shards  = 8
		offered = 600
		gap     = 3 * time.Millisecond
	)
	fx := newFixture(t, shards)
	for i := range shards {
		for _, target := range fx.targets[fmt.Sprintf("shard-%d", i)] {
			target.Limit(1, 1)
			target.Set(0, 20*time.Millisecond)
		}
	}
	query := func(id string) {
		w := fx.do(http.MethodGet, "/all/q", id, "")
		if w.Code != http.StatusServiceUnavailable {
			return
		}
		if runs := fx.runsOfShards(shards, id); runs > 0 {
			t.Errorf("query %s is reported as not run and ran %d times", id, runs)
		}
		if after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); err != nil || after <= 0 || after > 1 {
			t.Errorf("Retry-After %q, want up to a second", w.Header().Get("Retry-After"))
		}
	}
	var running sync.WaitGroup
	for i := range offered {
		running.Go(func() { query(fmt.Sprint(i)) })
		time.Sleep(gap)
	}
	running.Wait()
	if n := fx.refused("overload"); n < offered/10 {
		t.Errorf("%d of %d queries rejected before they were sent, want a tenth at least", n, offered)
	}
}

// A target that is down makes queries partial or fail, but fewer queries would not
// help: they must not be rejected as overload.
func TestFailuresAreNoOverload(t *testing.T) {
	fx := newFixture(t, 4)
	for _, target := range fx.targets["shard-0"] {
		target.Close()
	}
	for _, target := range fx.targets["shard-1"] {
		target.Close()
	}
	for range 5 {
		var running sync.WaitGroup
		for i := range 20 {
			running.Go(func() { fx.do(http.MethodGet, "/all/q", fmt.Sprint(i), "") })
		}
		running.Wait()
	}
	check(t, "rejected as overload", fx.refused("overload"), int64(0))
}

// refused returns the number of requests that were refused for a reason.
func (fx *fixture) refused(reason string) int64 {
	for _, counter := range fx.scope.Snapshot().Counters() {
		if counter.Name() == "requests_refused" && counter.Tags()["reason"] == reason {
			return counter.Value()
		}
	}
	return 0
}

// runsOfShards returns how often the targets of all shards ran a request.
func (fx *fixture) runsOfShards(shards int, request string) int {
	n := 0
	for i := range shards {
		n += fx.runs(fmt.Sprintf("shard-%d", i), request)
	}
	return n
}
