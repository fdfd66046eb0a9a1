package placer_test

import (
	"math"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
)

// Three quarters of the sub-requests have 120 ms, the others 40 ms, and all share the
// budget of repeats. Hedges after 10 ms for those with 120 ms used it up, so three in five
// of the late urgent sub-requests got no second attempt. With a bound on early hedges more
// queries over 90 shards must be answered in full, with fewer repeats.
func TestEarlyHedgesLeaveBudgetForUrgentRequests(t *testing.T) {
	const shards = 90
	play := func(minHedgeShare float64, seed uint64) *replay {
		config := placer.DefaultConfig()
		config.MinHedgeShare = minHedgeShare
		r := newReplay(config, 142, 3, 4, 2, 4*time.Millisecond, seed)
		r.run(15*time.Second, 1.6)
		return r
	}
	complete := func(r *replay, route string) float64 { return math.Pow(r.share(route), shards) }
	for _, seed := range []uint64{1, 2, 3} {
		before, after := play(0, seed), play(0.25, seed)
		t.Logf("seed %d: urgent queries complete %.3f, with the bound %.3f; usual ones %.3f and %.3f; repeats %d and %d of %d", seed,
			complete(before, "urgent"), complete(after, "urgent"), complete(before, "usual"), complete(after, "usual"),
			before.repeats, after.repeats, after.first)
		if complete(after, "urgent") < complete(before, "urgent")+0.03 {
			t.Errorf("seed %d: too few more urgent queries are complete", seed)
		}
		if complete(after, "usual") < complete(before, "usual")-0.03 {
			t.Errorf("seed %d: fewer usual queries are complete", seed)
		}
		if 10*after.repeats > 9*before.repeats {
			t.Errorf("seed %d: the number of repeats has not fallen by a tenth", seed)
		}
	}
}
