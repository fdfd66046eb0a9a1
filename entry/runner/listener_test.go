package runner_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/runner"
)

// newServer serves a handler with an idle timeout.
func newServer(t *testing.T, idle time.Duration, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	listener := runner.NewLimitedListener(func() router.Limits { return router.Limits{IdleTimeout: idle} })
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = listener.OnState
	server.Listener = listener.Wrap(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// The idle timeout must not cancel a request that runs longer, as if its caller had
// disconnected.
func TestLongRequestOutlivesTheIdleTimeout(t *testing.T) {
	left := make(chan bool, 1)
	server := newServer(t, 100*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			left <- true
		case <-time.After(400 * time.Millisecond):
			left <- false
		}
	})
	for range 2 {
		response, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if <-left {
			t.Fatal("request was cancelled by the idle timeout")
		}
	}
}

// An idle connection must be closed after the idle timeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	server := newServer(t, 100*time.Millisecond, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read error %v, want EOF of a closed connection", err)
	}
}
