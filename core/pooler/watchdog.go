package pooler

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// clockEpoch is the reference for monotonic timestamps, so that a step of the
// wall clock cannot make a connection look silent.
var clockEpoch = time.Now()

// connTrace records the connection that a request uses.
type connTrace struct {
	// gotConnAt is when the request got its connection, in nanoseconds since
	// clockEpoch; 0 before that.
	gotConnAt atomic.Int64
	isNew     atomic.Bool
}

func (t *connTrace) onGotConn(info httptrace.GotConnInfo) {
	t.gotConnAt.Store(max(int64(time.Since(clockEpoch)), 1))
	t.isNew.Store(!info.Reused)
}

func (t *connTrace) gotConn() bool { return t.gotConnAt.Load() != 0 }

// watchdog monitors one running search. It is called by a timer and when the
// context passed to Search ends, so a search that is answered in time needs no
// extra goroutine.
type watchdog struct {
	pool      *Pool
	search    *Search
	cancel    context.CancelFunc
	connTrace connTrace
	// done is closed when the search has ended.
	done           chan struct{}
	answersAtStart int64

	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	silent bool
}

func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.pool.silenceTimeout(), w.check)
}

// check cancels a search whose connection is silent while other connections to
// the target get answers.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if wait := w.untilSilent(); wait > 0 {
		w.timer.Reset(wait)
		return
	}
	if w.pool.answerCount.Load() == w.answersAtStart {
		w.timer.Reset(w.pool.silenceTimeout())
		return
	}
	w.silent = true
	w.cancel()
}

// untilSilent returns how long the connection may still take to answer. Time
// spent waiting for a connection does not count. The timeout is recomputed each
// time, because the first answers of a slow target raise it.
func (w *watchdog) untilSilent() time.Duration {
	gotConnAt := w.connTrace.gotConnAt.Load()
	if gotConnAt == 0 {
		return w.pool.silenceTimeout()
	}
	return w.pool.silenceTimeout() - (time.Since(clockEpoch) - time.Duration(gotConnAt))
}

// stop ends monitoring and reports whether the connection was silent.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.silent
}

// cancelSearch cancels the running search using the configured mode.
func (w *watchdog) cancelSearch() {
	if w.pool.config.Cancel == CancelByRequest {
		go w.pool.cancelRequest(w.search)
		select {
		case <-w.done:
			return
		case <-time.After(cancelGrace):
		}
	}
	w.cancel()
}
