package granter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/granter"
)

// A VM drew its reserve at the end of one window and again at the start of the next, and so
// twice in a sliding window.
func TestReserveOfSlidingWindow(t *testing.T) {
	self := granter.Member{Name: "vm-1", Domain: "a"}
	w := granter.Workspace{Name: "red", Limit: granter.Limit{Rate: 100}}
	n := granter.New(self, bounds, func(string) (granter.Limit, bool) { return w.Limit, true }, rand.New(rand.NewPCG(1, 1)))
	// The two other VMs are the keeper and the deputy, and do not answer.
	members := []granter.Member{self, {Name: "deputy", Domain: "a"}, {Name: "keeper", Domain: "b"}}
	for granter.NewList(members).Deputy(w.Name, "a") != members[1].Name {
		members[1].Name += "x"
	}
	for granter.NewList(members).Keeper(w.Name) != members[2] {
		members[2].Name += "x"
	}
	n.SetMembers(epoch, members)
	var used []time.Time
	for at := 2 * time.Second; at < time.Minute; at += 20 * time.Millisecond {
		if at > 2*time.Second && at < 6500*time.Millisecond {
			continue
		}
		now := epoch.Add(at)
		step := n.Take(now, w, false)
		for step.Send != nil {
			step = n.Failed(now, step.Send, false)
		}
		if step.Admitted {
			used = append(used, now)
		}
	}
	// 0.3 of a margin of 0.1 x 500 + 20, for three VMs.
	const most = 7
	first := 0
	for i, at := range used {
		for at.Sub(used[first]) >= bounds.Window {
			first++
		}
		if i-first+1 > most {
			t.Fatalf("%d requests admitted by the reserve within a window, want at most %d", i-first+1, most)
		}
	}
	if len(used) < 2*most {
		t.Errorf("%d requests admitted in a minute, want a reserve in each window", len(used))
	}
}

// An answer that arrives after a VM was frozen carried tokens from before, which the keeper
// has granted to others since.
func TestLateAnswerHasNoTokens(t *testing.T) {
	f := newFleet(2, granter.Limit{Rate: 10, Burst: 10}, 1)
	v := f.vms[0]
	if f.keeper() == v {
		v = f.vms[1]
	}
	step := v.Take(f.now, f.workspace, false)
	if step.Send == nil {
		t.Fatalf("no ask: %+v", step)
	}
	late := f.now.Add(3 * time.Second)
	if step = v.Answered(late, step.Send, granter.Answer{Status: granter.Granted, Credit: 5}); step.Admitted {
		t.Errorf("admitted by an answer of 3 s ago: %+v", step)
	}
	if step = v.Take(late, f.workspace, false); step.Admitted {
		t.Errorf("admitted by credit of 3 s ago: %+v", step)
	}
}
