package failuretests_test

import (
	"sync"
	"time"
)

const (
	machinePeriod = 50 * time.Millisecond
	// stallLimit is the time of a call that needs no work, above which the
	// machine is too busy to judge latencies.
	stallLimit = 100 * time.Millisecond
)

// machine notes when the machine, which has other work, stalls. It calls a
// process that runs none of the product's code.
type machine struct {
	mu     sync.Mutex
	stalls []stall
}

type stall struct{ start, end time.Time }

func watchMachine(d *deployment) *machine {
	m := &machine{}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			start := time.Now()
			select {
			case <-stop:
				return
			case <-time.After(machinePeriod):
			}
			_ = d.get(d.Controls[len(d.Controls)-1], "/control/targets", nil)
			if end := time.Now(); end.Sub(start) > machinePeriod+stallLimit {
				m.mu.Lock()
				m.stalls = append(m.stalls, stall{start, end})
				m.mu.Unlock()
			}
		}
	})
	d.t.Cleanup(func() {
		close(stop)
		watch.Wait()
	})
	return m
}

// stalled reports whether the machine stalled between two times.
func (m *machine) stalled(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.start.Before(to) && from.Before(s.end) {
			return true
		}
	}
	return false
}
