package failuretests_test

import (
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// Guards against two runs of a request whose idempotency key is sent to several
// gateways concurrently.
func TestKeyUsedAtEveryGateway(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime, Deadline: 5 * time.Second})
	c := newCallers(d)
	for range 3 {
		q := c.newRequest(checker.RequestExecute)
		answers := make([]checker.Answer, len(c.clients))
		var sends sync.WaitGroup
		for i := range c.clients {
			sends.Go(func() { answers[i] = c.executeWithKey(&q, "key of "+q.ID, c.viaGateway(i)) })
		}
		sends.Wait()
		again := c.executeWithKey(&q, "key of "+q.ID, c.viaAnyGateway())
		c.expectAtMostOneRun(&q, append(answers, again))
		if runs := len(d.runsOf(q.Text)); runs != 1 {
			t.Errorf("%s has %d runs, want 1", q.ID, runs)
		}
		c.recordAnswer(q, again)
	}
	c.verify()
}

// Guards against a request that runs although its key could not be claimed in
// the store.
func TestKeyDuringStoreOutage(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1})
	c := newCallers(d)
	for _, silent := range []bool{false, true} {
		d.injectPlatformFaults(fault{"kind": "outage", "silent": silent})
		q := c.newRequest(checker.RequestExecute)
		a := c.recordAnswer(q, c.executeWithKey(&q, "key of "+q.ID, c.viaAnyGateway()))
		if a.Outcome != checker.OutcomeNotRun || a.Code != string(callerapi.ErrorCodeStoreUnreachable) {
			t.Errorf("during the outage (silent %t): %s %s, want not-run store-unreachable", silent, a.Outcome, a.Code)
		}
		d.injectPlatformFaults(fault{"kind": "clear"})
	}
	c.verify()
}

// Guards against a second run under a key after the gateway that claimed it was
// killed during the request, or the store's answer to the claim was lost.
func TestKeyAfterLossOfGateway(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: longServiceTime, Deadline: 3 * time.Second})
	c := newCallers(d)
	q := c.newRequest(checker.RequestExecute)
	first := make(chan checker.Answer, 1)
	go func() { first <- c.executeWithKey(&q, "key", c.viaGateway(0)) }()
	d.eventually(startBound, "the request runs", func() bool { return len(d.runsOf(q.Text)) > 0 })
	d.Process(d.Nodes[0].Name + "-gateway").Kill()
	answers := []checker.Answer{<-first}
	for i := range c.clients[1:] {
		answers = append(answers, c.executeWithKey(&q, "key", c.viaGateway(i+1)))
	}
	c.expectAtMostOneRun(&q, answers)
	c.recordAnswer(q, answers[1])

	lost := c.newRequest(checker.RequestExecute)
	d.injectPlatformFaults(fault{"kind": "lose-answer"})
	answers = []checker.Answer{c.executeWithKey(&lost, "lost", c.viaGateway(1))}
	d.injectPlatformFaults(fault{"kind": "clear"})
	answers = append(answers, c.executeWithKey(&lost, "lost", c.viaGateway(2)), c.executeWithKey(&lost, "lost", c.viaGateway(1)))
	c.expectAtMostOneRun(&lost, answers)
	c.recordAnswer(lost, answers[2])
	c.verify()
}
