package runner

import (
	"net/http"
	"sync"

	"jackdawcart.org/entry/follower"
)

// readiness answers the health checks of the platform's load balancer.
type readiness struct {
	state    *follower.State
	mu       sync.Mutex
	stopping bool
}

func (r *readiness) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// ServeHTTP answers 200 while the process can serve requests and is not stopping,
// and 503 otherwise.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if stopping || r.state.Table() == nil || r.state.TargetCount() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
