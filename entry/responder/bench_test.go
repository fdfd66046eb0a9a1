package responder_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/core/tracer"
	"jackdawcart.org/entry/courier"
	"jackdawcart.org/entry/delegator"
	"jackdawcart.org/entry/inspector"
	"jackdawcart.org/entry/responder"
)

// directory holds a fixed configuration and its targets.
type directory struct {
	table   *router.Table
	targets map[string][]registrar.Record
}

func (d *directory) Table() *router.Table { return d.table }

func (d *directory) Targets(service string) []registrar.Record { return d.targets[service] }

// serveParts answers every request on every connection with a signed body.
func serveParts(listener net.Listener, body string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n%s",
					len(body), request.Header.Get("Request-Id"), body)
			}
		}()
	}
}

// newShardedResponder returns a responder for a route over the given number of
// shards, each with one stand-in target.
func newShardedResponder(tb testing.TB, shards int) *responder.Responder {
	tb.Helper()
	dir := &directory{targets: make(map[string][]registrar.Record)}
	route := router.Route{
		Name: "sweep", Host: "x.example", Prefix: "/", Idempotent: true, LatencyObjective: 80 * time.Millisecond,
		Timeout: time.Second, MaxAttempts: 2, MaxRecords: 10, MinShardShare: 0.85,
	}
	var services []router.Service
	for i := range shards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { listener.Close() })
		go serveParts(listener, "0123456789abcdef0123456789abcdef")
		name := fmt.Sprintf("shard-%d", i)
		services = append(services, router.Service{Name: name, MaxConnections: 64})
		route.Shards = append(route.Shards, name)
		dir.targets[name] = []registrar.Record{{Target: registrar.Target{
			ID: "i-" + name, Service: name, Slots: 4, Domain: "a", Address: netip.MustParseAddrPort(listener.Addr().String()),
		}}}
	}
	dir.table = router.NewTable(1, router.Limits{}, []router.Route{route}, services)
	dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address.String())
	}
	pools := courier.New(dial, courier.Hooks{})
	tb.Cleanup(pools.Close)
	return responder.New(responder.DefaultConfig(), responder.Dependencies{
		Domain: "a", Directory: dir, Pools: pools, Timers: timer.NewService(), Spans: tracer.Disabled(),
		Placer:    placer.New(placer.DefaultConfig(), "vm-1", "a", rand.New(rand.NewPCG(1, 2))),
		Inspector: inspector.New(dial, timer.NewService(), tally.NoopScope, zap.NewNop()),
		Detector:  diverter.NewDetector(),
		Delegator: delegator.New(registrar.Member{Name: "vm-1", Domain: "a"}, dial, timer.NewService()),
		OnVacated: func(string) {},
	}, tally.NoopScope, zap.NewNop())
}

func newRequest(id string) *http.Request {
	request := httptest.NewRequest(http.MethodGet, "http://x.example/a/b", nil)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "800")
	return request
}

// On a small VM the CPU time of a query adds to its latency: 54 shards at 50 µs each
// take 14 ms on a fifth of a core.
func BenchmarkQueryOver54Shards(b *testing.B) {
	r := newShardedResponder(b, 54)
	b.ReportAllocs()
	for i := range b.N {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, newRequest(fmt.Sprint(i)))
		if w.Code != http.StatusOK {
			b.Fatalf("status %d", w.Code)
		}
	}
}
