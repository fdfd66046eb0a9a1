package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath = "/all/poison"
	// poisonedShard is the shard whose back ends the poison request crashes.
	poisonedShard = "agenda-0"
	backAfter     = 3 * time.Second
	// stability is stabilityWindowMs of the settings.
	stability = 4 * time.Second
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
)

// fragile is a back end of a shard that a poison request crashes.
type fragile struct {
	id, service, zone, address string
	store                      *store
	server                     *http.Server
	crashed                    func(request, backend string)
}

// start starts an incarnation of the back end at its address.
func (f *fragile) start() {
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		cannotRun("back end %s: %v", f.id, err)
	}
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(listener) }()
	value, err := json.Marshal(map[string]any{
		"service": f.service, "address": f.address, "zone": f.zone, "version": "v1", "slots": 4,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	f.store.put("servers/"+f.id, value)
}

// ServeHTTP runs a request.
func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(15 * time.Millisecond)
	if r.URL.Path == poisonPath && f.service == poisonedShard {
		f.crashed(id, f.id)
		_ = f.server.Close()
		time.AfterFunc(backAfter, f.start)
		return
	}
	w.Header().Set("Server-Stamp", f.service+"."+f.id+"."+id)
	_, _ = w.Write(bytes.Repeat([]byte(f.service[:1]), 48))
}

// mixedBuilds runs two machines of this build beside one of the build in RIG_FORMER, as in an
// upgrade, while a poison request comes again at all of them. Only what the machines of this
// build send is judged.
func mixedBuilds(d *deployment, trouble bool) []string {
	former := os.Getenv("RIG_FORMER")
	if trouble && former == "" {
		cannotRun("RIG_FORMER has to name the folder of the former build")
	}
	if trouble {
		d.dirs = map[int]string{1: former}
	}
	sentTo := make(map[string]string)
	var mu sync.Mutex
	type crash struct {
		at      time.Time
		machine string
	}
	var crashes []crash
	zones := []string{"rosario", "santa-fe", "parana"}
	var shards []string
	for s := range 4 {
		shards = append(shards, fmt.Sprintf("agenda-%d", s))
		for i, zone := range zones {
			f := &fragile{id: fmt.Sprintf("i-agenda-%d-%d", s, i+1), service: shards[s], zone: zone, address: "127.0.0.1:0", store: d.store}
			f.crashed = func(request, backend string) {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, crash{time.Now(), sentTo[request]})
				d.record.add("%s crashes %s, sent to %s", request, backend, sentTo[request])
			}
			f.start()
		}
	}
	d.configure(7, shards, map[string]any{
		"name": "r/all/", "host": "x.example", "pathPrefix": "/all/", "routeType": "idempotent", "timeoutMs": 1500,
		"targetLatencyMs": 150, "priority": 1, "maxAttempts": 2, "gather": shards, "topK": 10, "minShardRatio": 0.7,
	})
	d.start(zones)
	time.Sleep(3 * time.Second)
	var sent attempts
	var clients sync.WaitGroup
	for i := range 120 {
		m := d.machines[i%len(d.machines)]
		clients.Go(func() {
			c := &client{attempts: &sent, machine: m, deadline: 1500 * time.Millisecond}
			c.onSend = func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sentTo[id] = m.name
			}
			defer c.close()
			c.send(http.MethodGet, poisonPath)
		})
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, x := range sent.all() {
		d.record.addAt(x.sent, "sent %s GET %s to %s: %d", x.id, x.path, x.machine, x.status)
	}
	d.record.add("%d crashes", len(crashes))
	var broken []string
	for i, c := range crashes {
		if i > 2 && c.at.After(crashes[2].at.Add(stability)) && !(trouble && strings.HasSuffix(c.machine, "-2")) {
			broken = append(broken, fmt.Sprintf("%s sent the poison request to a back end %v after the third crash", c.machine, c.at.Sub(crashes[2].at).Round(time.Millisecond)))
		}
	}
	if len(broken) <= maxRetries {
		return nil
	}
	return broken
}
