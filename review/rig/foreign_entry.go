package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// foreignEntry has another writer replace the entry of one back end of municipios by one with
// missing fields, which names it under certificados. The back end writes its own entry again
// with its next heartbeat.
func foreignEntry(d *deployment, trouble bool) []string {
	work := func(string) time.Duration { return 20 * time.Millisecond }
	zones := []string{"rosario", "santa-fe", "parana"}
	for i, zone := range zones {
		d.addBackend(fmt.Sprintf("i-cert-%d", i+1), "certificados", zone, 4, 16, work)
		d.addBackend(fmt.Sprintf("i-muni-%d", i+1), "municipios", zone, 4, 16, work)
	}
	d.configure(7, []string{"certificados", "municipios"},
		route("/issue/", "non_idempotent", "certificados", 2500*time.Millisecond, 250*time.Millisecond),
		route("/report/", "idempotent", "municipios", 2500*time.Millisecond, 250*time.Millisecond))
	d.start(zones)

	var sent attempts
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 9 {
		clients.Go(func() {
			c := &client{attempts: &sent, machine: d.machines[i%len(d.machines)], deadline: 2500 * time.Millisecond}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
					c.send("POST", "/issue/"+fmt.Sprint(i))
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	victim := d.backends["i-muni-2"]
	if trouble {
		value, err := json.Marshal(map[string]any{
			"service": "certificados", "address": victim.address(), "zone": victim.zone, "slots": 4, "state": "ready",
		})
		if err != nil {
			panic(err)
		}
		d.store.put("servers/"+victim.id, value)
		d.record.add("another writer writes servers/%s: %s", victim.id, value)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	var broken []string
	known := make(map[string]attempt)
	for _, x := range sent.all() {
		known[x.id] = x
		d.record.addAt(x.sent, "sent %s POST %s to %s: %d after %v, stamp %q", x.id, x.path, x.machine, x.status, x.ended.Sub(x.sent).Round(time.Millisecond), x.stamp)
	}
	for _, x := range d.runs.all() {
		d.record.addAt(x.began, "run %s %s at %s of %s", x.request, x.path, x.backend, x.service)
		if x.service != "certificados" {
			broken = append(broken, fmt.Sprintf("request %s on the route /issue/ of certificados ran at %s of %s, and its client got %d with stamp %q",
				x.request, x.backend, x.service, known[x.request].status, known[x.request].stamp))
		}
	}
	return broken
}
