package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jackdawcart.org/core/timer"
)

// busyConnections tracks the connections on which a request is read, expected or
// answered. It is safe for concurrent use.
type busyConnections struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// onState is meant for the ConnState field of http.Server.
func (b *busyConnections) onState(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns == nil {
		b.conns = make(map[net.Conn]struct{})
	}
	switch state {
	case http.StateNew, http.StateActive:
		b.conns[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(b.conns, c)
	}
}

func (b *busyConnections) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// idlePollInterval is the interval at which awaitIdle looks for busy connections.
const idlePollInterval = 10 * time.Millisecond

// awaitIdle waits until no connection is busy or the context ends.
func (b *busyConnections) awaitIdle(ctx context.Context, timers *timer.Service) {
	for b.count() > 0 && timers.Sleep(ctx, idlePollInterval) {
	}
}
