package failuretests_test

import (
	"testing"

	"jackdawcart.org/failuretests/launcher"
)

// Guards against a relay whose targets find no new owner, or whose successor
// has no configuration, because the store is down at the same time.
func TestStoreOutageWithKilledRelay(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the outage")
	d.platform(fault{"kind": "outage", "silent": true})
	killed := d.Nodes[0]
	d.Process(killed.Name + "-relay").Kill()
	c.steady(deathBound, "full answers without the relay")
	if err := d.StartRelay(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the relay is back during the outage", d.whole)
	c.steady(deathBound, "full answers during the outage")
	d.platform(fault{"kind": "clear"})
	d.expect(exitOK, "apply", "--yes", d.write("after.json", setTeam("after")))
	d.eventuallyInForce(d.Nodes)
	stop()
	c.verify()
}

// Guards against a query that is pinned to a snapshot which goes while one of
// the targets that hold it drains.
func TestDrainWithSnapshotChange(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the changes")
	d.target("main-north-1", fault{"kind": "drain"})
	d.target("*", fault{"kind": "repartition", "shards": 4, "retire-after": "500ms"})
	c.steady(deathBound, "full answers after the changes")
	d.target("main-north-1", fault{"kind": "clear"})
	d.eventually(deathBound, "the target serves again", d.whole)
	c.steady(deathBound, "full answers with all targets")
	stop()
	c.verify()
}

// Guards against a node that wakes from a pause behind a cut and sends what it
// held, or takes its old configuration for the newest.
func TestPauseWithCut(t *testing.T) {
	d := deploy(t, launcher.Options{Cut: cutDomain})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the pause")
	paused := d.nodesIn(cutDomain, true)[0]
	resume := d.pause(paused.Name+"-relay", paused.Name+"-gateway")
	d.SetCut(launcher.BlackHole)
	d.expect(exitOK, "apply", "--yes", d.write("cut.json", setTeam("cut")))
	d.eventuallyInForce(d.nodesIn(cutDomain, false))
	resume()
	c.steady(2*deathBound, "full answers behind the cut")
	d.SetCut(launcher.Forward)
	d.eventuallyInForce(d.Nodes)
	d.eventually(deathBound, "all see all targets again", d.whole)
	c.steady(deathBound, "full answers after the cut")
	stop()
	c.verify()
}
