package quoter_test

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawcart.org/core/router"
)

// An ask delays its request, and costs processor time on both VMs.
func BenchmarkAsk(b *testing.B) {
	large := &router.Workspace{Name: limitedWorkspace.Name, Rate: 1e8, Burst: 1e8}
	f := newFleet(b, 2)
	_, other := f.byRole()
	for _, v := range f.vms {
		v.SetWorkspaces([]*router.Workspace{large})
	}
	time.Sleep(4 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if !other.Take(b.Context(), large, false, time.Now().Add(time.Second)).Admitted {
			b.Fatal("refused")
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(asked(other.scope))/float64(b.N), "messages/op")
}

// asked returns the number of answered messages.
func asked(scope tally.TestScope) int64 {
	if c, ok := scope.Snapshot().Counters()["quota_messages+outcome=answered"]; ok {
		return c.Value()
	}
	return 0
}
