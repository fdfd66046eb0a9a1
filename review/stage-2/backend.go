package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one run of a request at a backend.
type Run struct {
	Backend, Service, Request, Path string
	At                              time.Time
}

// Exchange is one request at a backend, before it is answered.
type Exchange struct {
	Backend *Backend
	Request *http.Request
	ID      string
	Body    []byte
	Conn    net.Conn
	// Number is the position of the request on its connection, 0 for the first.
	Number int
}

// Backend is a stand-in for a backend: it reads one request after the other from each
// connection, checks Expect-Instance, runs the request and echoes its Request-Id.
type Backend struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Answer writes the answer to a request that has run. If it is nil, a signed 200 with
	// the ID of the backend as the body is written.
	Answer func(x Exchange) error
	// Before is called before a request is handled, if it is set.
	Before func(x Exchange) error
	// Headers are added to each answer.
	Headers func() string

	listener net.Listener
	born     int64
	stage    *Stage

	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int
	state    string
}

// StartBackend starts a backend on a free loopback port and registers it.
func (s *Stage) StartBackend(b *Backend) *Backend {
	b.stage, b.born, b.conns, b.state = s, time.Now().UnixMilli(), make(map[net.Conn]bool), "ready"
	if b.Slots == 0 {
		b.Slots = 4
	}
	b.listen("127.0.0.1:0")
	b.Register()
	s.atEnd(b.Close)
	return b
}

func (b *Backend) listen(address string) {
	listener, err := net.Listen("tcp", address)
	b.stage.must(err)
	b.listener = listener
	go b.accept(listener)
}

// Address returns the address of the backend.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetState changes the state in the registration and writes it.
func (b *Backend) SetState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.Register()
}

// Registration returns the entry of the backend in the store.
func (b *Backend) Registration() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	data, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address(), "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": b.state, "coldRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	})
	b.stage.must(err)
	return data
}

// Register writes the entry of the backend into the store.
func (b *Backend) Register() { b.stage.Store.Put("servers/"+b.ID, b.Registration()) }

// Close ends the backend and resets its connections.
func (b *Backend) Close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *Backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := Exchange{Backend: b, Request: request, ID: request.Header.Get("Request-Id"), Body: body, Conn: conn, Number: n}
		if b.handle(x) != nil {
			return
		}
	}
}

func (b *Backend) handle(x Exchange) error {
	if x.Request.URL.Path == "/health" {
		_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", b.ID, b.headers())
		return err
	}
	if x.Request.Header.Get("Expect-Instance") != b.ID {
		_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.ID)
		return err
	}
	if b.Before != nil {
		if err := b.Before(x); err != nil {
			return err
		}
	}
	b.stage.recordRun(b, x)
	time.Sleep(b.Work)
	if b.Answer != nil {
		return b.Answer(x)
	}
	return b.WriteSuccess(x)
}

func (b *Backend) headers() string {
	if b.Headers == nil {
		return ""
	}
	return b.Headers()
}

// Stamp returns the signature of the backend's answer to a request.
func (b *Backend) Stamp(id string) string { return b.ID + "." + id }

// WriteSuccess writes the complete answer of a request that has run.
func (b *Backend) WriteSuccess(x Exchange) error {
	body := "run of " + x.ID + " at " + b.ID
	_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		x.ID, b.Stamp(x.ID), b.headers(), len(body), body)
	return err
}
