package failuretests_test

import (
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/failuretests/launcher"
)

// notReadyBound leaves the load balancer most of the leave time of 2 s to detect
// that a gateway is stopping.
const notReadyBound = time.Second

// Guards against a gateway that aborts requests, still reports ready or exits
// with an error when it is stopped gracefully.
func TestGracefulStopOfGateways(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	for _, n := range d.Nodes {
		name := n.Name + "-gateway"
		p := d.Process(name)
		if err := p.Signal(sigterm); err != nil {
			t.Fatal(err)
		}
		d.eventually(notReadyBound, name+" reports not ready", func() bool { return !d.ready(n.GatewayAdmin) })
		if p.Exited() {
			t.Errorf("%s exited without a leave time in which it reports not ready", name)
		}
		d.terminate(name)
		if err := d.StartGateway(n); err != nil {
			t.Fatal(err)
		}
		d.eventually(startBound, "the new gateway is ready", d.fullyServing)
	}
	stop()
	c.expectFullAnswers("gateways were stopped gracefully")
	c.verify()
}

// Guards against a stopping gateway that closes an idle connection just as a
// caller sends a request on it. Answers during the leave time must close the
// connection.
func TestLeavingGatewayEndsConnections(t *testing.T) {
	d := deploy(t, launcher.Options{})
	n := d.Nodes[0]
	if err := d.Process(n.Name + "-gateway").Signal(sigterm); err != nil {
		t.Fatal(err)
	}
	d.eventually(notReadyBound, "the gateway reports not ready", func() bool { return !d.ready(n.GatewayAdmin) })
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

// Guards against a relay that aborts requests of gateways or leaves targets
// without an owner when it is stopped gracefully.
func TestGracefulStopOfRelays(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(true)
	for _, n := range d.Nodes {
		d.terminate(n.Name + "-relay")
		if err := d.StartRelay(n); err != nil {
			t.Fatal(err)
		}
		d.eventually(startBound, "the new relay is ready", d.fullyServing)
	}
	stop()
	c.expectFullAnswers("relays were stopped gracefully")
	c.verify()
}

// Guards against a process that exits before a long request in flight has ended.
func TestGracefulStopWaitsForLongRequests(t *testing.T) {
	// The service time exceeds the leave time of 2 s.
	const serviceTime = 3 * time.Second
	// The gateway sends the requests through the relays of its own domain.
	for _, stopped := range [][]string{{"north-1-gateway"}, {"north-1-relay", "north-2-relay"}} {
		t.Run(stopped[0], func(t *testing.T) {
			d := deploy(t, launcher.Options{ServiceTime: serviceTime, Deadline: 9 * time.Second})
			c := newCallers(d)
			c.pending.Go(func() { c.execute(c.viaGateway(0)) })
			c.pending.Go(func() { c.query(c.viaGateway(0)) })
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
			c.expectFullAnswers("processes were stopped during the requests")
			c.verify()
		})
	}
}
