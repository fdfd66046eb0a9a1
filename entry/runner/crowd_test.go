package runner_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The limits of the machine in the crowd tests, and the size of the crowds. With these, the
// process without a budget exceeds the memory.
const (
	crowdMemoryMB = 64
	crowdMaxFDs   = 1500
	crowdSize     = 400
	// emptyCrowdMaxFDs is the limit that a crowd of connections without a request reaches.
	emptyCrowdMaxFDs = 360
)

// Limits of the configuration of a fleet.
const (
	crowdBodyBytes = 262144
	// crowdFields is the number of short fields that fit into a head of legal size.
	crowdFields = 2000
)

// crowdWriteTimeout is how long a client of a crowd waits for the process to read on.
const crowdWriteTimeout = 2 * time.Second

// crowd is a number of equal clients.
type crowd struct {
	name string
	// send writes what one client sends to a path and may return early with an error.
	send func(w io.Writer, path string) error
	// size is the number of clients; zero means crowdSize.
	size int
	// maxFDs is the descriptor limit of the machine; zero means crowdMaxFDs.
	maxFDs int
	// peersOnly is set if what is sent makes sense only in the exchange between VMs.
	peersOnly bool
}

func head(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: x.example\r\n" + fields
}

// sendAll writes texts one after the other.
func sendAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendPieces writes a text n times.
func sendPieces(w io.Writer, text string, n int) error {
	for range n {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

var legalLength = fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)

var crowds = []crowd{
	{name: "bodies that stop before the end", send: func(w io.Writer, path string) error {
		return sendAll(w, head("POST", path, legalLength), strings.Repeat("x", crowdBodyBytes-1))
	}},
	{name: "bodies in small pieces", send: func(w io.Writer, path string) error {
		if err := sendAll(w, head("POST", path, legalLength)); err != nil {
			return err
		}
		return sendPieces(w, strings.Repeat("x", 512), crowdBodyBytes/512-1)
	}},
	{name: "chunks of one byte", send: func(w io.Writer, path string) error {
		if err := sendAll(w, head("POST", path, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		return sendPieces(w, strings.Repeat("1\r\nx\r\n", 1000), 60)
	}},
	{name: "bodies far over the limit", send: func(w io.Writer, path string) error {
		if err := sendAll(w, head("POST", path, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		return sendPieces(w, "8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 64)
	}},
	{name: "heads of many short fields", send: func(w io.Writer, path string) error {
		var fields strings.Builder
		for i := range crowdFields {
			fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(i), 36))
		}
		return sendAll(w, head("GET", path, fields.String()))
	}},
	{name: "heads far over the limit", send: func(w io.Writer, path string) error {
		if err := sendAll(w, head("GET", path, "A: ")); err != nil {
			return err
		}
		return sendPieces(w, strings.Repeat("x", 1000), 500)
	}},
	{name: "pipelined requests", size: 100, send: func(w io.Writer, path string) error {
		return sendPieces(w, strings.Repeat(head("GET", path, "\r\n"), 20), 20)
	}},
	{name: "bodies that stop half-way", send: func(w io.Writer, path string) error {
		return sendAll(w, head("POST", path, legalLength), strings.Repeat("x", crowdBodyBytes/2))
	}},
	{name: "slow senders", send: func(w io.Writer, path string) error {
		for _, b := range []byte(head("GET", path, "\r\n"))[:20] {
			if _, err := w.Write([]byte{b}); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}},
	{name: "long messages that stop", peersOnly: true, send: func(w io.Writer, _ string) error {
		return sendAll(w, string(binary.AppendUvarint(nil, 8<<20)), strings.Repeat("\n\x00", crowdBodyBytes/2))
	}},
	{name: "connections without a request", maxFDs: emptyCrowdMaxFDs, send: func(io.Writer, string) error { return nil }},
}

// A crowd of misbehaving clients took the process beyond the memory or the descriptors of
// its machine, which ended it. The process must stay within both, and answer an ordinary
// request while the connections of the crowd are still open.
func TestCrowds(t *testing.T) {
	fleet := newFleet(t, 1)
	vm := fleet.vms[0]
	platform, err := os.ReadFile(vm.settings)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range crowds {
		for _, place := range []struct{ name, address, path string }{
			{"callers", vm.callers, "/often/q"},
			{"readiness", vm.ready, "/-/ready"},
			{"no route", vm.callers, "/none/q"},
			{"metrics", internalAddress(t, vm, 1), "/metrics"},
			{"peers", internalAddress(t, vm, 2), "/"},
			{"delegated", internalAddress(t, vm, 3), "/often/q"},
		} {
			if c.peersOnly && place.name != "peers" {
				continue
			}
			t.Run(c.name+"/"+place.name, func(t *testing.T) {
				maxFDs := crowdMaxFDs
				if c.maxFDs > 0 {
					maxFDs = c.maxFDs
				}
				limits := fmt.Sprintf("limits.memoryMb=%d\nlimits.maxFds=%d\n", crowdMemoryMB, maxFDs)
				if err := os.WriteFile(vm.settings, append(bytes.Clone(platform), limits...), 0o600); err != nil {
					t.Fatal(err)
				}
				fleet.restart(t, 0)
				openFDs := c.run(t, vm.process.Pid, place.address, place.path)
				if openFDs > maxFDs {
					t.Errorf("%d open descriptors, want at most %d", openFDs, maxFDs)
				}
				awaitServed(t, fleet)
				peak := peakMemoryKB(t, vm.process.Pid)
				t.Logf("peak resident memory %d MB, %d open descriptors", peak>>10, openFDs)
				if peak > crowdMemoryMB<<10 {
					t.Errorf("peak resident memory %d MB, want at most %d MB", peak>>10, crowdMemoryMB)
				}
			})
		}
	}
}

// run lets each client send once, and returns the descriptors that the process then has
// open. The connections stay open until the end of the test.
func (c crowd) run(t *testing.T, pid int, address, path string) int {
	t.Helper()
	size := crowdSize
	if c.size > 0 {
		size = c.size
	}
	var sending sync.WaitGroup
	for range size {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		sending.Go(func() {
			// The process may refuse a client or close its connection.
			_ = c.send(progressWriter{conn}, path)
		})
	}
	sending.Wait()
	// The process may still be accepting connections.
	open := 0
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		open = max(open, len(entries))
	}
	return open
}

// internalAddress returns the address of a VM with an offset from its first internal port,
// which follows that of readiness checks.
func internalAddress(t *testing.T, v *vm, offset int) string {
	t.Helper()
	ready, err := netip.ParseAddrPort(v.ready)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(ready.Addr(), ready.Port()+1+uint16(offset)).String()
}

// progressWriter fails if the other end reads nothing for crowdWriteTimeout.
type progressWriter struct{ net.Conn }

func (w progressWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	return w.Conn.Write(p)
}

// awaitServed sends ordinary requests until one is served.
func awaitServed(t *testing.T, fx *fleet) {
	t.Helper()
	status := 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status = fx.trySend(t.Context(), 0, http.MethodGet, "/often/q", "ordinary"); status == http.StatusOK {
			return
		}
	}
	t.Errorf("no ordinary request was served, last status %d", status)
}

// peakMemoryKB returns the largest resident memory of a process since its start.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb
}
