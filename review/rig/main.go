// Command rig plays the cases of the review: a small deployment of jackdawcart-entry on
// loopback addresses, with stand-ins for the store, the back ends and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// A process that is started with a parent death signal gets it when the thread that has
// started it ends, so the main goroutine keeps its thread.
func init() { runtime.LockOSThread() }

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) []string{
	"foreign-entry":   foreignEntry,
	"repeated-health": repeatedHealth,
	"shorter-grace":   shorterGrace,
	"many-versions":   manyVersions,
	"config-storm":    configStorm,
	"mixed-builds":    mixedBuilds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig CASE RECORD")
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	record := newRecord(os.Args[2])
	record.add("case %s, disruption: %t", os.Args[1], trouble)
	d := newDeployment(record)
	broken := cases[os.Args[1]](d, trouble)
	d.stop()
	for _, text := range broken {
		record.add("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	record.add("the rule held")
	fmt.Println("the rule held")
}

// started holds the processes that have been started.
var started struct {
	mu   sync.Mutex
	list []*os.Process
}

// cannotRun ends all processes and the rig.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "rig: "+format+"\n", args...)
	started.mu.Lock()
	for _, p := range started.list {
		_ = p.Kill()
	}
	os.Exit(2)
}

// valueBytes is platform.valueBytes of the settings.
const valueBytes = 1048576

// route describes a route to one service.
func route(prefix, kind, service string, timeout, aim time.Duration) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": "x.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": aim.Milliseconds(), "priority": 1, "maxAttempts": 2, "service": service,
	}
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, services []string, routes ...map[string]any) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": healthPath, "maxConnections": 110})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "services": list, "routes": routes,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	if len(value) > valueBytes {
		cannotRun("a configuration of %d bytes is more than the store takes", len(value))
	}
	d.store.put("op/config", value)
	d.record.add("the operator writes version %d of the configuration, %d bytes", version, len(value))
}
