package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/quarantiner"
)

// A run that was given up counts if its target is lost soon after, but not once the request
// was answered by another target of the same part, nor for ever.
func TestAbandonedRuns(t *testing.T) {
	var a quarantiner.AbandonedRuns
	answered, open := runs(1)[0], runs(2)[0]
	for _, target := range []string{"t1", "t2"} {
		a.Add(at(0), target, answered)
		a.Add(at(0), target, open)
	}
	a.Completed(answered)
	if diff := cmp.Diff([]quarantiner.Run{open}, a.Take(at(time.Second), "t1")); diff != "" {
		t.Errorf("runs at t1 (-want +got):\n%s", diff)
	}
	if late := a.Take(at(time.Minute), "t2"); len(late) > 0 {
		t.Errorf("runs at t2 after a minute: %v", late)
	}
	if a.Has("t1") || a.Has("t2") {
		t.Error("runs are left after they were taken")
	}
}

// Runs that nothing ends must not exhaust memory, nor keep later ones from counting.
func TestAbandonedRunsAreBounded(t *testing.T) {
	var a quarantiner.AbandonedRuns
	const limit = 4096
	for i := range 2 * limit {
		a.Add(at(0), fmt.Sprint(i%7), quarantiner.Run{Fingerprint: uint64(i + 1)})
	}
	late := runs(1)[0]
	a.Add(at(time.Minute), "late", late)
	total := 0
	for i := range 7 {
		total += len(a.Take(at(0), fmt.Sprint(i)))
	}
	if total > limit || !a.Has("late") {
		t.Errorf("%d runs are kept, the one after them: %t", total, a.Has("late"))
	}
}
