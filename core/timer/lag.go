package timer

import (
	"sync"
	"time"
)

// Lag estimates how late the process handles due timers because its processor
// core is busy or slow. It is safe for concurrent use.
type Lag struct {
	mu        sync.Mutex
	mean      time.Duration
	deviation time.Duration
}

const (
	// lagSampleWeight is the weight of a new sample in the moving averages. About
	// ten samples count, so that the estimate follows a change of load within a
	// second.
	lagSampleWeight = 0.1
	// lagDeviations is how many mean deviations above the mean the estimate is.
	lagDeviations = 2
)

// Observe records how late a timer was handled. Negative values count as zero.
func (l *Lag) Observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = max(late, 0)
	l.deviation += time.Duration(lagSampleWeight * float64((late-l.mean).Abs()-l.deviation))
	l.mean += time.Duration(lagSampleWeight * float64(late-l.mean))
}

// Estimate returns an upper estimate of the lag that is rarely exceeded.
func (l *Lag) Estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean + lagDeviations*l.deviation
}
