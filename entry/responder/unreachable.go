package responder

import (
	"maps"
	"sync"
	"time"
)

// unreachablePeriod is how long requests on a route are not passed on after no VM reached
// its targets.
const unreachablePeriod = time.Second

// unreachableRoutes holds the routes whose targets no VM reaches.
type unreachableRoutes struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (u *unreachableRoutes) mayPassOn(now time.Time, route string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !now.Before(u.until[route])
}

func (u *unreachableRoutes) add(now time.Time, route string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	u.until[route] = now.Add(unreachablePeriod)
}
