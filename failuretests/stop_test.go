package failuretests_test

import (
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/failuretests/launcher"
)

// notReadyBound leaves the balancer most of the leave time of 2 s to see that
// a gateway stops.
const notReadyBound = time.Second

// Guards against a planned stop of a gateway that cuts requests, goes on to
// call itself ready, or ends with an error.
func TestGracefulStopOfGateways(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(true)
	for _, n := range d.Nodes {
		name := n.Name + "-gateway"
		p := d.Process(name)
		if err := p.Signal(sigterm); err != nil {
			t.Fatal(err)
		}
		d.eventually(notReadyBound, name+" says that it is not ready", func() bool { return !d.ready(n.GatewayAdmin) })
		if p.Exited() {
			t.Errorf("%s ended without a time in which it was not ready", name)
		}
		d.terminate(name)
		if err := d.StartGateway(n); err != nil {
			t.Fatal(err)
		}
		d.eventually(startBound, "the new gateway is ready", d.whole)
	}
	stop()
	c.allAnswered("gateways were stopped gracefully")
	c.verify()
}

// Guards against a stop that closes an idle connection just when a caller
// sends a request on it: answers during the leave time must end the connection.
func TestLeavingGatewayEndsConnections(t *testing.T) {
	d := deploy(t, launcher.Options{})
	n := d.Nodes[0]
	if err := d.Process(n.Name + "-gateway").Signal(sigterm); err != nil {
		t.Fatal(err)
	}
	d.eventually(notReadyBound, "the gateway says that it is not ready", func() bool { return !d.ready(n.GatewayAdmin) })
	request, err := http.NewRequest(http.MethodPost, "http://"+n.Caller.String()+"/v1/tickets", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Jackdawcart-Caller", "caller")
	response, err := d.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("during the leave time: status %d, connection closed %t", response.StatusCode, response.Close)
	}
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
	const serviceTime = 3 * time.Second
	// The gateway runs the requests through the relays of its own domain.
	for _, stopped := range [][]string{{"north-1-gateway"}, {"north-1-relay", "north-2-relay"}} {
		t.Run(stopped[0], func(t *testing.T) {
			d := deploy(t, launcher.Options{ServiceTime: serviceTime, Deadline: 9 * time.Second})
			c := newCallers(d)
			c.pending.Go(func() { c.execute(c.at(0)) })
			c.pending.Go(func() { c.query(c.at(0)) })
			d.eventually(startBound, "the requests run", func() bool {
				record, _ := d.record()
				return len(record.Runs) > d.Shards
			})
			for _, name := range stopped {
				if err := d.Process(name).Signal(sigterm); err != nil {
					t.Fatal(err)
				}
			}
			for _, name := range stopped {
				d.terminate(name)
			}
			c.allAnswered("processes were stopped during the requests")
			c.verify()
		})
	}
}
