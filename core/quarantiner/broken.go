package quarantiner

import "time"

// Times for confirming the loss of a target whose connections broke.
const (
	// ProbeDelay lets all requests in flight at a lost target fail before it is probed, if
	// none of them waits for the probe.
	ProbeDelay = 20 * time.Millisecond
	// ProbeTimeout limits the probe of a target.
	ProbeTimeout = 250 * time.Millisecond
	// lossWindow is the time within which broken requests are attributed to one loss.
	lossWindow = 100 * time.Millisecond
)

// BrokenRequests holds the requests whose connection to a target
// broke, until the target has been probed. It is not safe for concurrent use.
type BrokenRequests struct {
	byTarget map[string]map[Run]time.Time
}

// Add records a broken request and reports whether it is the first one since the last
// Take for the target, which must then be probed.
func (b *BrokenRequests) Add(now time.Time, target string, run Run) bool {
	if b.byTarget == nil {
		b.byTarget = make(map[string]map[Run]time.Time)
	}
	_, known := b.byTarget[target]
	if !known {
		b.byTarget[target] = make(map[Run]time.Time)
	}
	b.byTarget[target][run] = now
	return !known
}

// Take removes the requests of a target and returns the recent ones.
func (b *BrokenRequests) Take(now time.Time, target string) []Run {
	var runs []Run
	for run, at := range b.byTarget[target] {
		if now.Sub(at) <= lossWindow {
			runs = append(runs, run)
		}
	}
	delete(b.byTarget, target)
	return runs
}
