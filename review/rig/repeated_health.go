package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case. Each period begins with one cut.
const (
	cuts   = 9
	period = 8 * time.Second
	// minCut and maxCut bound the length of a cut.
	minCut = 2 * time.Second
	maxCut = 3500 * time.Millisecond
	// burstLead is how long before the end of a cut the requests of the burst are sent, and
	// longRun how long they run. After that the back ends have room.
	burstLead = 400 * time.Millisecond
	longRun   = 800 * time.Millisecond
	// The clients of the machine that is cut off pause from quietAt, counted from the start of
	// a cut, until resumeDelay after its end.
	quietAt     = 1200 * time.Millisecond
	resumeDelay = 600 * time.Millisecond
	// maxPause is the longest time between two of their requests otherwise.
	maxPause = 200 * time.Millisecond
)

// repeatedHealth cuts one machine off from all back ends for some seconds, several times, while
// the others fill the back ends. Three of the five back ends are faulty: they send a second
// copy of their answer to a health check, late, where the next answer is expected.
func repeatedHealth(d *deployment, trouble bool) []string {
	work := func(path string) time.Duration {
		if path == "/issue/long" {
			return longRun
		}
		return 15 * time.Millisecond
	}
	for i, zone := range []string{"rosario", "rosario", "santa-fe", "santa-fe", "santa-fe"} {
		b := d.addBackend(fmt.Sprintf("i-cert-%d", i+1), "certificados", zone, 8, 2, work)
		if i >= 2 {
			b.repeatsHealth = func() bool { return trouble }
		}
	}
	d.configure(7, []string{"certificados"}, route("/issue/", "non_idempotent", "certificados", 2500*time.Millisecond, 250*time.Millisecond))
	d.start([]string{"parana", "rosario", "santa-fe"}, true)

	var sent attempts
	var clients sync.WaitGroup
	send := func(m *machine, path string) {
		clients.Go(func() {
			c := &client{attempts: &sent, machine: m, deadline: 2500 * time.Millisecond}
			defer c.close()
			c.send("POST", path)
		})
	}
	// sendUntil sends requests to the machine that is cut off until a time.
	n := 0
	sendUntil := func(end time.Time) {
		for ; time.Now().Before(end); n++ {
			send(d.machines[0], fmt.Sprintf("/issue/%d", n))
			time.Sleep(rand.N(maxPause))
		}
	}
	sendUntil(time.Now().Add(4 * time.Second))
	for range cuts {
		began := time.Now()
		heals := began.Add(minCut + rand.N(maxCut-minCut))
		if trouble {
			d.record.add("%s is cut off from all back ends", d.machines[0].name)
			for _, p := range d.paths[0] {
				p.begin()
			}
		}
		sendUntil(began.Add(quietAt))
		time.Sleep(time.Until(heals.Add(-burstLead)))
		// Requests at the other machines fill the back ends for a moment.
		for n := range 90 {
			send(d.machines[1+n%2], "/issue/long")
		}
		time.Sleep(time.Until(heals))
		if trouble {
			for _, p := range d.paths[0] {
				p.end()
			}
			d.record.add("the cut is over")
		}
		time.Sleep(time.Until(heals.Add(resumeDelay)))
		for n := range 20 {
			send(d.machines[0], fmt.Sprintf("/issue/first-%d", n))
		}
		sendUntil(began.Add(period))
	}
	clients.Wait()
	return runTwiceOrRefused(d, sent.all())
}

// runTwiceOrRefused returns the requests that ran more than once, and those that ran although
// their clients were told that they had not.
func runTwiceOrRefused(d *deployment, sent []attempt) []string {
	ran := make(map[string][]run)
	for _, x := range d.runs.all() {
		ran[x.request] = append(ran[x.request], x)
		d.record.addAt(x.began, "run %s %s at %s", x.request, x.path, x.backend)
	}
	var broken []string
	for _, x := range sent {
		d.record.addAt(x.sent, "sent %s POST %s to %s: %d after %v, stamp %q", x.id, x.path, x.machine, x.status, x.ended.Sub(x.sent).Round(time.Millisecond), x.stamp)
		switch list := ran[x.id]; {
		case len(list) > 1:
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran at %s and at %s", x.id, list[0].backend, list[1].backend))
		case len(list) > 0 && (x.status == 503 || x.status == 429):
			broken = append(broken, fmt.Sprintf("REFUSED: request %s was answered %d and ran at %s", x.id, x.status, list[0].backend))
		}
	}
	return broken
}
