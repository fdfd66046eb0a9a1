package placer_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/placer"
)

// localReplicaShare replays sub-requests of 21 VMs to the three replicas of
// one shard, each VM sending three in two seconds, and returns the share that
// goes to the local replica. fault changes the behaviour of the replicas. If
// sharing is true, the VMs exchange evidence every quarter of a second.
func localReplicaShare(sharing bool, fault func(*load)) float64 {
	const entryVMs = 21
	var vms []*load
	for range entryVMs {
		l := newLoad(3)
		l.work = func(route, _ string, _ time.Duration) time.Duration { return l.serviceTime(route) }
		fault(l)
		vms = append(vms, l)
	}
	const round = 250 * time.Millisecond
	var local, total int
	for i := range 40 {
		if i == 8 {
			for _, l := range vms {
				clear(l.sent)
			}
		}
		for k, l := range vms {
			// Each VM sends in every third round, staggered across the VMs.
			if (i+k)%3 == 0 {
				l.run(10*time.Millisecond, 10*time.Millisecond)
			}
			l.now = start.Add(time.Duration(i+1) * round)
			l.settle()
		}
		if !sharing {
			continue
		}
		var taken [entryVMs][]placer.Evidence
		for k, l := range vms {
			taken[k] = l.placer.TakeEvidence()
		}
		for k, l := range vms {
			for other := range vms {
				if other != k {
					l.placer.MergeEvidence(l.now, taken[other])
				}
			}
		}
	}
	for _, l := range vms {
		local += l.sent["i-0"]
		total += l.sent["i-0"] + l.sent["i-1"] + l.sent["i-2"]
	}
	return float64(local) / float64(total)
}

// Half of the targets refuse two in five requests, and each of 73 entry VMs
// sends about one request per second to a target. A VM that knows only its
// own results keeps using them, and the refusals use up the repeat budget. It
// is a fifth of the requests, and half of it is needed for pauses of targets.
func TestRemoteEvidenceIsUsed(t *testing.T) {
	const refused, repeats = 0.4, 0.2
	shedding := func(l *load) {
		l.result = func(target string) placer.Result {
			if target == "i-0" && l.rng.Float64() < refused {
				return placer.Refused
			}
			return placer.Answered
		}
	}
	alone, together := localReplicaShare(false, shedding), localReplicaShare(true, shedding)
	t.Logf("share of the failing target %.3f, %.3f without the evidence of others", together, alone)
	if together*refused > repeats/2 {
		t.Fatalf("share of the failing target %.3f, %.3f without the evidence of others", together, alone)
	}
}

// The local replica becomes four times slower and its queue is long, but the
// requests of the shorter kind are still answered in time. Such an answer
// must not make the VM that received it return to the slow replica.
func TestAllVMsAvoidSlowReplica(t *testing.T) {
	slow := func(l *load) {
		l.work = func(route, target string, at time.Duration) time.Duration {
			work := l.serviceTime(route) + 5*time.Millisecond
			if target == "i-0" && at > time.Second {
				work *= 4
			}
			return work
		}
	}
	if share := localReplicaShare(true, slow); share > 0.1 {
		t.Fatalf("share of the slow replica %.3f, want at most a tenth", share)
	}
}

// Evidence of targets that this process does not use must not be stored, as
// nothing would remove it.
func TestEvidenceOfUnknownTargetIsDropped(t *testing.T) {
	l := newLoad(3)
	l.placer.MergeEvidence(start, []placer.Evidence{{Service: "other", Target: "i-9", Failed: 3}})
	if !l.placer.Reachable("i-9") || len(l.placer.TakeEvidence()) != 0 {
		t.Fatal("evidence of an unknown target was stored")
	}
}
