package failuretests_test

import (
	"testing"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against a killed relay that reduces coverage permanently, or makes a
// gateway send a non-idempotent request a second time.
func TestKilledRelay(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the kill")
	killed := d.Nodes[0]
	d.Process(killed.Name + "-relay").Kill()
	c.awaitFullAnswers(failoverBound, "full answers after the kill of a relay")
	if err := d.StartRelay(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the relay is back", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers after the return of the relay")
	stop()
	c.verify()
}

// Guards against another gateway that runs a non-idempotent request of a killed
// gateway again, or falsely reports it as not run.
func TestKilledGateway(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	killed := d.Nodes[1]
	d.injectTargetFaults("*", fault{"kind": "slow", "factor": 100})
	q := c.newRequest(checker.RequestExecute)
	ticket, err := c.obtainTicket(&q, c.viaGateway(1))
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan checker.Answer, 1)
	go func() { first <- c.executeWithTicket(&q, ticket, c.viaGateway(1)) }()
	d.eventually(startBound, "the request runs at a target", func() bool { return len(d.runsOf(q.Text)) > 0 })
	d.Process(killed.Name + "-gateway").Kill()
	if a := <-first; a.Outcome != checker.OutcomeUnknown {
		t.Errorf("the caller of the killed gateway got %s %s", a.Outcome, a.Code)
	}
	again := c.executeWithTicket(&q, ticket, c.viaGateway(0))
	if again.Outcome != checker.OutcomeUnknown {
		t.Errorf("another gateway answered %s %s for a ticket of the killed one, want unknown", again.Outcome, again.Code)
	}
	c.recordAnswer(q, again)
	d.injectTargetFaults("*", fault{"kind": "clear"})
	if err := d.StartGateway(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the gateway is back", d.fullyServing)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the second kill")
	d.Process(killed.Name + "-gateway").Kill()
	c.awaitFullAnswers(failoverBound, "full answers after the kill of a gateway")
	if err := d.StartGateway(killed); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the gateway is back", d.fullyServing)
	after := c.executeWithTicket(&q, ticket, c.viaGateway(1))
	if after.Outcome != checker.OutcomeUnknown {
		t.Errorf("the new gateway answered %s %s for a ticket of its killed predecessor, want unknown", after.Outcome, after.Code)
	}
	stop()
	c.verify()
}

// Guards against a non-idempotent request that is reported as not run, or run
// again, after the relay that forwarded it was killed.
func TestKilledRelayDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime})
	c := newCallers(d)
	q := c.newRequest(checker.RequestExecute)
	ticket, err := c.obtainTicket(&q, c.viaGateway(0))
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan checker.Answer, 1)
	go func() { first <- c.executeWithTicket(&q, ticket, c.viaGateway(0)) }()
	d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
	for _, n := range d.Nodes[:2] {
		d.Process(n.Name + "-relay").Kill()
	}
	answer := <-first
	if answer.Outcome != checker.OutcomeUnknown {
		t.Errorf("a request whose relay was killed was answered %s %s, want unknown", answer.Outcome, answer.Code)
	}
	c.expectAtMostOneRun(&q, append(c.executeAtAllGateways(&q, ticket), answer))
	c.recordAnswer(q, answer)
	c.verify()
}

// Guards against queries that do not fail over to the replica of a killed target,
// and against answers whose coverage includes a shard that was not searched.
func TestKilledTarget(t *testing.T) {
	d := deploy(t, launcher.Options{SeparateTargets: true})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the kill")
	d.killTargetProcess(0)
	c.awaitFullAnswers(failoverBound, "full answers after the kill of a target")
	if err := d.StartTargets(0); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the target is back", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers after the return of the target")
	stop()
	c.verify()
}

// Guards against a non-idempotent request that is sent again after its target
// crashed while running it. The outcome must be unknown and remain unknown.
func TestTargetCrashDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	for range 3 {
		q := c.newRequest(checker.RequestExecute)
		d.injectTargetFaults("*", fault{"kind": "crash-on", "text": q.Text, "for": "500ms"})
		ticket, err := c.obtainTicket(&q, c.viaAnyGateway())
		if err != nil {
			t.Fatal(err)
		}
		a := c.executeWithTicket(&q, ticket, c.viaAnyGateway())
		if a.Outcome != checker.OutcomeUnknown {
			t.Errorf("a request whose target crashed was answered %s %s, want unknown", a.Outcome, a.Code)
		}
		for range d.Nodes {
			if a = c.executeWithTicket(&q, ticket, c.viaAnyGateway()); a.Outcome == checker.OutcomeNotRun {
				t.Errorf("a request that ran was answered not-run (%s)", a.Code)
			}
		}
		c.recordAnswer(q, a)
		if runs := len(d.runsOf(q.Text)); runs != 1 {
			t.Errorf("the request has %d runs, want 1", runs)
		}
	}
	c.verify()
}

// Guards against a tier that does not recover when the relay and the gateway of
// a node are killed several times in quick succession.
func TestRepeatedKills(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the kills")
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
	d.eventually(startBound, "the node is back", d.fullyServing)
	c.awaitFullAnswers(failoverBound, "full answers after the kills")
	stop()
	c.verify()
}
