package failuretests_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// cutDomain is the failure domain that the tests cut off.
const cutDomain = "south"

func (d *deployment) nodesIn(domain string, in bool) []launcher.Node {
	var nodes []launcher.Node
	for _, n := range d.Nodes {
		if (n.Domain == domain) == in {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// cutTest cuts one failure domain from the platform and from the other, edits
// the configuration meanwhile and heals the cut.
func cutTest(t *testing.T, mode launcher.Mode) {
	d := deploy(t, launcher.Options{Cut: cutDomain})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the cut")
	d.SetCut(mode)
	inside, outside := d.nodesIn(cutDomain, true), d.nodesIn(cutDomain, false)
	old := d.inForce(inside[0])
	d.expect(exitOK, "apply", "--yes", d.write("cut.json", setTeam("cut")))
	d.eventuallyInForce(outside)
	// Each side has a replica of every shard, so that it covers everything.
	c.steady(2*deathBound, "full answers on both sides of the cut")
	for _, n := range inside {
		if now := d.inForce(n); now != old {
			t.Errorf("%s has revision %d behind the cut, want %d", n.Name, now, old)
		}
	}
	d.restart(inside[0])
	d.eventually(startBound, "a node that starts behind the cut is ready", func() bool { return d.ready(inside[0].GatewayAdmin) })
	if now := d.inForce(inside[0]); now != old {
		t.Errorf("%s started with revision %d behind the cut, want %d", inside[0].Name, now, old)
	}
	d.SetCut(launcher.Forward)
	d.eventuallyInForce(d.Nodes)
	d.eventually(deathBound, "both sides see all targets again", d.whole)
	c.steady(deathBound, "full answers after the cut")
	stop()
	c.verify()
}

// Guards against a failure domain that stops, or reverts, when it is cut off
// by refused connections.
func TestCutByRefusal(t *testing.T) { cutTest(t, launcher.Refuse) }

// Guards against a failure domain that hangs when packets to others vanish.
func TestCutByBlackHole(t *testing.T) { cutTest(t, launcher.BlackHole) }

// Guards against coverage that counts shards which only the cut-off failure
// domain has.
func TestCutStatesMissingShards(t *testing.T) {
	d := deploy(t, launcher.Options{Cut: cutDomain, Shards: 6})
	c := newCallers(d)
	// A replica inside is lost, so that only those beyond the cut are left.
	d.target("main-"+cutDomain+"-1", fault{"kind": "crash", "for": "1h"})
	c.settled(c.at(len(d.Nodes)-1), deathBound, "the neighbours serve", func(a checker.Answer) bool { return a.Complete })
	d.SetCut(launcher.Refuse)
	for i, n := range d.Nodes {
		want := n.Domain != cutDomain
		c.settled(c.at(i), deathBound, n.Name+" knows what it can reach", func(a checker.Answer) bool {
			return a.Outcome == checker.OutcomeAnswered && a.Complete == want && a.Coverage > 0
		})
	}
	d.SetCut(launcher.Forward)
	for i, n := range d.Nodes {
		c.settled(c.at(i), deathBound, n.Name+" is whole again", func(a checker.Answer) bool { return a.Complete })
	}
	c.verify()
}

// settled waits until a number of queries in a row satisfy a condition.
func (c *callers) settled(clients []*callerapi.Client, within time.Duration, what string, condition func(checker.Answer) bool) {
	c.d.t.Helper()
	const streak = 10
	met := 0
	c.d.eventually(within, what, func() bool {
		if condition(c.query(clients)) {
			met++
		} else {
			met = 0
		}
		return met == streak
	})
}
