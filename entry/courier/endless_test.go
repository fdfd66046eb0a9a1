package courier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/entry/courier"
)

// endless returns a target that sends the prefix and then repeats a text until its
// connection is closed. It counts the bytes that it could send.
func endless(t *testing.T, prefix, repeated string, sent *atomic.Int64) *target {
	t.Helper()
	text := []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))
	return newTarget(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, prefix)
		for err == nil {
			var n int
			n, err = c.Write(text)
			sent.Add(int64(n))
		}
	})
}

// peakHeap returns a function that stops sampling and returns how far the heap has
// grown at most.
func peakHeap() func() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	base, peak := stats.HeapAlloc, stats.HeapAlloc
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-done
		return int64(peak) - int64(base)
	}
}

// Targets that send bytes without end, four at once, must not use up the memory of
// the process, which has 184 MB on the smallest VMs. A head without end took more
// than 1 GB before the deadline of the request ended it.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		targets       = 4
		deadline      = 4 * time.Second
		maxHeapGrowth = 16 << 20
	)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
	cases := []struct {
		name, prefix, repeated string
		want                   placer.Result
	}{
		{"no HTTP", "", "x", placer.Failed},
		{"status line", "HTTP/1.1 200 ", "x", placer.Failed},
		{"header line", head + "X: ", "x", placer.Failed},
		{"headers", head, "X: y\r\n", placer.Failed},
		{"empty headers", head, ":\r\n", placer.Failed},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", placer.Failed},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nx", placer.Failed},
		{"body until the end", head + "\r\n", "x", placer.Failed},
		{"body of a large length", head + "Content-Length: 8000000000\r\n\r\n", "x", placer.Failed},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", placer.Failed},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", placer.Failed},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", placer.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			var pools []*courier.Pool
			all := courier.New(dial, courier.Hooks{})
			t.Cleanup(all.Close)
			for i := range targets {
				pools = append(pools, all.Pool(fmt.Sprint(i), endless(t, c.prefix, c.repeated, &sent).address, courier.Options{MaxOpen: 1}))
			}
			peak := peakHeap()
			began := time.Now()
			var running sync.WaitGroup
			for _, p := range pools {
				running.Go(func() {
					request := newRequest("a", deadline)
					request.MaxBodyBytes = 8 << 20
					replies := make(chan courier.Reply, 1)
					p.Send(time.Now(), request, func(r courier.Reply) { replies <- r })
					if reply := <-replies; reply.Result != c.want {
						t.Errorf("result %v (%v), want %v", reply.Result, reply.Err, c.want)
					}
				})
			}
			running.Wait()
			took, grown := time.Since(began), peak()
			if took > deadline/2 {
				t.Errorf("exchanges took %v, want at most half of the deadline of %v", took, deadline)
			}
			if grown > maxHeapGrowth {
				t.Errorf("heap grew by %d MB, want at most %d MB", grown>>20, maxHeapGrowth>>20)
			}
			waitUntilCut(t, &sent)
		})
	}
}

// waitUntilCut waits until no target can send any more, which means that their
// connections are closed.
func waitUntilCut(t *testing.T, sent *atomic.Int64) {
	t.Helper()
	for range 20 {
		before := sent.Load()
		time.Sleep(50 * time.Millisecond)
		if sent.Load() == before {
			return
		}
	}
	t.Error("targets can still send, want their connections closed")
}

// A long body must be complete, whichever way its end is marked, and one that broke
// off must not count as an answer, wherever it broke off.
func TestLongBodies(t *testing.T) {
	const length = 300_000
	body := strings.Repeat("0123456789", length/10)
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
	cases := []struct {
		name, text string
		want       placer.Result
	}{
		{"length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + body, placer.Answered},
		{"until the end", head + "\r\n" + body, placer.Answered},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "0\r\n\r\n", placer.Answered},
		{"length, one byte short", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + body[1:], placer.Failed},
		{"length, ends with a chunk of memory", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + body[:4<<16], placer.Failed},
		{"chunked without an end", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body), placer.Failed},
		{"chunked, cut in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body)[:4<<16], placer.Failed},
		{"chunked, cut in the end mark", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "0\r\n", placer.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tgt := newTarget(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(conn, c.text)
				}
			})
			reply := send(t, pool(t, tgt.address, 1), newRequest("a", 5*time.Second))
			check(t, "result", reply.Result, c.want)
			if c.want == placer.Answered {
				check(t, "body", string(reply.Body), body)
			}
		})
	}
}
