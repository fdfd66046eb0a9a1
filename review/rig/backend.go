package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// run is one run of a request at a back end.
type run struct {
	request, path, service, backend string
	began, ended                    time.Time
}

// runs collects the runs of all back ends.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) begin(x run) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, &x)
	return &x
}

func (r *runs) end(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ended = time.Now()
}

// all returns copies of the runs.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]run, len(r.list))
	for i, x := range r.list {
		list[i] = *x
	}
	return list
}

// backend is a back end of the users' platform. It speaks HTTP/1.1 on connections of its own,
// so that a case can repeat an answer.
type backend struct {
	id, service, zone string
	listener          net.Listener
	born              time.Time
	store             *store
	runs              *runs
	record            *record

	slots, queue int
	// work returns how long a request runs.
	work func(path string) time.Duration
	// repeatsHealth makes the back end send a second copy of each answer to a health check,
	// where the answer to the next request on the connection is expected.
	repeatsHealth func() bool

	mu       sync.Mutex
	present  int
	running  chan struct{}
	sequence int
}

func newBackend(id, service, zone string, s *store, r *runs, log *record, slots, queue int, work func(string) time.Duration) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("back end %s: %v", id, err)
	}
	b := &backend{
		id: id, service: service, zone: zone, listener: listener, born: time.Now(), store: s, runs: r, record: log,
		slots: slots, queue: queue, work: work, running: make(chan struct{}, slots), repeatsHealth: func() bool { return false },
	}
	go b.accept()
	go func() {
		for {
			b.beat()
			time.Sleep(heartbeat)
		}
	}()
	return b
}

func (b *backend) address() string { return b.listener.Addr().String() }

// beat writes the entry of the back end. The store's entry changes only if more than sequence
// does.
func (b *backend) beat() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{
		"service": b.service, "address": b.address(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": b.sequence, "born": b.born.UnixMilli(),
	}
	b.mu.Unlock()
	known, ok := b.store.get("servers/" + b.id)
	var old map[string]any
	if ok && json.Unmarshal(known, &old) == nil {
		old["sequence"] = entry["sequence"]
		if sameJSON(old, entry) {
			return
		}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	b.store.put("servers/"+b.id, value)
}

func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// enter reports whether there is room for a request, running or queued.
func (b *backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.present >= b.slots+b.queue {
		return false
	}
	b.present++
	return true
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.present--
}

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived := time.Now()
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != "" {
			b.record.add("back end %s sends the late copy of its answer to a health check, as request %s arrives", b.id, request.Header.Get("Request-Id"))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		text := b.handle(request, arrived)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if request.URL.Path == healthPath {
			b.record.add("back end %s answers a health check: %s", b.id, strings.SplitN(text, "\r\n", 2)[0])
			if b.repeatsHealth() {
				late = text
			}
		}
	}
}

const healthPath = "/health"

// handle runs a request and returns the bytes of its answer.
func (b *backend) handle(request *http.Request, arrived time.Time) string {
	id, health := request.Header.Get("Request-Id"), request.URL.Path == healthPath
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		return response(http.StatusMisdirectedRequest, id, "", "Instance-Id: "+b.id+"\r\n")
	}
	if id == "" && !health {
		return response(http.StatusBadRequest, "", "", "Not-Executed: 1\r\n")
	}
	if !b.enter() {
		return response(http.StatusServiceUnavailable, id, "", "Not-Executed: 1\r\n")
	}
	defer b.leave()
	deadline := arrived.Add(time.Minute)
	if left, err := strconv.ParseFloat(request.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = arrived.Add(time.Duration(left * float64(time.Millisecond)))
	}
	select {
	case b.running <- struct{}{}:
		defer func() { <-b.running }()
	case <-time.After(time.Until(deadline)):
		return response(http.StatusServiceUnavailable, id, "", "Not-Executed: 1\r\n")
	}
	if health {
		return response(http.StatusOK, "", "", "Instance-Id: "+b.id+"\r\n")
	}
	x := b.runs.begin(run{request: id, path: request.URL.Path, service: b.service, backend: b.id, began: time.Now()})
	defer b.runs.end(x)
	work := b.work(request.URL.Path)
	if left := time.Until(deadline); work > left {
		time.Sleep(left)
		return response(http.StatusGatewayTimeout, id, "", "Server-Stamp: "+b.stamp(id)+"\r\n")
	}
	time.Sleep(work)
	return response(http.StatusOK, id, b.service+" did "+id+"\n", "Server-Stamp: "+b.stamp(id)+"\r\n")
}

// stamp returns the signature of an answer. It tells the service and the request.
func (b *backend) stamp(request string) string { return b.service + "." + b.id + "." + request }

func response(status int, id, body, headers string) string {
	if id != "" {
		headers = "Request-Id: " + id + "\r\n" + headers
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}
