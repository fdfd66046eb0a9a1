package runner

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/budgeter"
	"jackdawcart.org/entry/responder"
	"jackdawcart.org/platform/decoder"
)

const (
	// bufferBytes is the size of the two buffers that net/http has for each connection.
	bufferBytes = 4 << 10
	// connectionBytes is the memory of an open connection: its buffers, the stack of its
	// goroutine and its state.
	connectionBytes = 20 << 10
	// fieldBytes is the memory of a header field beyond its text: its entry in the map, which
	// is allocated at up to twice its size, and its strings.
	fieldBytes = 192
	// scrapeBytes is the memory of a scrape of the metrics until its answer is written.
	scrapeBytes = 256 << 10
	// fileDescriptors are reserved for files and what the process opens itself.
	fileDescriptors = 200
)

// Shares of the machine that accepted connections may use. The heap grows to twice its live
// part between collections, and connections to targets need descriptors too.
const (
	budgetFraction      = 4
	descriptorsFraction = 2
)

const (
	// defaultWriteTimeout applies while there is no configuration.
	defaultWriteTimeout = 15 * time.Second
	// writePieceBytes is what a client has to take within the write timeout.
	writePieceBytes = 64 << 10
	// evictedWriteTimeout limits the time for the refusal of a request whose connection is
	// being closed.
	evictedWriteTimeout = time.Second
	// discardTimeout limits the time in which a body arrives that no handler reads.
	discardTimeout = time.Second
	// evictionLogPeriod is the interval at which closed connections are logged.
	evictionLogPeriod = time.Second
)

// Guard keeps the accepted connections of the process within one budget of memory and
// descriptors. It is safe for concurrent use.
type Guard struct {
	writeTimeout func() time.Duration
	scope        tally.Scope
	log          *zap.Logger

	mu     sync.Mutex
	budget *budgeter.Budget
	// evicted and refused count since loggedAt.
	evicted, refused int
	loggedAt         time.Time
}

// NewGuard returns a guard for a machine with the given memory and descriptors; zero means
// no limit.
func NewGuard(memoryBytes, maxFDs int, writeTimeout func() time.Duration, scope tally.Scope, log *zap.Logger) *Guard {
	config := budgeter.Config{MaxBytes: memoryBytes / budgetFraction, ConnectionBytes: connectionBytes}
	if maxFDs > 0 {
		config.MaxConnections = max((maxFDs-fileDescriptors)/descriptorsFraction, 1)
	}
	return &Guard{writeTimeout: writeTimeout, scope: scope, log: log, budget: budgeter.New(config)}
}

// heapShare is the share of the machine's memory from which the runtime collects garbage
// more often. It is a second line of defence, as it does not bound what is in use.
const heapShare = 0.7

// limitHeap sets the soft memory limit of the runtime, unless the environment has set one.
func limitHeap(memoryBytes int) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryBytes)))
	}
}

// errNoMemory ends a connection for which there is no memory.
var errNoMemory error = &net.OpError{Op: "read", Net: "tcp", Err: responder.ErrNoMemory}

// decide runs a decision of the budget, and closes the connections that it chose.
func (g *Guard) decide(now time.Time, decision func(b *budgeter.Budget) ([]*budgeter.Connection, bool)) bool {
	g.mu.Lock()
	victims, ok := decision(g.budget)
	if ok && len(victims) == 0 {
		g.mu.Unlock()
		return true
	}
	g.evicted += len(victims)
	if !ok {
		g.refused++
	}
	evicted, refused := g.evicted, g.refused
	due := evicted+refused > 0 && now.Sub(g.loggedAt) >= evictionLogPeriod
	if due {
		g.evicted, g.refused, g.loggedAt = 0, 0, now
	}
	connections, used := g.budget.Usage()
	// The phases must be read before the connections go on.
	phases := make([]budgeter.Phase, len(victims))
	for i, victim := range victims {
		phases[i] = victim.Phase()
	}
	for _, victim := range victims {
		victim.Evict()
	}
	g.mu.Unlock()
	for _, phase := range phases {
		g.scope.Tagged(map[string]string{"phase": phase.String()}).Counter("connections_evicted").Inc(1)
	}
	if !ok {
		g.scope.Counter("memory_refusals").Inc(1)
	}
	if due {
		g.log.Warn("connections closed or refused for lack of memory or descriptors", zap.Int("closed", evicted),
			zap.Int("refused", refused), zap.Int("connections", connections), zap.Int("reserved-bytes", used))
	}
	return ok
}

// Listen returns a listener whose connections are in the budget and carry HTTP requests.
func (g *Guard) Listen(inner net.Listener) net.Listener { return &guardedListener{inner, g, true} }

// ListenMessages returns a listener whose connections are in the budget and carry messages,
// for which the reader reserves memory.
func (g *Guard) ListenMessages(inner net.Listener) net.Listener {
	return &guardedListener{inner, g, false}
}

type guardedListener struct {
	net.Listener
	guard *Guard
	http  bool
}

// Accept waits for a connection that fits into the budget, and closes the others.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: inner, guard: l.guard, account: &budgeter.Connection{}}
		c.account.Evict = c.evict
		c.inHead.Store(l.http)
		now := time.Now()
		if l.guard.decide(now, func(b *budgeter.Budget) ([]*budgeter.Connection, bool) { return b.Open(now, c.account) }) {
			return c, nil
		}
		inner.Close()
	}
}

// OnState follows the requests on a connection. It is meant for the ConnState field of
// http.Server.
func (g *Guard) OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.Received()
	case http.StateIdle:
		c.inHead.Store(true)
		c.Completed()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// ConnContext gives handlers access to the memory of the connection. It is meant for the
// ConnContext field of http.Server.
func (*Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*guardedConn); ok {
		return responder.WithMemory(ctx, c)
	}
	return ctx
}

// Handler refuses requests whose connection is being closed. It bounds the time for bodies
// that the inner handler does not read, and releases the memory of those that it has read.
func (*Guard) Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := responder.MemoryOf(r.Context()).(*guardedConn)
		if !ok {
			inner.ServeHTTP(w, r)
			return
		}
		// A connection whose request runs is not evicted, so this does not change while the
		// handler runs.
		if c.evicted.Load() {
			refuseForMemory(w)
			return
		}
		if r.ContentLength == 0 {
			inner.ServeHTTP(w, r)
			return
		}
		c.receiving()
		// This fails only on a closed connection.
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
		inner.ServeHTTP(w, r)
		c.releaseBody()
	})
}

// retryAfterMemory is the retry delay given to callers while memory is short.
const retryAfterMemory = time.Second

// refuseForMemory answers a request that has not run.
func refuseForMemory(w http.ResponseWriter) {
	decoder.SetRetryAfter(w.Header(), retryAfterMemory)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ScrapeHandler answers 503 while there is no memory for a scrape.
func (g *Guard) ScrapeHandler(inner http.Handler) http.Handler {
	return g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := responder.MemoryOf(r.Context()).(*guardedConn); ok && !c.reserveRun(scrapeBytes) {
			refuseForMemory(w)
			return
		}
		inner.ServeHTTP(w, r)
	}))
}
