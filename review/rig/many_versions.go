package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMb is limits.memoryMb of the settings.
const memoryMb = 284

// Storms of configurations, each of the usual length, one begins after the other.
const (
	storms      = 13
	stormPeriod = 7 * time.Second
)

// manyVersions writes version after version of a large configuration, in storms of the usual
// length. A process that exceeds its memory is killed, as the platform does.
func manyVersions(d *deployment, trouble bool) []string {
	work := func(string) time.Duration { return 200*time.Millisecond + rand.N(200*time.Millisecond) }
	for i, zone := range []string{"rosario", "rosario", "santa-fe", "santa-fe", "parana"} {
		d.addBackend(fmt.Sprintf("i-cert-%d", i+1), "certificados", zone, 40, 40, work)
	}
	many := manyRoutes(largeRoutes)
	version := 10
	configure := func() {
		version += 3
		d.configure(version, []string{"certificados", "municipios"},
			append([]map[string]any{route("/issue/", "non_idempotent", "certificados", 2500*time.Millisecond, time.Second)}, many...)...)
	}
	configure()
	d.start(slices.Repeat([]string{"rosario"}, 9))

	var sent attempts
	var clients sync.WaitGroup
	stop, killed := make(chan struct{}), make(chan struct{})
	var killedAt time.Time
	var killedName string
	var once sync.Once
	for _, m := range d.machines {
		clients.Go(func() {
			peak := 0
			for {
				select {
				case <-stop:
					d.record.add("%s used %d MB at most", m.name, peak)
					return
				case <-time.After(100 * time.Millisecond):
				}
				used := residentMb(m.command.Process.Pid)
				if used/20 > peak/20 {
					d.record.add("%s uses %d MB", m.name, used)
				}
				peak = max(peak, used)
				if used <= memoryMb {
					continue
				}
				once.Do(func() {
					killedAt, killedName = time.Now(), m.name
					m.signal(syscall.SIGKILL)
					d.record.add("%s uses %d MB, more than memoryMb=%d, and is killed", m.name, used, memoryMb)
					close(killed)
				})
			}
		})
	}
	for i := range 180 {
		clients.Go(func() {
			c := &client{attempts: &sent, machine: d.machines[i%len(d.machines)], deadline: 2500 * time.Millisecond}
			defer c.close()
			for {
				if x := c.send("POST", fmt.Sprintf("/issue/%d", i)); x.status == 0 {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(rand.N(300 * time.Millisecond)):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	perStorm := int(stormLength / stormGap)
	if !trouble {
		perStorm = 1
	}
	for storm, running := 0, true; running && storm < storms; storm++ {
		ends := time.Now().Add(stormPeriod)
		for range perStorm {
			if configure(); !sleepUnless(killed, stormGap) {
				break
			}
		}
		running = sleepUnless(killed, time.Until(ends))
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	ran := make(map[string]run)
	for _, x := range d.runs.all() {
		ran[x.request] = x
	}
	var lost []string
	for _, x := range sent.all() {
		r, passedOn := ran[x.id]
		if x.status != 0 {
			continue
		}
		d.record.addAt(x.sent, "sent %s to %s: no answer after %v: %v; passed on: %t", x.id, x.machine, x.ended.Sub(x.sent).Round(time.Millisecond), x.err, passedOn)
		if passedOn && x.machine == killedName && x.ended.After(killedAt.Add(-100*time.Millisecond)) {
			lost = append(lost, fmt.Sprintf("request %s was running at %s, and the connection to %s, which exceeded its memory, ended without an answer", x.id, r.backend, x.machine))
		}
	}
	d.record.add("%d versions were written; %d requests were sent", (version-10)/3, len(sent.all()))
	if len(lost) <= 3 {
		return nil
	}
	return lost
}

// sleepUnless waits, and returns false at once if the channel is closed.
func sleepUnless(closed <-chan struct{}, d time.Duration) bool {
	select {
	case <-closed:
		return false
	case <-time.After(d):
		return true
	}
}

// residentMb returns the memory of a process in use, in MB.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}
