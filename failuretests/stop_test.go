package failuretests_test

import (
	"testing"
	"time"

	"jackdawcart.org/failuretests/launcher"
)

// Guards against a planned stop of a gateway that cuts requests, goes on to
// call itself ready, or ends with an error.
func TestGracefulStopOfGateways(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	for _, n := range d.Nodes {
		name := n.Name + "-gateway"
		p := d.Process(name)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.eventuallyNotReady(n, p)
		}()
		d.terminate(name)
		<-ended
		if err := d.StartGateway(n); err != nil {
			t.Fatal(err)
		}
		d.eventually(startBound, "the new gateway is ready", d.whole)
	}
	stop()
	c.allAnswered("gateways were stopped gracefully")
	c.verify()
}

// eventuallyNotReady checks that a stopping gateway says so before it ends.
func (d *deployment) eventuallyNotReady(n launcher.Node, p *launcher.Process) {
	for !p.Exited() {
		if !d.ready(n.GatewayAdmin) && !p.Exited() {
			return
		}
		time.Sleep(pollPeriod)
	}
	d.t.Errorf("%s was ready until it ended", p.Name)
}

// Guards against a planned stop of a relay that cuts requests of gateways or
// leaves targets without an owner.
func TestGracefulStopOfRelays(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	for _, n := range d.Nodes {
		d.terminate(n.Name + "-relay")
		if err := d.StartRelay(n); err != nil {
			t.Fatal(err)
		}
		d.eventually(startBound, "the new relay is ready", d.whole)
	}
	stop()
	c.allAnswered("relays were stopped gracefully")
	c.verify()
}

// Guards against a stop that ends before a long request in flight does.
func TestGracefulStopWaitsForLongRequests(t *testing.T) {
	// The request outlasts the leave time of 2 s.
	const serviceTime = 4 * time.Second
	d := deploy(t, launcher.Options{Deadline: 9 * time.Second})
	c := newCallers(d)
	d.target("*", fault{"kind": "slow", "factor": float64(serviceTime) / float64(d.ServiceTime)})
	c.pending.Go(func() { c.execute(c.at(0)) })
	c.pending.Go(func() { c.query(c.at(0)) })
	d.eventually(startBound, "the requests run", func() bool {
		record, _ := d.record()
		return len(record.Runs) > d.Shards
	})
	d.terminate(d.Nodes[0].Name + "-gateway")
	c.allAnswered("the gateway was stopped during the request")
	c.verify()
}
