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
	// quarantineBound covers the grace period of 1 s and the gossip, which
	// takes seconds.
	quarantineBound = 5 * time.Second
	// quarantineGrace is the time after the first lost target during which a
	// request is not quarantined.
	quarantineGrace = time.Second
)

// quarantined reports whether the gateway of each node has exactly one quarantine
// entry.
func (d *deployment) quarantined(nodes []launcher.Node) bool {
	for _, n := range nodes {
		var view adminapi.Quarantine
		if d.get(n.GatewayAdmin, adminapi.PathQuarantine, &view) != nil || len(view.Entries) != 1 {
			return false
		}
	}
	return true
}

// crashCount returns the number of runs of a text that crashed their target.
func (d *deployment) crashCount(text string) int {
	crashed := 0
	for _, r := range d.runsOf(text) {
		if r.Outcome == checker.RunCrashed {
			crashed++
		}
	}
	return crashed
}

// expectOthersNotQuarantined fails the test if a request without the poison ID
// prefix was refused as quarantined.
func (c *callers) expectOthersNotQuarantined() {
	c.d.t.Helper()
	for _, a := range c.sentAfter(time.Time{}) {
		if a.Code == string(callerapi.ErrorCodeQuarantined) && !strings.HasPrefix(a.Request, "poison") {
			c.d.t.Errorf("request %s crashed no target but was refused as quarantined", a.Request)
			return
		}
	}
}

// Guards against a non-idempotent request that crashes one target after another
// because its caller sends it again to other gateways.
func TestPoisonExecute(t *testing.T) {
	d := deploy(t, launcher.Options{Domains: []string{"north"}, Nodes: 3, Targets: 6})
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the first crash")
	const payload = "poison"
	d.injectTargetFaults("*", fault{"kind": "crash-on", "text": payload, "for": "2s"})
	send := func(node int) checker.Answer {
		q := c.newRequest(checker.RequestExecute)
		q.Text = payload
		ticket, err := c.obtainTicket(&q, c.viaGateway(node))
		if err != nil {
			t.Fatal(err)
		}
		return c.executeWithTicket(&q, ticket, c.viaGateway(node))
	}
	for i := range 2 {
		if a := send(i); a.Outcome != checker.OutcomeUnknown {
			t.Errorf("copy %d was answered %s %s, want unknown", i, a.Outcome, a.Code)
		}
		// Copies within the grace period are not quarantined yet. As the
		// payload runs once per ticket, this test does not verify the record.
		time.Sleep(quarantineGrace)
	}
	d.eventually(quarantineBound, "the request is quarantined at every gateway", func() bool { return d.quarantined(d.Nodes) })
	for i := range d.Nodes {
		if a := send(i); a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeQuarantined) {
			t.Errorf("after the quarantine gateway %d answered %s %s", i, a.Outcome, a.Code)
		}
	}
	if lost := d.crashCount(payload); lost > 2 {
		t.Errorf("%d targets were lost, want at most 2", lost)
	}
	d.injectTargetFaults("*", fault{"kind": "clear"})
	c.awaitFullAnswers(failoverBound, "full answers to other requests")
	stop()
	c.expectOthersNotQuarantined()
}

// Guards against a query that keeps crashing targets when its caller sends it
// again, and against a quarantine that refuses other queries.
func TestPoisonQuery(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the first crash")
	const text = "poison"
	d.injectTargetFaults("*", fault{"kind": "crash-on", "text": text, "for": "1s"})
	inside := d.nodesIn("north", true)
	send := func(node int) checker.Answer {
		q := c.newRequest(checker.RequestQuery)
		q.ID, q.Text = "poison-"+q.ID, text
		q.SharedText = true
		return c.send(q, c.viaGateway(node))
	}
	send(0)
	d.eventually(quarantineBound, "the query is quarantined in its failure domain", func() bool { return d.quarantined(inside) })
	before := d.crashCount(text)
	for i := range inside {
		if a := send(i); a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeQuarantined) {
			t.Errorf("after the quarantine gateway %d answered %s %s", i, a.Outcome, a.Code)
		}
	}
	d.eventually(quarantineBound, "the query is quarantined in the other failure domain", func() bool { return d.quarantined(d.Nodes) })
	for i := range d.Nodes {
		send(i)
	}
	if after := d.crashCount(text); after > before {
		t.Errorf("%d targets were lost after the quarantine", after-before)
	}
	c.awaitFullAnswers(failoverBound, "full answers to other queries")
	stop()
	c.expectOthersNotQuarantined()
	c.verify()
}
