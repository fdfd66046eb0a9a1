package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
)

// wordFixture is a placer and two targets of one service.
type wordFixture struct {
	*placer.Placer
	targets []registrar.Record
}

func newWordFixture() *wordFixture {
	f := &wordFixture{Placer: placer.New(placer.DefaultConfig(), "vm", "a", rand.New(rand.NewPCG(1, 2)))}
	for k := range 2 {
		f.targets = append(f.targets, registrar.Record{Target: registrar.Target{
			ID: fmt.Sprint("i-", k), Service: "s", Domain: "a", Slots: 2, Born: time.Unix(int64(k), 0),
		}})
	}
	return f
}

func (f *wordFixture) place(now time.Time) (placer.Placement, placer.Outcome) {
	return f.Place(now, placer.Request{Service: "s", Targets: f.targets, MaxConnections: 10})
}

// A target that has said that it leaves must not be used again before its next start, also if
// an older registration comes back after it has gone, and not by a neighbour either.
func TestLeavingTargetIsNotUsed(t *testing.T) {
	f, neighbour := newWordFixture(), newWordFixture()
	now := time.Unix(100, 0)
	f.place(now)
	if !f.ObserveLeaving(f.targets[0]) || f.ObserveLeaving(f.targets[0]) {
		t.Error("the target must be new as a leaving one once")
	}
	neighbour.MergeEvidence(now, f.TakeEvidence())
	f.Forget("s", f.targets[0].ID)
	for range 20 {
		for name, vm := range map[string]*wordFixture{"the VM": f, "its neighbour": neighbour} {
			placed, outcome := vm.place(now)
			if outcome != placer.Placed || placed.Record.ID != "i-1" {
				t.Fatalf("%s uses %q, outcome %v", name, placed.Record.ID, outcome)
			}
			vm.Ended(now, "r", time.Second, placed, placer.Answered)
		}
	}
	f.ObserveLeaving(f.targets[1])
	if _, outcome := f.place(now); outcome != placer.NoTarget {
		t.Errorf("with all targets leaving the outcome is %v, want %v", outcome, placer.NoTarget)
	}
	f.targets[0].Born = time.Unix(50, 0)
	if placed, outcome := f.place(now); outcome != placer.Placed || placed.Record.ID != "i-0" {
		t.Errorf("after its restart the target is not used: %q, outcome %v", placed.Record.ID, outcome)
	}
}

// After a pause one request must find out whether its target takes requests again, and the
// others follow its answer.
func TestOneRequestEndsPause(t *testing.T) {
	f := newWordFixture()
	f.targets = f.targets[:1]
	now := time.Unix(100, 0)
	placed, _ := f.place(now)
	f.Ended(now, "r", time.Second, placed, placer.Refused)
	f.ObservePause(now, placed, 3*time.Second)
	f.ObservePause(now, placed, time.Second)
	if _, outcome := f.place(now.Add(2900 * time.Millisecond)); outcome != placer.Limited {
		t.Fatalf("during the pause the outcome is %v, want %v", outcome, placer.Limited)
	}
	if at, ok := f.AvailableAt(f.targets); !ok || !at.Equal(now.Add(3*time.Second)) {
		t.Errorf("available at %v, %t", at, ok)
	}
	now = now.Add(3 * time.Second)
	probe, outcome := f.place(now)
	if outcome != placer.Placed {
		t.Fatalf("after the pause the outcome is %v", outcome)
	}
	if _, outcome := f.place(now); outcome != placer.Limited {
		t.Errorf("beside the probe the outcome is %v, want %v", outcome, placer.Limited)
	}
	f.Ended(now, "r", time.Second, probe, placer.Answered)
	for range 3 {
		if _, outcome := f.place(now); outcome != placer.Placed {
			t.Errorf("after the probe the outcome is %v", outcome)
		}
	}
}
