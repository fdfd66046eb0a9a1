package quarantiner

import (
	"errors"
	"net"
	"time"
)

// Times for confirming the loss of a target whose connections broke.
const (
	// ProbeTimeout limits the probe of a target.
	ProbeTimeout = 250 * time.Millisecond
	// lossWindow is the time within which broken requests are attributed to one loss.
	lossWindow = 100 * time.Millisecond
)

// Refuses reports whether the error of a probe shows that the target refuses connections, as
// after a crash. A probe without an answer says nothing: a host without power, or behind a
// partition, is silent, and a crashed process leaves a host that refuses.
func Refuses(err error) bool {
	var network net.Error
	return err != nil && (!errors.As(err, &network) || !network.Timeout())
}

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
