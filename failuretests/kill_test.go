package failuretests_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against a relay whose sudden end loses coverage for good, or makes a
// gateway send a non-idempotent request a second time.
func TestKilledRelay(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the kill")
	killed := d.Nodes[0]
	d.Process(killed.Name + "-relay").Kill()
	c.steady(deathBound, "full answers after the kill of a relay")
	if err := d.StartRelay(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the relay is back", d.whole)
	c.steady(deathBound, "full answers after the return of the relay")
	stop()
	c.verify()
}

// Guards against a gateway whose sudden end lets another gateway run a
// non-idempotent request again, or answer it with a false "not run".
func TestKilledGateway(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	killed := d.Nodes[1]
	d.target("*", fault{"kind": "slow", "factor": 100})
	q := c.newRequest(checker.RequestExecute)
	ticket, err := c.ticket(&q, c.at(1))
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan checker.Answer, 1)
	go func() { first <- c.useTicket(&q, ticket, c.at(1)) }()
	d.eventually(startBound, "the request runs at a target", func() bool { return len(d.runsOf(q.Text)) > 0 })
	d.Process(killed.Name + "-gateway").Kill()
	if a := <-first; a.Outcome != checker.OutcomeUnknown {
		t.Errorf("the caller of the killed gateway got %s %s", a.Outcome, a.Code)
	}
	again := c.useTicket(&q, ticket, c.at(0))
	if again.Outcome != checker.OutcomeUnknown {
		t.Errorf("another gateway answered %s %s for a ticket of the killed one, want unknown", again.Outcome, again.Code)
	}
	c.keep(q, again)
	d.target("*", fault{"kind": "clear"})
	if err := d.StartGateway(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the gateway is back", d.whole)
	stop := c.load(true)
	c.steady(startBound, "answers before the second kill")
	d.Process(killed.Name + "-gateway").Kill()
	c.steady(deathBound, "full answers after the kill of a gateway")
	if err := d.StartGateway(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the gateway is back", d.whole)
	after := c.useTicket(&q, ticket, c.at(1))
	if after.Outcome != checker.OutcomeUnknown {
		t.Errorf("the new gateway answered %s %s for a ticket of its killed predecessor, want unknown", after.Outcome, after.Code)
	}
	stop()
	c.verify()
}

// Guards against a request that is answered "not run", or run again, after the
// relay through which it was sent has died.
func TestKilledRelayDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService})
	c := newCallers(d)
	q := c.newRequest(checker.RequestExecute)
	ticket, err := c.ticket(&q, c.at(0))
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan checker.Answer, 1)
	go func() { first <- c.useTicket(&q, ticket, c.at(0)) }()
	d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
	for _, n := range d.Nodes[:2] {
		d.Process(n.Name + "-relay").Kill()
	}
	answer := <-first
	if answer.Outcome != checker.OutcomeUnknown {
		t.Errorf("a request whose relay died was answered %s %s, want unknown", answer.Outcome, answer.Code)
	}
	c.expectOneRun(&q, append(c.reuse(&q, ticket), answer))
	c.keep(q, answer)
	c.verify()
}

// Guards against a target whose process ends: queries must go to its replica,
// and the answer must not claim a shard that nobody searched.
func TestKilledTarget(t *testing.T) {
	d := deploy(t, launcher.Options{SeparateTargets: true})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the kill")
	d.killTargets(0)
	c.steady(deathBound, "full answers after the kill of a target")
	if err := d.StartTargets(0); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the target is back", d.whole)
	c.steady(deathBound, "full answers after the return of the target")
	stop()
	c.verify()
}

// Guards against a non-idempotent request that is sent again after its target
// crashed while it ran: the outcome is unknown and stays so.
func TestTargetCrashDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	for range 3 {
		q := c.newRequest(checker.RequestExecute)
		d.target("*", fault{"kind": "crash-on", "text": q.Text, "for": "500ms"})
		ticket, err := c.ticket(&q, c.rotated())
		if err != nil {
			t.Fatal(err)
		}
		a := c.useTicket(&q, ticket, c.rotated())
		if a.Outcome != checker.OutcomeUnknown {
			t.Errorf("a request whose target crashed was answered %s %s, want unknown", a.Outcome, a.Code)
		}
		for range d.Nodes {
			if a = c.useTicket(&q, ticket, c.rotated()); a.Outcome == checker.OutcomeNotRun {
				t.Errorf("a request that ran was answered not-run (%s)", a.Code)
			}
		}
		c.keep(q, a)
		if runs := len(d.runsOf(q.Text)); runs != 1 {
			t.Errorf("the request has %d runs, want 1", runs)
		}
	}
	c.verify()
}

// Guards against a tier that does not recover from several sudden ends in a
// row, of a relay, a gateway and again the relay.
func TestRepeatedKills(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the kills")
	n := d.Nodes[0]
	for range 3 {
		d.Process(n.Name + "-relay").Kill()
		d.Process(n.Name + "-gateway").Kill()
		if err := d.StartRelay(n); err != nil {
			t.Fatal(err)
		}
		if err := d.StartGateway(n); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.eventually(startBound, "the node is back", d.whole)
	c.steady(deathBound, "full answers after the kills")
	stop()
	c.verify()
}
