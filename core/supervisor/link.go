// Package supervisor keeps the belief about whether a dependency can be
// reached.
package supervisor

import (
	"context"
	"sync"
	"time"
)

// Link is the state of one dependency. It is safe for concurrent use.
type Link struct {
	// long is the length of an outage that matters to what others keep in the
	// dependency.
	long time.Duration

	mu      sync.Mutex
	up      bool
	lastOK  time.Time
	back    time.Time
	longOut bool
	changed chan struct{}
}

// NewLink returns a link that is up since now. An outage of at least the given
// length is a long one.
func NewLink(now time.Time, long time.Duration) *Link {
	return &Link{long: long, up: true, lastOK: now, changed: make(chan struct{})}
}

// Succeeded takes a call that was answered. It reports the length of the outage
// that it ends, if there was one.
func (l *Link) Succeeded(now time.Time) (outage time.Duration, regained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outage, regained = now.Sub(l.lastOK), !l.up
	l.lastOK = now
	if !regained {
		return 0, false
	}
	l.up = true
	l.back = now
	l.longOut = outage >= l.long
	l.signal()
	return outage, true
}

// Failed takes a call without a usable answer and reports whether it is the
// first one.
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

// Disturb ends every context of WhileUp, after one user has found that what it
// waited for is gone. The others then look for themselves.
func (l *Link) Disturb() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signal()
}

func (l *Link) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// State returns whether the dependency is up, and a channel that is closed when
// that changes.
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

// AfterLongOutage reports whether the dependency is out of reach, or came back
// from a long outage within the given time.
func (l *Link) AfterLongOutage(now time.Time, within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.up || (l.longOut && now.Sub(l.back) < within)
}

// WaitUp returns when the dependency is up, and false when the context ends.
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

// WhileUp returns a context that ends with the given one or when the dependency
// goes down.
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
