package stopper_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawcart.org/core/stopper"
)

func ExamplePlan() {
	began := time.Unix(0, 0).UTC()
	plan := stopper.Plan{Began: began, Grace: 10 * time.Second}
	fmt.Println(plan.Takes(began.Add(7*time.Second), 500*time.Millisecond))
	fmt.Println(plan.Takes(began.Add(8*time.Second), 500*time.Millisecond))
	fmt.Println(plan.Limit(began.Add(time.Minute)).Sub(began))
	// Output:
	// true
	// false
	// 8.3s
}

// Whatever the grace period, a request that is taken must have its answer before connections
// are closed, and those before the end of the grace period.
func TestOrderOfPlan(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, time.Minute} {
		plan := stopper.Plan{Began: time.Unix(0, 0), Grace: grace}
		end := plan.Began.Add(grace)
		if !plan.LastAccept().Before(plan.LastAnswer()) || !plan.LastAnswer().Before(plan.Close()) || !plan.Close().Before(end) {
			t.Errorf("%v: last accept %v, last answer %v, close %v", grace, plan.LastAccept(), plan.LastAnswer(), plan.Close())
		}
	}
}
