package costs_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// usage is what the process has spent so far.
type usage struct {
	cpu      time.Duration
	switches int64
	mallocs  uint64
	bytes    uint64
}

func used(tb testing.TB) usage {
	tb.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		tb.Fatal(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		cpu:      time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		switches: r.Nvcsw,
		mallocs:  m.Mallocs,
		bytes:    m.TotalAlloc,
	}
}

// report states what was spent per request since an earlier reading.
func report(b *testing.B, before usage, requests int) {
	b.Helper()
	after := used(b)
	n := float64(requests)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((after.cpu-before.cpu).Nanoseconds())/n, "cpu-ns/sub")
	b.ReportMetric(float64(after.mallocs-before.mallocs)/n, "allocs/sub")
	b.ReportMetric(float64(after.bytes-before.bytes)/n, "B/sub")
}

// spread runs n calls on the given number of goroutines.
func spread(n, workers int, call func(worker int)) {
	var wait sync.WaitGroup
	for w := range workers {
		share := n / workers
		if w < n%workers {
			share++
		}
		wait.Go(func() {
			for range share {
				call(w)
			}
		})
	}
	wait.Wait()
}

// BenchmarkSubRequest measures what gateway and relay spend on a sub-request,
// from the call of the engine to the target's connection, with the target's
// side in the same process.
func BenchmarkSubRequest(b *testing.B) {
	for _, hits := range []int{0, 20} {
		for _, batch := range []int{1, 4, 16, 74} {
			for _, concurrent := range []int{1, 8, 64} {
				b.Run(fmt.Sprintf("batch=%d/hits=%d/concurrent=%d", batch, hits, concurrent), func(b *testing.B) {
					benchmarkSubRequest(b, batch, hits, concurrent)
				})
			}
		}
	}
}

func benchmarkSubRequest(b *testing.B, batch, hits, concurrent int) {
	d := newDeployment(b, batch, 16, hits)
	var unanswered atomic.Int64
	call := func(int) { unanswered.Add(int64(d.query(b))) }
	spread(4*concurrent, concurrent, call)
	unanswered.Store(0)
	before := used(b)
	b.ResetTimer()
	spread(b.N, concurrent, call)
	b.StopTimer()
	report(b, before, b.N*batch)
	b.ReportMetric(1000*float64(unanswered.Load())/float64(b.N*batch), "unanswered/1000")
}

// BenchmarkTargetAlone measures the target against clients that do as little
// as it does: one write and one read for each request. Half of the result is
// the target's share of BenchmarkSubRequest.
func BenchmarkTargetAlone(b *testing.B) {
	for _, hits := range []int{0, 20} {
		for _, concurrent := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("hits=%d/concurrent=%d", hits, concurrent), func(b *testing.B) {
				benchmarkTarget(b, hits, concurrent)
			})
		}
	}
}

const searchRequest = "POST /v1/search HTTP/1.1\r\nHost: 127.0.0.1:80\r\nUser-Agent: Go-http-client/1.1\r\n" +
	"Content-Length: 142\r\nContent-Type: application/json\r\nDeadline: 9.99s\r\n\r\n" +
	`{"query-id":"00000000-0000-0000-0000-000000000000","sub-id":"12.12","shard":"shard-12","snapshot":"one","text":"down-conductor","limit":20   }`

func benchmarkTarget(b *testing.B, hits, concurrent int) {
	t := newTarget(b, nil, hits)
	clients := make([]*client, concurrent)
	for i := range clients {
		clients[i] = newClient(b, t)
	}
	before := used(b)
	b.ResetTimer()
	spread(b.N, concurrent, func(w int) { clients[w].search(b) })
	b.StopTimer()
	report(b, before, b.N)
}

// client sends one fixed search after another.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newClient(tb testing.TB, t *target) *client {
	tb.Helper()
	conn, err := net.Dial("tcp", t.address.String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &client{conn: conn, reader: bufio.NewReader(conn)}
}

var request = []byte(searchRequest)

func (c *client) search(tb testing.TB) {
	if _, err := c.conn.Write(request); err != nil {
		tb.Error(err)
		return
	}
	_, length, err := readHead(c.reader)
	if err != nil {
		tb.Error(err)
		return
	}
	if _, err := io.CopyN(io.Discard, c.reader, int64(length)); err != nil {
		tb.Error(err)
	}
}
