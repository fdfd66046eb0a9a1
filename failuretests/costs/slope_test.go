package costs_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jackdawcart.org/core/messenger"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
)

// idleTime is how long an idle deployment is watched.
const idleTime = 2 * time.Second

// memory returns the heap and stacks in use after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkSession gives the memory of one session with one stream. Both ends
// are in this process, so one end takes half.
func BenchmarkSession(b *testing.B) {
	for _, sessions := range []int{10, 100} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			r := newRelay(b)
			before := memory()
			for range sessions {
				peers := messenger.NewPeers(keys, &peerpb.Hello{Node: "gateway", Protocol: messenger.ProtocolVersion})
				session, err := peers.Session(b.Context(), r.address)
				if err != nil {
					b.Fatal(err)
				}
				stream, err := session.Open()
				if err != nil {
					b.Fatal(err)
				}
				if err := stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}}); err != nil {
					b.Fatal(err)
				}
				b.Cleanup(peers.Close)
			}
			time.Sleep(idleTime)
			b.ReportMetric((memory()-before)/float64(2*sessions), "B/session-end")
		})
	}
}

// BenchmarkOwnedTarget gives the memory and the processor time of owned targets
// without requests. The targets' own share of the status calls is included.
func BenchmarkOwnedTarget(b *testing.B) {
	for _, targets := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := newRelay(b)
			served := make([]*target, targets)
			for i := range served {
				served[i] = newTarget(b, []string{"shard-00"}, 0)
			}
			before := memory()
			r.own(served)
			time.Sleep(idleTime)
			inUse := (memory() - before) / float64(targets)
			start := used(b)
			time.Sleep(idleTime)
			end := used(b)
			share := float64(end.cpu-start.cpu) / float64(idleTime) / float64(targets)
			b.ReportMetric(inUse, "B/target")
			b.ReportMetric(100*share, "%core/target")
		})
	}
}

// BenchmarkTicket gives the memory of a ticket that is kept.
func BenchmarkTicket(b *testing.B) {
	const tickets = 10_000
	ring, err := ticketer.NewKeyring([]byte("a key that only the benchmark knows"))
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	before := memory()
	table := ticketer.NewTable(now, ticketer.Config{
		Node: "gateway-1", Incarnation: 1, Lifetime: time.Hour, Retention: time.Hour, MaxTickets: tickets,
	}, ring)
	for range tickets {
		if _, err := table.Issue(now, "inspector"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((memory()-before)/tickets, "B/ticket")
	runtime.KeepAlive(table)
}
