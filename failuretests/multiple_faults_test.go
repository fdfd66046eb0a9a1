package failuretests_test

import (
	"testing"

	"jackdawcart.org/failuretests/launcher"
)

// Guards against targets that get no new owner after their relay is killed, or a
// restarted relay without configuration, when the store is unavailable too.
func TestStoreOutageWithKilledRelay(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the outage")
	d.injectPlatformFaults(fault{"kind": "outage", "silent": true})
	killed := d.Nodes[0]
	d.Process(killed.Name + "-relay").Kill()
	c.awaitFullAnswers(failoverBound, "full answers without the relay")
	if err := d.StartRelay(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the relay is back during the outage", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers during the outage")
	d.injectPlatformFaults(fault{"kind": "clear"})
	d.expectExit(exitOK, "apply", "--yes", d.writeDocument("after.json", setTeam("after")))
	d.eventuallyInForce(d.Nodes)
	stop()
	c.verify()
}

// Guards against queries that fail when their snapshot is retired while one of
// the targets that hold it is draining.
func TestDrainWithSnapshotChange(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the changes")
	d.injectTargetFaults("main-north-1", fault{"kind": "drain"})
	d.injectTargetFaults("*", fault{"kind": "repartition", "shards": 4, "retire-after": "500ms"})
	c.awaitFullAnswers(failoverBound, "full answers after the changes")
	d.injectTargetFaults("main-north-1", fault{"kind": "clear"})
	d.eventually(failoverBound, "the target serves again", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers with all targets")
	stop()
	c.verify()
}

// Guards against a node that resumes from a pause during a partition and sends
// stale requests, or spreads its old configuration as the newest.
func TestPauseDuringPartition(t *testing.T) {
	d := deploy(t, launcher.Options{PartitionedDomain: partitionedDomain})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the pause")
	paused := d.nodesIn(partitionedDomain, true)[0]
	resume := d.pause(paused.Name+"-relay", paused.Name+"-gateway")
	d.SetProxyMode(launcher.BlackHole)
	d.expectExit(exitOK, "apply", "--yes", d.writeDocument("cut.json", setTeam("cut")))
	d.eventuallyInForce(d.nodesIn(partitionedDomain, false))
	resume()
	c.awaitFullAnswers(2*failoverBound, "full answers during the partition")
	d.SetProxyMode(launcher.Forward)
	d.eventuallyInForce(d.Nodes)
	d.eventually(failoverBound, "every gateway sees all targets serving after the partition", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers after the partition")
	stop()
	c.verify()
}
