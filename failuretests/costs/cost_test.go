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

// usage holds the resources that the process has used since its start.
type usage struct {
	cpu      time.Duration
	switches int64
	mallocs  uint64
	bytes    uint64
}

func readUsage(tb testing.TB) usage {
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

// reportPerRequest reports the resources used per request since the earlier
// reading.
func reportPerRequest(b *testing.B, before usage, requests int) {
	b.Helper()
	after := readUsage(b)
	n := float64(requests)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((after.cpu-before.cpu).Nanoseconds())/n, "cpu-ns/sub")
	b.ReportMetric(float64(after.mallocs-before.mallocs)/n, "allocs/sub")
	b.ReportMetric(float64(after.bytes-before.bytes)/n, "B/sub")
}

// runConcurrently distributes n calls over the given number of goroutines.
func runConcurrently(n, workers int, call func(worker int)) {
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

// BenchmarkSubRequest measures the resources that a gateway and a relay use for
// a sub-request, from the call of the engine to the connection of the target.
// The target runs in the same process and is included.
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
	runConcurrently(4*concurrent, concurrent, call)
	unanswered.Store(0)
	before := readUsage(b)
	b.ResetTimer()
	runConcurrently(b.N, concurrent, call)
	b.StopTimer()
	reportPerRequest(b, before, b.N*batch)
	b.ReportMetric(1000*float64(unanswered.Load())/float64(b.N*batch), "unanswered/1000")
}

// BenchmarkTargetAlone measures the target with clients that do as little work
// as the target: one write and one read per request. Half of the result is the
// share of the target in BenchmarkSubRequest.
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
	before := readUsage(b)
	b.ResetTimer()
	runConcurrently(b.N, concurrent, func(w int) { clients[w].search(b) })
	b.StopTimer()
	reportPerRequest(b, before, b.N)
}

// client repeats a fixed search on one connection.
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

var searchRequestBytes = []byte(searchRequest)

func (c *client) search(tb testing.TB) {
	if _, err := c.conn.Write(searchRequestBytes); err != nil {
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
