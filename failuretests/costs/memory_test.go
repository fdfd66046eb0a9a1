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

// idleTime is how long an idle deployment runs before and during a measurement.
const idleTime = 2 * time.Second

// memoryInUse returns the bytes of heap and stack in use after garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkSession measures the memory of a session with one stream. Both ends
// run in this process, so each end is counted as half.
func BenchmarkSession(b *testing.B) {
	for _, sessions := range []int{10, 100} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			r := newRelay(b)
			before := memoryInUse()
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
			b.ReportMetric((memoryInUse()-before)/float64(2*sessions), "B/session-end")
		})
	}
}

// BenchmarkOwnedTarget measures the memory and the processor time that a relay
// uses for each target that it owns while there are no requests. The work of the
// targets for the status calls is included.
func BenchmarkOwnedTarget(b *testing.B) {
	for _, targets := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := newRelay(b)
			served := make([]*target, targets)
			for i := range served {
				served[i] = newTarget(b, []string{"shard-00"}, 0)
			}
			before := memoryInUse()
			r.ownTargets(served)
			time.Sleep(idleTime)
			bytesPerTarget := (memoryInUse() - before) / float64(targets)
			start := readUsage(b)
			time.Sleep(idleTime)
			end := readUsage(b)
			cpuShare := float64(end.cpu-start.cpu) / float64(idleTime) / float64(targets)
			b.ReportMetric(bytesPerTarget, "B/target")
			b.ReportMetric(100*cpuShare, "%core/target")
		})
	}
}

// BenchmarkTicket measures the memory of a retained ticket.
func BenchmarkTicket(b *testing.B) {
	const tickets = 10_000
	ring, err := ticketer.NewKeyring([]byte("a key that only the benchmark knows"))
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	before := memoryInUse()
	table := ticketer.NewTable(now, ticketer.Config{
		Node: "gateway-1", Incarnation: 1, Lifetime: time.Hour, Retention: time.Hour, MaxTickets: tickets,
	}, ring)
	for range tickets {
		if _, err := table.Issue(now, "inspector"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((memoryInUse()-before)/tickets, "B/ticket")
	runtime.KeepAlive(table)
}
