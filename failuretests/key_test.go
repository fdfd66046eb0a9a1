package failuretests_test

import (
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against two runs of a request whose idempotency key is used through
// several gateways at once.
func TestKeyUsedAtEveryGateway(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService, Deadline: 5 * time.Second})
	c := newCallers(d)
	for range 3 {
		q := c.newRequest(checker.RequestExecute)
		answers := make([]checker.Answer, len(c.clients))
		var sends sync.WaitGroup
		for i := range c.clients {
			sends.Go(func() { answers[i] = c.useKey(&q, "key of "+q.ID, c.at(i)) })
		}
		sends.Wait()
		again := c.useKey(&q, "key of "+q.ID, c.rotated())
		c.expectOneRun(&q, append(answers, again))
		if runs := len(d.runsOf(q.Text)); runs != 1 {
			t.Errorf("%s has %d runs, want 1", q.ID, runs)
		}
		c.keep(q, again)
	}
	c.verify()
}

// Guards against a request that runs under a key which could not be claimed.
func TestKeyDuringStoreOutage(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1})
	c := newCallers(d)
	for _, silent := range []bool{false, true} {
		d.platform(fault{"kind": "outage", "silent": silent})
		q := c.newRequest(checker.RequestExecute)
		a := c.keep(q, c.useKey(&q, "key of "+q.ID, c.rotated()))
		if a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeStoreUnreachable) {
			t.Errorf("during the outage (silent %t): %s %s, want not-run store-unreachable", silent, a.Outcome, a.Code)
		}
		d.platform(fault{"kind": "clear"})
	}
	c.verify()
}

// Guards against a second run under a key whose gateway died, or lost the
// store's answer to its claim, in the middle of the request.
func TestKeyWhoseHolderIsLost(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longService, Deadline: 3 * time.Second})
	c := newCallers(d)
	q := c.newRequest(checker.RequestExecute)
	first := make(chan checker.Answer, 1)
	go func() { first <- c.useKey(&q, "key", c.at(0)) }()
	d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
	d.Process(d.Nodes[0].Name + "-gateway").Kill()
	answers := []checker.Answer{<-first}
	for i := range c.clients[1:] {
		answers = append(answers, c.useKey(&q, "key", c.at(i+1)))
	}
	c.expectOneRun(&q, answers)
	c.keep(q, answers[1])

	lost := c.newRequest(checker.RequestExecute)
	d.platform(fault{"kind": "lose-answer"})
	answers = []checker.Answer{c.useKey(&lost, "lost", c.at(1))}
	d.platform(fault{"kind": "clear"})
	answers = append(answers, c.useKey(&lost, "lost", c.at(2)), c.useKey(&lost, "lost", c.at(1)))
	c.expectOneRun(&lost, answers)
	c.keep(lost, answers[2])
	c.verify()
}
