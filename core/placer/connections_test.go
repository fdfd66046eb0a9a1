package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
)

// Entry VMs lose power together. There are about as many of them as a target
// allows connections, and each target still counts their former connections.
// The replicas of a shard must together have room for as many new ones, and
// every VM must keep a connection to the shard.
func TestKeptConnectionsLeaveRoomForRestart(t *testing.T) {
	const maxConnections, domains, replicas, shards = 68, 4, 3, 54
	for _, entryVMs := range []int{73, 86} {
		var held [shards]int
		for vm := range entryVMs {
			name, domain := fmt.Sprintf("vm-%d", vm), fmt.Sprintf("domain-%d", vm%domains)
			p := placer.New(placer.DefaultConfig(), name, domain, rand.New(rand.NewPCG(1, uint64(vm))))
			p.SetLimits(placer.Limits{EntryVMs: entryVMs, Domains: domains})
			for shard := range shards {
				var targets []registrar.Record
				for replica := range replicas {
					targets = append(targets, registrar.Record{Target: registrar.Target{
						ID: fmt.Sprintf("i-%d-%d", shard, replica), Service: "shard",
						Domain: fmt.Sprintf("domain-%d", (shard+replica)%domains), Slots: 4,
					}})
				}
				kept := make(map[string]bool)
				for i := range 20 {
					now := start.Add(time.Duration(i) * 100 * time.Millisecond)
					placed, outcome := p.Place(now, placer.Request{
						Service: "shard", Targets: targets, MaxConnections: maxConnections,
					})
					if outcome != placer.Placed {
						t.Fatalf("outcome %d", outcome)
					}
					p.Ended(now.Add(10*time.Millisecond), "r", latencyObjective, placed, placer.Answered)
					if placed.IdleTimeout == 0 {
						kept[placed.Record.ID] = true
					}
				}
				if len(kept) == 0 {
					t.Fatalf("%s keeps no connection to shard %d", name, shard)
				}
				held[shard] += len(kept)
			}
		}
		for shard, n := range held {
			if room := replicas * maxConnections; n > room/2 {
				t.Errorf("%d entry VMs keep %d connections to shard %d, room for %d", entryVMs, n, shard, room)
			}
		}
	}
}
