package responder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/responder"
)

// panicking is a directory that panics for one service.
type panicking struct {
	responder.Directory
	service string
}

func (p panicking) Targets(service string) []registrar.Record {
	if service == p.service {
		panic("unexpected service")
	}
	return p.Directory.Targets(service)
}

// A panic in one request must be answered without the claim that the request has not
// run, counted, and harm no other request.
func TestPanicInOneRequest(t *testing.T) {
	fx := newFixture(t, 4)
	fx.Directory = panicking{fx.directory, "shard-2"}
	check(t, "status", fx.do(http.MethodGet, "/all/q", "r1", "").Code, http.StatusBadGateway)
	check(t, "panics", fx.scope.Snapshot().Counters()["requests_panicked+"].Value(), int64(1))
	check(t, "other request", fx.do(http.MethodGet, "/often/q", "r2", "").Code, http.StatusOK)
}

// dialResponder serves the fixture over HTTP and returns a connection to it.
func dialResponder(t *testing.T, fx *fixture) net.Conn {
	t.Helper()
	server := httptest.NewServer(fx)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// A caller that stops sending in the middle of a body must be answered at its deadline,
// with a status that says that the request has not run, and lose its connection. It
// held both for as long as it liked.
func TestCallerStopsInBody(t *testing.T) {
	fx := newFixture(t, 0)
	conn := dialResponder(t, fx)
	fmt.Fprint(conn, "POST /once/q HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r1\r\nDeadline-Ms: 300\r\nContent-Length: 100\r\n\r\nhalf")
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	check(t, "status", response.StatusCode, http.StatusRequestTimeout)
	if _, err := io.Copy(io.Discard, reader); err != nil {
		t.Errorf("connection is still open: %v", err)
	}
	check(t, "runs", fx.runs("plain", "r1"), 0)
}

// A body that arrives slowly but in time is whole, and the connection stays open for
// longer than the deadline of that request.
func TestSlowBodyInTime(t *testing.T) {
	fx := newFixtureWithObjective(t, 0, 900*time.Millisecond)
	conn := dialResponder(t, fx)
	reader := bufio.NewReader(conn)
	for _, id := range []string{"r1", "r2"} {
		fmt.Fprintf(conn, "POST /once/q HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\nDeadline-Ms: 900\r\nContent-Length: 8\r\n\r\nhalf", id)
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(conn, "half")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		check(t, "status", response.StatusCode, http.StatusOK)
		check(t, "runs", fx.runs("plain", id), 1)
		time.Sleep(time.Second)
	}
}
