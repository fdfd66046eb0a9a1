package failuretests_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// longServiceTime makes a request last long enough to pause a process while it
// is running.
const longServiceTime = 300 * time.Millisecond

// pause sends SIGSTOP to the named processes. The returned function resumes them.
func (d *deployment) pause(names ...string) (resume func()) {
	d.t.Helper()
	for _, name := range names {
		if err := d.Process(name).Signal(sigstop); err != nil {
			d.t.Fatal(err)
		}
	}
	return func() {
		for _, name := range names {
			if err := d.Process(name).Signal(sigcont); err != nil {
				d.t.Fatal(err)
			}
		}
	}
}

// executeAtAllGateways sends a request with its ticket to all gateways
// concurrently.
func (c *callers) executeAtAllGateways(q *checker.Request, ticket string) []checker.Answer {
	answers := make([]checker.Answer, len(c.clients))
	var sends sync.WaitGroup
	for i := range c.clients {
		sends.Go(func() { answers[i] = c.executeWithTicket(q, ticket, c.viaGateway(i)) })
	}
	sends.Wait()
	return answers
}

// expectAtMostOneRun checks that a request ran at most once and that its answers
// are consistent with the runs.
func (c *callers) expectAtMostOneRun(q *checker.Request, answers []checker.Answer) {
	c.d.t.Helper()
	runs := c.d.runsOf(q.Text)
	if len(runs) > 1 {
		c.d.t.Errorf("%s has %d runs, want at most 1", q.ID, len(runs))
	}
	for _, a := range answers {
		switch {
		case a.Outcome == checker.OutcomeNotRun && len(runs) > 0:
			c.d.t.Errorf("%s ran but was answered not-run (%s)", q.ID, a.Code)
		case a.Outcome == checker.OutcomeAnswered && a.Result != checker.Execute(q.Operation, q.Text):
			c.d.t.Errorf("%s was answered with the wrong result %q", q.ID, a.Result)
		case a.Outcome == checker.OutcomeAnswered && len(runs) == 0:
			c.d.t.Errorf("%s was answered without a run", q.ID)
		}
	}
}

// Guards against two runs of a request whose ticket is sent to several gateways
// concurrently, and against answers that differ.
func TestTicketUsedAtEveryGateway(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime, Deadline: 5 * time.Second})
	c := newCallers(d)
	for i := range d.Nodes {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.obtainTicket(&q, c.viaGateway(i))
		if err != nil {
			t.Fatal(err)
		}
		answers := append(c.executeAtAllGateways(&q, ticket), c.executeAtAllGateways(&q, ticket)...)
		c.expectAtMostOneRun(&q, answers)
		for _, a := range answers {
			if a.Outcome != checker.OutcomeAnswered {
				t.Errorf("%s got %s %s %s, want the result of its run", q.ID, a.Outcome, a.Code, a.Message)
			}
		}
		c.recordAnswer(q, answers[0])
	}
	c.verify()
}

// Guards against a second run when the gateway that issued the ticket is paused
// during a non-idempotent request, past its deadline, and then resumes.
func TestPausedGatewayDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime})
	c := newCallers(d)
	gateway := d.Nodes[0].Name + "-gateway"
	for _, afterStart := range []bool{false, true} {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.obtainTicket(&q, c.viaGateway(0))
		if err != nil {
			t.Fatal(err)
		}
		resume := func() {}
		if !afterStart {
			resume = d.pause(gateway)
		}
		first := make(chan checker.Answer, 1)
		go func() { first <- c.executeWithTicket(&q, ticket, c.viaGateway(0)) }()
		if afterStart {
			d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
			resume = d.pause(gateway)
		}
		otherAnswer := c.executeWithTicket(&q, ticket, c.viaGateway(1))
		if otherAnswer.Outcome != checker.OutcomeUnknown {
			t.Errorf("another gateway answered %s %s while the issuer was paused, want unknown", otherAnswer.Outcome, otherAnswer.Code)
		}
		resume()
		answers := append([]checker.Answer{<-first}, c.executeAtAllGateways(&q, ticket)...)
		c.expectAtMostOneRun(&q, append(answers, otherAnswer))
		c.recordAnswer(q, answers[0])
	}
	c.verify()
}

// Guards against a second run, or a false report of not run, when the relays of
// a failure domain are paused during non-idempotent requests.
func TestPausedRelaysDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime})
	c := newCallers(d)
	relays := []string{d.Nodes[0].Name + "-relay", d.Nodes[1].Name + "-relay"}
	for _, afterStart := range []bool{false, true} {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.obtainTicket(&q, c.viaGateway(0))
		if err != nil {
			t.Fatal(err)
		}
		resume := func() {}
		if !afterStart {
			resume = d.pause(relays...)
		}
		first := make(chan checker.Answer, 1)
		go func() { first <- c.executeWithTicket(&q, ticket, c.viaGateway(0)) }()
		if afterStart {
			d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
			resume = d.pause(relays...)
		}
		answer := <-first
		resume()
		d.eventually(failoverBound, "the relays are back", d.fullyServing)
		c.expectAtMostOneRun(&q, append(c.executeAtAllGateways(&q, ticket), answer))
		c.recordAnswer(q, answer)
	}
	c.verify()
}

// Guards against queries that wait for a paused relay past their deadline, and
// against answers of a resumed relay that are matched to other queries.
func TestPausedRelayDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	c.awaitFullAnswers(startBound, "answers before the pause")
	for _, n := range d.Nodes[:2] {
		resume := d.pause(n.Name + "-relay")
		c.awaitFullAnswers(failoverBound, fmt.Sprintf("full answers while %s is paused", n.Name))
		resume()
		d.eventually(failoverBound, "the relay is back", d.fullyServing)
		c.awaitFullAnswers(failoverBound, "full answers after the pause")
	}
	stop()
	c.verify()
}

// Guards against a resumed gateway that answers queries with stale results, or
// does not recover.
func TestPausedGatewayDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	paused := d.Nodes[0]
	resume := d.pause(paused.Name + "-gateway")
	// These queries arrive while the gateway is paused. Their long deadline
	// exempts them from the latency check.
	var early sync.WaitGroup
	for range 20 {
		early.Go(func() {
			q := c.newRequest(checker.RequestQuery)
			q.Deadline = startBound
			c.send(q, c.viaGateway(0))
		})
	}
	others := c.clients[1:]
	for range 50 {
		c.query(others)
	}
	resume()
	early.Wait()
	d.eventually(failoverBound, "the gateway is back", d.fullyServing)
	for range 50 {
		if a := c.query(c.viaGateway(0)); !a.Complete {
			t.Errorf("after the pause: %s %s", a.Outcome, a.Code)
		}
	}
	c.verify()
}
