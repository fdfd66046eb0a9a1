package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Seconds of graceS before and after the settings change.
const (
	formerGraceS = 6
	newGraceS    = 4
)

// shorterGrace changes graceS in the settings file of a machine, tells it so by SIGHUP, and
// stops it some seconds later as the platform does: SIGTERM, and SIGKILL after graceS.
func shorterGrace(d *deployment, trouble bool) []string {
	work := func(string) time.Duration { return 250*time.Millisecond + rand.N(250*time.Millisecond) }
	zones := []string{"rosario", "santa-fe"}
	for i := range 5 {
		d.addBackend(fmt.Sprintf("i-cert-%d", i+1), "certificados", zones[i%len(zones)], 16, 16, work)
	}
	d.configure(7, []string{"certificados"}, route("/issue/", "non_idempotent", "certificados", 2500*time.Millisecond, time.Second))
	d.start(slices.Repeat(zones, 2))
	stopped := d.machines[0]

	// Clients keep their connections, and reuse those that were idle for a few seconds. A
	// client whose connection is closed goes to the other machine.
	var sent attempts
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 120 {
		clients.Go(func() {
			c := &client{attempts: &sent, machine: stopped, deadline: 2500 * time.Millisecond}
			defer func() { c.close() }()
			time.Sleep(rand.N(4 * time.Second))
			for {
				c.send("POST", fmt.Sprintf("/issue/%d", i))
				if c.conn == nil {
					c.machine = d.machines[1]
				}
				select {
				case <-stop:
					return
				case <-time.After(2*time.Second + rand.N(4*time.Second)):
				}
			}
		})
	}
	time.Sleep(9 * time.Second)
	graceS := formerGraceS
	if trouble {
		graceS = newGraceS
		stopped.graceS = newGraceS
		stopped.writeSettings()
		stopped.signal(syscall.SIGHUP)
		d.record.add("the settings file of %s now has graceS=%d; SIGHUP", stopped.name, newGraceS)
	}
	time.Sleep(6 * time.Second)
	term := time.Now()
	stopped.signal(syscall.SIGTERM)
	d.record.add("SIGTERM to %s", stopped.name)
	kill := term.Add(time.Duration(graceS) * time.Second)
	select {
	case <-stopped.ended:
		d.record.add("%s has ended by itself", stopped.name)
	case <-time.After(time.Until(kill)):
		kill = time.Now()
		stopped.signal(syscall.SIGKILL)
		<-stopped.ended
		d.record.add("SIGKILL to %s", stopped.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return lostRequests(d, sent.all(), stopped.name, term, kill)
}

// lostRequests returns the requests that were passed on to a back end and whose connection
// ended without an answer. Requests that the rule doesn't count are left out.
func lostRequests(d *deployment, sent []attempt, machine string, term, kill time.Time) []string {
	began := make(map[string]run)
	for _, x := range d.runs.all() {
		began[x.request] = x
		d.record.addAt(x.began, "run %s at %s, for %v", x.request, x.backend, x.ended.Sub(x.began).Round(time.Millisecond))
	}
	var broken []string
	for _, x := range sent {
		outcome := fmt.Sprint(x.status)
		if x.status == 0 {
			outcome = fmt.Sprintf("no answer: %v", x.err)
		}
		d.record.addAt(x.sent, "sent %s %s to %s: %s after %v", x.id, x.path, x.machine, outcome, x.ended.Sub(x.sent).Round(time.Millisecond))
		ran, passedOn := began[x.id]
		if x.status != 0 || !passedOn || x.machine != machine || x.ended.Before(term) || x.ended.Sub(x.sent) >= 2500*time.Millisecond {
			continue
		}
		lastSixth := kill.Add(-kill.Sub(term) / 6)
		if x.sent.Sub(term) <= 3*time.Second && (ran.ended.IsZero() || ran.ended.After(lastSixth)) {
			d.record.add("not counted: %s, sent %v after SIGTERM, its back end was still at work in the last sixth of graceS", x.id, x.sent.Sub(term).Round(time.Millisecond))
			continue
		}
		broken = append(broken, fmt.Sprintf("request %s, sent %v after SIGTERM, was running at %s, and its connection ended without an answer %v after SIGTERM",
			x.id, x.sent.Sub(term).Round(time.Millisecond), ran.backend, x.ended.Sub(term).Round(time.Millisecond)))
	}
	return broken
}
