package failuretests_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// partitionedDomain is the failure domain that the tests isolate.
const partitionedDomain = "south"

// nodesIn returns the nodes inside a failure domain, or those outside of it.
func (d *deployment) nodesIn(domain string, inside bool) []launcher.Node {
	var nodes []launcher.Node
	for _, n := range d.Nodes {
		if (n.Domain == domain) == inside {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// testPartition isolates one failure domain from the platform and from the other
// domain, edits the configuration meanwhile and ends the partition.
func testPartition(t *testing.T, mode launcher.Mode) {
	d := deploy(t, launcher.Options{PartitionedDomain: partitionedDomain})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "full answers before the partition")
	d.SetProxyMode(mode)
	inside, outside := d.nodesIn(partitionedDomain, true), d.nodesIn(partitionedDomain, false)
	old := d.revisionInForce(inside[0])
	d.expectExit(exitOK, "apply", "--yes", d.writeDocument("cut.json", setTeam("cut")))
	d.eventuallyInForce(outside)
	// Each side has a replica of every shard and can answer in full.
	c.awaitFullAnswers(2*failoverBound, "full answers on both sides of the partition")
	for _, n := range inside {
		if current := d.revisionInForce(n); current != old {
			t.Errorf("%s has revision %d during the partition, want %d", n.Name, current, old)
		}
	}
	d.restart(inside[0])
	d.eventually(startBound, "a node that starts during the partition is ready", func() bool { return d.ready(inside[0].GatewayAdmin) })
	if current := d.revisionInForce(inside[0]); current != old {
		t.Errorf("%s started with revision %d during the partition, want %d", inside[0].Name, current, old)
	}
	d.SetProxyMode(launcher.Forward)
	d.eventuallyInForce(d.Nodes)
	d.eventually(failoverBound, "every gateway sees all targets serving after the partition", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers after the partition")
	stop()
	c.verify()
}

// Guards against a failure domain that stops serving, or reverts its
// configuration, when connections to the rest are refused.
func TestPartitionByRefusedConnections(t *testing.T) { testPartition(t, launcher.Refuse) }

// Guards against a failure domain that hangs when packets to the rest are
// dropped.
func TestPartitionByDroppedTraffic(t *testing.T) { testPartition(t, launcher.BlackHole) }

// Guards against an answer whose coverage includes shards that are reachable only
// on the other side of the partition.
func TestPartitionReportsMissingShards(t *testing.T) {
	d := deploy(t, launcher.Options{PartitionedDomain: partitionedDomain, Shards: 6})
	c := newCallers(d)
	// The loss of a replica inside the domain leaves some shards with replicas
	// only outside of it.
	d.injectTargetFaults("main-"+partitionedDomain+"-1", fault{"kind": "crash", "for": "1h"})
	c.awaitAnswers(c.viaGateway(len(d.Nodes)-1), failoverBound, "full answers without the lost target", func(a checker.Answer) bool { return a.Complete })
	d.SetProxyMode(launcher.Refuse)
	for i, n := range d.Nodes {
		want := n.Domain != partitionedDomain
		c.awaitAnswers(c.viaGateway(i), failoverBound, n.Name+" reports the coverage it can reach", func(a checker.Answer) bool {
			return a.Outcome == checker.OutcomeAnswered && a.Complete == want && a.Coverage > 0
		})
	}
	d.SetProxyMode(launcher.Forward)
	for i, n := range d.Nodes {
		c.awaitAnswers(c.viaGateway(i), failoverBound, n.Name+" answers in full after the partition", func(a checker.Answer) bool { return a.Complete })
	}
	c.verify()
}

// awaitAnswers sends queries until a number of answers in a row satisfy a
// condition.
func (c *callers) awaitAnswers(clients []*callerapi.Client, within time.Duration, description string, condition func(checker.Answer) bool) {
	c.d.t.Helper()
	const streak = 10
	consecutive := 0
	c.d.eventually(within, description, func() bool {
		if condition(c.query(clients)) {
			consecutive++
		} else {
			consecutive = 0
		}
		return consecutive == streak
	})
}
