package runner_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/entry/runner"
)

// newGuardedServer serves a handler on connections in the budget of a machine.
func newGuardedServer(tb testing.TB, memoryBytes int, writeTimeout time.Duration, handler http.HandlerFunc) *httptest.Server {
	tb.Helper()
	guard := runner.NewGuard(memoryBytes, 0, func() time.Duration { return writeTimeout }, tally.NoopScope, zap.NewNop())
	server := httptest.NewUnstartedServer(guard.Handler(handler))
	server.Config.ConnState, server.Config.ConnContext = guard.OnState, guard.ConnContext
	server.Listener = guard.Listen(server.Listener)
	server.Start()
	tb.Cleanup(server.Close)
	return server
}

// dialServer opens a connection to a server and sends a text.
func dialServer(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// A client that did not read its answer held the handler and the answer without a bound.
func TestUnreadAnswerEnds(t *testing.T) {
	ended := make(chan error, 1)
	server := newGuardedServer(t, 0, 100*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 32<<20))
		ended <- err
	})
	dialServer(t, server.Listener.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-ended:
		if err == nil {
			t.Fatal("the answer was written although the client does not read")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is still being written")
	}
}

// A client that reads a long answer slowly, but takes a part of it within each write timeout,
// must get it whole.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	const size, pause = 16 << 20, 10 * time.Millisecond
	server := newGuardedServer(t, 0, time.Second, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got := 0
	for buffer := make([]byte, 64<<10); err == nil; time.Sleep(pause) {
		var n int
		n, err = io.ReadFull(response.Body, buffer)
		got += n
	}
	if got != size {
		t.Fatalf("got %d bytes of %d: %v", got, size, err)
	}
}

// A body that stopped short of its end held the connection without a bound if the handler did
// not read it, and the answer was not sent.
func TestUnreadBodyIsAnswered(t *testing.T) {
	server := newGuardedServer(t, 0, time.Second, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn := dialServer(t, server.Listener.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nhalf")
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		t.Errorf("connection is still open: %v", err)
	}
}

// The fields of a next request that were read along with a former one were parsed without
// being counted. With room for one connection that does so, the first must be closed for the
// second.
func TestReadAheadIsCounted(t *testing.T) {
	const machineBytes = 1 << 20
	server := newGuardedServer(t, machineBytes, time.Second, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	text := "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 900)
	var first *bufio.Reader
	for range 2 {
		conn := dialServer(t, server.Listener.Addr().String(), text)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if first == nil {
			first = reader
		}
	}
	if _, err := first.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read error %v, want EOF of a closed connection", err)
	}
}

// Callers within the limits of the configuration must not meet the budget in calm, on the
// smallest machine: hundreds of kept connections stay open, and beside them the longest body
// with the longest head, of the shortest fields, is served, also in small chunks.
func TestCallersWithinTheLimitsAreServed(t *testing.T) {
	const kept, headBytes = 600, 16000
	fleet := newFleet(t, 1)
	vm := fleet.vms[0]
	platform, err := os.ReadFile(vm.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(vm.settings, append(bytes.Clone(platform), "limits.memoryMb=136\nlimits.maxFds=2870\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet.restart(t, 0)
	type connection struct {
		conn   net.Conn
		reader *bufio.Reader
	}
	conns := make([]connection, kept)
	for i := range conns {
		conn := dialServer(t, vm.callers, "")
		conns[i] = connection{conn, bufio.NewReader(conn)}
		if _, err := exchangeOn(conn, conns[i].reader, "GET /often/q", fmt.Sprint("first-", i)); err != nil {
			t.Fatal(err)
		}
	}
	var fields strings.Builder
	for i := 0; fields.Len() < headBytes-200; i++ {
		fmt.Fprintf(&fields, "x%d: \r\n", i)
	}
	start := "POST /once/q HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 1500\r\n" + fields.String()
	for name, text := range map[string]string{
		"whole":  start + legalLength + strings.Repeat("x", crowdBodyBytes),
		"chunks": start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n"+strings.Repeat("x", 16)+"\r\n", crowdBodyBytes/16) + "0\r\n\r\n",
	} {
		conn := dialServer(t, vm.callers, text)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", name, response.StatusCode)
		}
	}
	for i, c := range conns {
		if _, err := exchangeOn(c.conn, c.reader, "GET /often/q", fmt.Sprint("second-", i)); err != nil {
			t.Fatalf("kept connection %d: %v", i, err)
		}
	}
}

// BenchmarkKeptConnection measures the cost of a request on a kept connection, with and
// without the budget.
func BenchmarkKeptConnection(b *testing.B) {
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	plain := httptest.NewServer(http.HandlerFunc(handler))
	defer plain.Close()
	for name, server := range map[string]*httptest.Server{"plain": plain, "guarded": newGuardedServer(b, 0, time.Second, handler)} {
		b.Run(name, func(b *testing.B) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for b.Loop() {
				if _, err := exchangeOn(conn, reader, "GET /", "r"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
