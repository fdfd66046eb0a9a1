package failuretests_test

import (
	"sync"
	"time"
)

const (
	hostProbeInterval = 50 * time.Millisecond
	// stallThreshold is the duration of a trivial call above which the host is
	// too loaded for latencies to be meaningful.
	stallThreshold = 100 * time.Millisecond
)

// hostMonitor records when the shared host stalls. It probes a process that runs
// none of the tested code.
type hostMonitor struct {
	mu     sync.Mutex
	stalls []stall
}

type stall struct{ start, end time.Time }

func startHostMonitor(d *deployment) *hostMonitor {
	m := &hostMonitor{}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			start := time.Now()
			select {
			case <-stop:
				return
			case <-time.After(hostProbeInterval):
			}
			_ = d.get(d.ControlAddresses[len(d.ControlAddresses)-1], "/control/targets", nil)
			if end := time.Now(); end.Sub(start) > hostProbeInterval+stallThreshold {
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

// stalled reports whether the host stalled at some time between from and to.
func (m *hostMonitor) stalled(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.start.Before(to) && from.Before(s.end) {
			return true
		}
	}
	return false
}
