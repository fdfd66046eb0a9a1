// Package timer provides the clock and the ticks of a process.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service provides the time, periodic ticks and single ticks. Times carry a
// monotonic clock reading, so a step of the wall clock neither fires nor delays a
// tick.
type Service struct {
	mu     sync.Mutex
	closed bool
	subs   map[*Subscription]struct{}
}

// Subscription delivers ticks to one subscriber. While a tick is pending, further
// ticks are dropped.
type Subscription struct {
	service *Service
	ticker  *time.Ticker
	once    *time.Timer
	C       <-chan time.Time
}

// NewService returns a running timer service.
func NewService() *Service {
	return &Service{subs: make(map[*Subscription]struct{})}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Every subscribes to periodic ticks.
func (s *Service) Every(period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	return s.add(&Subscription{service: s, ticker: ticker, C: ticker.C})
}

// After subscribes to a single tick after the delay.
func (s *Service) After(delay time.Duration) *Subscription {
	once := time.NewTimer(delay)
	return s.add(&Subscription{service: s, once: once, C: once.C})
}

// Sleep waits for the delay and returns true, or false if the context ends first.
func (s *Service) Sleep(ctx context.Context, delay time.Duration) bool {
	wait := s.After(delay)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close stops every subscription. Later subscriptions receive no ticks.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sub := range s.subs {
		sub.stopTimer()
	}
	clear(s.subs)
}

func (s *Service) add(sub *Subscription) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		sub.stopTimer()
		return sub
	}
	s.subs[sub] = struct{}{}
	return sub
}

// Stop ends the subscription; no tick is sent afterwards.
func (sub *Subscription) Stop() {
	sub.stopTimer()
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	delete(sub.service.subs, sub)
}

// Reset restarts a single tick with a new delay. It has no effect on periodic
// ticks.
func (sub *Subscription) Reset(delay time.Duration) {
	if sub.once != nil {
		sub.once.Reset(delay)
	}
}

func (sub *Subscription) stopTimer() {
	if sub.ticker != nil {
		sub.ticker.Stop()
	}
	if sub.once != nil {
		sub.once.Stop()
	}
}
