package main

import (
	"fmt"
	"sync"
	"time"
)

// One storm of configurations: a change each stormGap for stormLength.
const (
	stormGap    = 330 * time.Millisecond
	stormLength = 4 * time.Second
	// configApply is configApplyMs of the settings.
	configApply = 3 * time.Second
)

// largeRoutes is the number of routes of a large configuration: ten times the 350 routes of the
// site's big_config. With them, a value stays just below valueBytes.
const largeRoutes = 10 * 350

// manyRoutes returns routes that no client uses. 350 of them have about 100 KB.
func manyRoutes(n int) []map[string]any {
	list := make([]map[string]any, n)
	for i := range list {
		list[i] = route(fmt.Sprintf("/registro-de-instalaciones/%05d/consulta-de-pararrayos/", i), "idempotent", "municipios", 2500*time.Millisecond, 250*time.Millisecond)
		list[i]["host"] = "institucion-educativa.example"
	}
	return list
}

// configStorm writes many versions of a large configuration in quick succession. The last one
// moves a route from certificados to municipios.
func configStorm(d *deployment, trouble bool) []string {
	work := func(string) time.Duration { return 20 * time.Millisecond }
	zones := []string{"rosario", "santa-fe", "parana"}
	for i, zone := range zones {
		d.addBackend(fmt.Sprintf("i-cert-%d", i+1), "certificados", zone, 4, 16, work)
		d.addBackend(fmt.Sprintf("i-muni-%d", i+1), "municipios", zone, 4, 16, work)
	}
	many := manyRoutes(largeRoutes)
	version := 10
	configure := func(service string) {
		version += 3
		d.configure(version, []string{"certificados", "municipios"},
			append([]map[string]any{route("/issue/", "non_idempotent", service, 2500*time.Millisecond, 250*time.Millisecond)}, many...)...)
	}
	configure("certificados")
	d.start(zones)

	var sent attempts
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		clients.Go(func() {
			c := &client{attempts: &sent, machine: d.machines[i%len(d.machines)], deadline: 2500 * time.Millisecond}
			defer c.close()
			for {
				c.send("POST", fmt.Sprintf("/issue/%d", i))
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for range int(stormLength/stormGap) - 1 {
			configure("certificados")
			time.Sleep(stormGap)
		}
	}
	configure("municipios")
	acknowledged := time.Now()
	time.Sleep(25 * time.Second)
	close(stop)
	clients.Wait()

	ran := make(map[string]run)
	for _, x := range d.runs.all() {
		ran[x.request] = x
		d.record.addAt(x.began, "run %s at %s of %s", x.request, x.backend, x.service)
	}
	var broken []string
	for _, x := range sent.all() {
		d.record.addAt(x.sent, "sent %s POST %s to %s: %d after %v, stamp %q", x.id, x.path, x.machine, x.status, x.ended.Sub(x.sent).Round(time.Millisecond), x.stamp)
		if after := x.sent.Sub(acknowledged); after > configApply && ran[x.id].service == "certificados" {
			broken = append(broken, fmt.Sprintf("request %s, sent to %s %v after the acknowledgement of version %d, which moves its route to municipios, ran at %s of certificados",
				x.id, x.machine, after.Round(time.Millisecond), version, ran[x.id].backend))
		}
	}
	return broken
}
