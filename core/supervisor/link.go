// Package supervisor tracks whether a dependency is reachable.
package supervisor

import (
	"context"
	"sync"
	"time"
)

// Link is the reachability of one dependency. It is safe for concurrent use.
type Link struct {
	// longOutage is the length from which an outage counts as long: leases that
	// other processes hold in the dependency may have expired during it.
	longOutage time.Duration

	mu     sync.Mutex
	up     bool
	lastOK time.Time
	// recoveredAt is when the last outage ended, or when the dependency turned out to
	// have lost data. lastOutageLong is set if leases and data may be missing since.
	recoveredAt    time.Time
	lastOutageLong bool
	changed        chan struct{}
}

// NewLink returns a link that is up since now. An outage of at least longOutage
// counts as long.
func NewLink(now time.Time, longOutage time.Duration) *Link {
	return &Link{longOutage: longOutage, up: true, lastOK: now, changed: make(chan struct{})}
}

// Succeeded records a call that was answered. If it ends an outage, Succeeded
// returns the length of the outage and true.
func (l *Link) Succeeded(now time.Time) (outage time.Duration, recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outage, recovered = now.Sub(l.lastOK), !l.up
	l.lastOK = now
	if !recovered {
		return 0, false
	}
	l.up = true
	l.recoveredAt = now
	l.lastOutageLong = outage >= l.longOutage
	l.signal()
	return outage, true
}

// LostData records that the dependency has come back without the latest data, which its
// other users write again. It counts as a long outage, however short it was.
func (l *Link) LostData(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoveredAt, l.lastOutageLong = now, true
}

// Failed records a call without a usable answer and reports whether it begins
// an outage.
func (l *Link) Failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	l.up = false
	l.signal()
	return true
}

// Interrupt cancels every context of WhileUp. One user calls it when what it
// waited for is gone, so that the other users check for themselves.
func (l *Link) Interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signal()
}

func (l *Link) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// State returns whether the dependency is up, and a channel that is closed when
// that changes or on Interrupt.
func (l *Link) State() (up bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up, l.changed
}

// LastOK returns when a call was last answered.
func (l *Link) LastOK() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastOK
}

// LongOutageEnd returns when the dependency recovered from a long outage or lost data, if
// that is less than the given time ago, or now while it is down. Otherwise it returns the
// zero time.
func (l *Link) LongOutageEnd(now time.Time, within time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.up:
		return now
	case l.lastOutageLong && now.Sub(l.recoveredAt) < within:
		return l.recoveredAt
	default:
		return time.Time{}
	}
}

// WaitUp waits until the dependency is up. It returns false if the context is
// done first.
func (l *Link) WaitUp(ctx context.Context) bool {
	for {
		up, changed := l.State()
		if up {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// WhileUp returns a context that is cancelled with the given one, when the
// dependency goes down, or on Interrupt.
func (l *Link) WhileUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	up, changed := l.State()
	if !up {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
