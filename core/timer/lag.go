package timer

import (
	"sync"
	"time"
)

// Lag estimates how late the process acts on what is due, because its core is
// busy or slow. It is safe for concurrent use.
type Lag struct {
	mu        sync.Mutex
	mean      time.Duration
	deviation time.Duration
}

// Weights of a sample: about ten samples count, so that the estimate follows a
// swing of load within a second.
const (
	lagWeight = 0.1
	// lagDeviations is how far above the mean the estimate lies.
	lagDeviations = 2
)

// Observe takes how late something was done.
func (l *Lag) Observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = max(late, 0)
	l.deviation += time.Duration(lagWeight * float64((late-l.mean).Abs()-l.deviation))
	l.mean += time.Duration(lagWeight * float64(late-l.mean))
}

// Estimate returns a lag that is rarely exceeded.
func (l *Lag) Estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean + lagDeviations*l.deviation
}
