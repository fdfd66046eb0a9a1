package failuretests_test

import (
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

const (
	// quarantineBound is the grace period of 1 s and the gossip within seconds.
	quarantineBound = 5 * time.Second
	// poisonGrace is the time after the first loss before which a request is
	// not judged.
	poisonGrace = time.Second
)

// quarantined reports whether each gateway of the nodes refuses a request.
func (d *deployment) quarantined(nodes []launcher.Node) bool {
	for _, n := range nodes {
		var view adminapi.Quarantine
		if d.get(n.GatewayAdmin, adminapi.PathQuarantine, &view) != nil || len(view.Entries) != 1 {
			return false
		}
	}
	return true
}

// crashes returns the number of runs of a text that took their target down.
func (d *deployment) crashes(text string) int {
	crashed := 0
	for _, r := range d.runsOf(text) {
		if r.Outcome == checker.RunCrashed {
			crashed++
		}
	}
	return crashed
}

// refusedOthers fails the test when the quarantine met other requests.
func (c *callers) refusedOthers() {
	c.d.t.Helper()
	for _, a := range c.sentAfter(time.Time{}) {
		if a.Code == string(callerapi.ErrorCodeQuarantined) && !strings.HasPrefix(a.Request, "poison") {
			c.d.t.Errorf("%s is innocent and was refused as quarantined", a.Request)
			return
		}
	}
}

// Guards against a non-idempotent request that takes down one target after
// another, as its caller sends it again through other gateways.
func TestPoisonExecute(t *testing.T) {
	d := deploy(t, launcher.Options{Domains: []string{"north"}, Nodes: 3, Targets: 6})
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the poison")
	const payload = "poison"
	d.target("*", fault{"kind": "crash-on", "text": payload, "for": "2s"})
	send := func(node int) checker.Answer {
		q := c.newRequest(checker.RequestExecute)
		q.Text = payload
		ticket, err := c.ticket(&q, c.at(node))
		if err != nil {
			t.Fatal(err)
		}
		return c.useTicket(&q, ticket, c.at(node))
	}
	for i := range 2 {
		if a := send(i); a.Outcome != checker.OutcomeUnknown {
			t.Errorf("copy %d was answered %s %s, want unknown", i, a.Outcome, a.Code)
		}
		// Copies within the grace period are not judged yet, and the payload
		// runs once for each ticket, so the record is not verified.
		time.Sleep(poisonGrace)
	}
	d.eventually(quarantineBound, "the request is quarantined at every gateway", func() bool { return d.quarantined(d.Nodes) })
	for i := range d.Nodes {
		if a := send(i); a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeQuarantined) {
			t.Errorf("after the quarantine gateway %d answered %s %s", i, a.Outcome, a.Code)
		}
	}
	if lost := d.crashes(payload); lost > 2 {
		t.Errorf("%d targets were lost, want at most 2", lost)
	}
	d.target("*", fault{"kind": "clear"})
	c.steady(deathBound, "full answers to other requests")
	stop()
	c.refusedOthers()
}

// Guards against a query that goes on to take down targets when its caller
// sends it again, and against a quarantine that refuses other queries.
func TestPoisonQuery(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the poison")
	const text = "poison"
	d.target("*", fault{"kind": "crash-on", "text": text, "for": "1s"})
	inside := d.nodesIn("north", true)
	send := func(node int) checker.Answer {
		q := c.newRequest(checker.RequestQuery)
		q.ID, q.Text = "poison-"+q.ID, text
		q.SharedText = true
		return c.send(q, c.at(node))
	}
	send(0)
	d.eventually(quarantineBound, "the query is quarantined in its failure domain", func() bool { return d.quarantined(inside) })
	before := d.crashes(text)
	for i := range inside {
		if a := send(i); a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeQuarantined) {
			t.Errorf("after the quarantine gateway %d answered %s %s", i, a.Outcome, a.Code)
		}
	}
	d.eventually(quarantineBound, "the other failure domain hears of it", func() bool { return d.quarantined(d.Nodes) })
	for i := range d.Nodes {
		send(i)
	}
	if after := d.crashes(text); after > before {
		t.Errorf("%d targets were lost after the quarantine", after-before)
	}
	c.steady(deathBound, "full answers to other queries")
	stop()
	c.refusedOthers()
	c.verify()
}
