package runner_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"jackdawcart.org/core/router"
	"jackdawcart.org/entry/runner"
)

// newServer serves a handler with an idle timeout.
func newServer(t *testing.T, idle time.Duration, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	return newLimitedServer(t, router.Limits{IdleTimeout: idle}, handler)
}

func newLimitedServer(t *testing.T, limits router.Limits, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	listener := runner.NewLimitedListener(func() router.Limits { return limits })
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

// A caller that sends a head one byte at a time must lose its connection after the
// header timeout, also on a connection that has served a request. Each byte used to
// leave it the whole idle timeout.
func TestSlowHead(t *testing.T) {
	server := newLimitedServer(t, router.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: 300 * time.Millisecond},
		func(http.ResponseWriter, *http.Request) {})
	for _, first := range []string{"", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if first != "" {
			_, _ = io.WriteString(conn, first)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
		}
		began := time.Now()
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(conn, "G")
				time.Sleep(50 * time.Millisecond)
			}
		}()
		_ = conn.SetReadDeadline(began.Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, reader); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection is still open after %v, want it closed after 300ms", time.Since(began))
		}
	}
}

// A request that takes longer than the header timeout is not cut by it.
func TestLongRequestOutlivesTheHeaderTimeout(t *testing.T) {
	server := newLimitedServer(t, router.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: 100 * time.Millisecond},
		func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			if r.Context().Err() == nil {
				_, _ = io.WriteString(w, "done")
			}
		})
	for range 2 {
		response, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || string(body) != "done" {
			t.Fatalf("body %q, error %v", body, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
