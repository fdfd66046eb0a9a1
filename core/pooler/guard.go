package pooler

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// epoch carries the monotonic clock, so that a step of the wall clock makes no
// connection look silent.
var epoch = time.Now()

// connection is what is known of the connection that a request uses.
type connection struct {
	// since is when it was handed over, counted from epoch; 0 before.
	since atomic.Int64
	fresh atomic.Bool
}

func (c *connection) got(info httptrace.GotConnInfo) {
	c.since.Store(max(int64(time.Since(epoch)), 1))
	c.fresh.Store(!info.Reused)
}

func (c *connection) handedOver() bool { return c.since.Load() != 0 }

// guard watches one running search. Its timer and the end of the caller's
// context call it, so a search that is answered in time needs no goroutine of
// its own.
type guard struct {
	pool       *Pool
	search     *Search
	cancel     context.CancelFunc
	connection connection
	// done is closed when the search has ended.
	done   chan struct{}
	before int64

	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	silent bool
}

func (g *guard) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(g.pool.silentAfter(), g.check)
}

// check cancels a search whose connection is silent while others answer.
func (g *guard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	if wait := g.untilSilent(); wait > 0 {
		g.timer.Reset(wait)
		return
	}
	if g.pool.answers.Load() == g.before {
		g.timer.Reset(g.pool.silentAfter())
		return
	}
	g.silent = true
	g.cancel()
}

// untilSilent returns how long a connection may still take to answer. The
// wait for a connection says nothing about silence, so it counts from the
// moment that one was handed over. The limit is computed anew, because the
// first answers of a slow target raise it.
func (g *guard) untilSilent() time.Duration {
	since := g.connection.since.Load()
	if since == 0 {
		return g.pool.silentAfter()
	}
	return g.pool.silentAfter() - (time.Since(epoch) - time.Duration(since))
}

// stop ends the watch and reports whether the connection was found silent.
func (g *guard) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.timer.Stop()
	return g.silent
}

// giveUp cancels the running search in the configured way.
func (g *guard) giveUp() {
	if g.pool.config.Cancel == CancelByRequest {
		go g.pool.cancelRequest(g.search)
		select {
		case <-g.done:
			return
		case <-time.After(cancelGrace):
		}
	}
	g.cancel()
}
