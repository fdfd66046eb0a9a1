// Package timer is the clock that parts of a process subscribe to.
package timer

import (
	"sync"
	"time"
)

// Service gives the time and periodic ticks. Times carry the monotonic clock,
// so a step of the wall clock neither fires nor delays a tick.
type Service struct {
	mu     sync.Mutex
	closed bool
	subs   map[*Subscription]struct{}
}

// Subscription delivers ticks to one subscriber. A tick that the subscriber
// has not yet taken absorbs the following ones.
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

// Every subscribes to ticks that are one period apart.
func (s *Service) Every(period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	return s.add(&Subscription{service: s, ticker: ticker, C: ticker.C})
}

// After subscribes to a single tick, one delay from now.
func (s *Service) After(delay time.Duration) *Subscription {
	once := time.NewTimer(delay)
	return s.add(&Subscription{service: s, once: once, C: once.C})
}

// Close stops every subscription.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sub := range s.subs {
		sub.halt()
	}
	clear(s.subs)
}

func (s *Service) add(sub *Subscription) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		sub.halt()
		return sub
	}
	s.subs[sub] = struct{}{}
	return sub
}

// Stop ends the subscription; no tick is sent afterwards.
func (sub *Subscription) Stop() {
	sub.halt()
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	delete(sub.service.subs, sub)
}

// Reset makes a single tick fire one delay from now.
func (sub *Subscription) Reset(delay time.Duration) {
	if sub.once != nil {
		sub.once.Reset(delay)
	}
}

func (sub *Subscription) halt() {
	if sub.ticker != nil {
		sub.ticker.Stop()
	}
	if sub.once != nil {
		sub.once.Stop()
	}
}
