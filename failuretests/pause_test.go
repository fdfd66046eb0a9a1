package failuretests_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// longService makes a request last long enough to pause a process in the
// middle of it.
const longService = 300 * time.Millisecond

// pause stops processes of these names until the returned function is called.
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

// reuse sends a request under its ticket through every gateway at once.
func (c *callers) reuse(q *checker.Request, ticket string) []checker.Answer {
	answers := make([]checker.Answer, len(c.clients))
	var sends sync.WaitGroup
	for i := range c.clients {
		sends.Go(func() { answers[i] = c.useTicket(q, ticket, c.at(i)) })
	}
	sends.Wait()
	return answers
}

// expectOneRun checks what all answers under one ticket say against the runs.
func (c *callers) expectOneRun(q *checker.Request, answers []checker.Answer) {
	c.d.t.Helper()
	runs := c.d.runsOf(q.Text)
	if len(runs) > 1 {
		c.d.t.Errorf("%s has %d runs", q.ID, len(runs))
	}
	for _, a := range answers {
		switch {
		case a.Outcome == checker.OutcomeNotRun && len(runs) > 0:
			c.d.t.Errorf("%s ran and was answered not-run (%s)", q.ID, a.Code)
		case a.Outcome == checker.OutcomeAnswered && a.Result != checker.Execute(q.Operation, q.Text):
			c.d.t.Errorf("%s got the result %q", q.ID, a.Result)
		case a.Outcome == checker.OutcomeAnswered && len(runs) == 0:
			c.d.t.Errorf("%s was answered without a run", q.ID)
		}
	}
}

// Guards against two runs of a request whose ticket is used through several
// gateways at once, and against answers that differ.
func TestTicketUsedAtEveryGateway(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService, Deadline: 5 * time.Second})
	c := newCallers(d)
	for i := range d.Nodes {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.ticket(&q, c.at(i))
		if err != nil {
			t.Fatal(err)
		}
		answers := append(c.reuse(&q, ticket), c.reuse(&q, ticket)...)
		c.expectOneRun(&q, answers)
		for _, a := range answers {
			if a.Outcome != checker.OutcomeAnswered {
				t.Errorf("%s got %s %s %s, want the result of its run", q.ID, a.Outcome, a.Code, a.Message)
			}
		}
		c.keep(q, answers[0])
	}
	c.verify()
}

// Guards against a second run when the issuing gateway is paused in the middle
// of a non-idempotent request for longer than its deadline, and resumes.
func TestPausedGatewayDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService})
	c := newCallers(d)
	gateway := d.Nodes[0].Name + "-gateway"
	for _, afterStart := range []bool{false, true} {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.ticket(&q, c.at(0))
		if err != nil {
			t.Fatal(err)
		}
		resume := func() {}
		if !afterStart {
			resume = d.pause(gateway)
		}
		first := make(chan checker.Answer, 1)
		go func() { first <- c.useTicket(&q, ticket, c.at(0)) }()
		if afterStart {
			d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
			resume = d.pause(gateway)
		}
		elsewhere := c.useTicket(&q, ticket, c.at(1))
		if elsewhere.Outcome != checker.OutcomeUnknown {
			t.Errorf("another gateway answered %s %s while the issuer was paused, want unknown", elsewhere.Outcome, elsewhere.Code)
		}
		resume()
		answers := append([]checker.Answer{<-first}, c.reuse(&q, ticket)...)
		c.expectOneRun(&q, append(answers, elsewhere))
		c.keep(q, answers[0])
	}
	c.verify()
}

// Guards against a second run, or a false "not run", when the relays of a
// failure domain are paused in the middle of non-idempotent requests.
func TestPausedRelaysDuringExecute(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService})
	c := newCallers(d)
	relays := []string{d.Nodes[0].Name + "-relay", d.Nodes[1].Name + "-relay"}
	for _, afterStart := range []bool{false, true} {
		q := c.newRequest(checker.RequestExecute)
		ticket, err := c.ticket(&q, c.at(0))
		if err != nil {
			t.Fatal(err)
		}
		resume := func() {}
		if !afterStart {
			resume = d.pause(relays...)
		}
		first := make(chan checker.Answer, 1)
		go func() { first <- c.useTicket(&q, ticket, c.at(0)) }()
		if afterStart {
			d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
			resume = d.pause(relays...)
		}
		answer := <-first
		resume()
		d.eventually(deathBound, "the relays are back", d.whole)
		c.expectOneRun(&q, append(c.reuse(&q, ticket), answer))
		c.keep(q, answer)
	}
	c.verify()
}

// Guards against queries that wait beyond their deadline for a paused relay,
// and against answers of a resumed relay that reach other queries.
func TestPausedRelayDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	c.steady(startBound, "answers before the pause")
	for _, n := range d.Nodes[:2] {
		resume := d.pause(n.Name + "-relay")
		c.steady(deathBound, fmt.Sprintf("full answers while %s is paused", n.Name))
		resume()
		d.eventually(deathBound, "the relay is back", d.whole)
		c.steady(deathBound, "full answers after the pause")
	}
	stop()
	c.verify()
}

// Guards against a resumed gateway that answers queries with results of an
// earlier time, or never recovers.
func TestPausedGatewayDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	paused := d.Nodes[0]
	resume := d.pause(paused.Name + "-gateway")
	// The queries arrive while the gateway is paused and expire before it
	// resumes, so that their latency says nothing.
	var early sync.WaitGroup
	for range 20 {
		early.Go(func() {
			q := c.newRequest(checker.RequestQuery)
			q.Deadline = startBound
			c.send(q, c.at(0))
		})
	}
	others := c.clients[1:]
	for range 50 {
		c.query(others)
	}
	resume()
	early.Wait()
	d.eventually(deathBound, "the gateway is back", d.whole)
	for range 50 {
		if a := c.query(c.at(0)); !a.Complete {
			t.Errorf("after the pause: %s %s", a.Outcome, a.Code)
		}
	}
	c.verify()
}
