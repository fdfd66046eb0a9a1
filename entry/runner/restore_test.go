package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

const (
	// changeBound is the time in which a change must be in force on all VMs.
	changeBound = 3 * time.Second
	// restoreOutage is how long the store is away before it comes back from a copy. It ends
	// before a VM polls a lost one again.
	restoreOutage = 1700 * time.Millisecond
)

// restore makes the store come back from a copy after an outage.
func (fx *fleet) restore(c standin.Copy) {
	fx.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(restoreOutage)
	fx.store.Restore(c)
	fx.store.Refuse(0)
}

// coveredShards returns the number of shards in a VM's answer to a query over all shards.
func (fx *fleet) coveredShards(t *testing.T, vm int, id string) int {
	t.Helper()
	status, header := fx.send(t, vm, http.MethodGet, "/all/x", id)
	if status != http.StatusOK {
		return 0
	}
	return len(strings.Split(header.Get("Part-Stamps"), ","))
}

// The VMs that poll another VM went on from a revision that the restored store gave out
// again, and missed the change that was written at it.
func TestChangeAfterRestoreIsInForce(t *testing.T) {
	configuration := standin.Configuration{Version: 1, Shards: shardCount, LatencyObjective: 500 * time.Millisecond, MinShardShare: 0.75}
	fleet := newFleet(t, 8)
	time.Sleep(time.Second)
	backup := fleet.store.Copy()
	for configuration.Version < 6 {
		configuration.Version++
		fleet.store.Configure(configuration)
	}
	time.Sleep(changeBound)
	fleet.restore(backup)
	fleet.store.WriteAgain()
	time.Sleep(changeBound)
	configuration.Version, configuration.Shards = 7, shardCount-1
	fleet.store.Configure(configuration)
	time.Sleep(changeBound)
	for i := range fleet.vms {
		if got := fleet.coveredShards(t, i, fmt.Sprintf("after-%d", i)); got != configuration.Shards {
			t.Errorf("VM %d answers from %d shards, want the %d of version %d", i, got, configuration.Shards, configuration.Version)
		}
	}
}
