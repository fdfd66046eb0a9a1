// Package simulator runs simulated targets that implement the target protocol
// and support fault injection.
package simulator

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/container"
	"jackdawcart.org/targetstandin/describer"
)

// Target is a running simulated target.
type Target struct {
	description describer.Target
	log         *zap.Logger
	server      *http.Server

	mu        sync.Mutex
	closed    bool
	down      bool
	startedAt time.Time
	listener  *listener
	conns     container.Set[*conn]
	// resumed is non-nil while the target is frozen; closing it resumes traffic.
	resumed        chan struct{}
	activeWork     map[workKey]*work
	queue          []*work
	running        int
	faults         []activeFault
	snapshots      []describer.Snapshot
	maps           []checker.ShardMap
	runs           []checker.Run
	refusals       map[string]int
	random         *rand.Rand
	previousAnswer *searchAnswer
	statusSamples  []statusSample
}

// Start listens on the target's address and serves until Close.
func Start(description describer.Target, log *zap.Logger) (*Target, error) {
	t := &Target{
		description: description,
		log:         log.With(zap.String("target", description.Name)),
		conns:       container.NewSet[*conn](),
		activeWork:  map[workKey]*work{},
		refusals:    map[string]int{},
		random:      rand.New(rand.NewPCG(description.Seed, xxhash.Sum64String(description.Name))),
	}
	t.server = &http.Server{
		Handler:           t.handler(),
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	for _, s := range description.Snapshots {
		t.publish(s)
	}
	if err := t.open(); err != nil {
		return nil, err
	}
	return t, nil
}

const readHeaderTimeout = time.Minute

// Description returns the description that the target was started with. Its
// address is the one that the target listens on, with port 0 resolved.
func (t *Target) Description() describer.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.description
}

// Close stops the target and resets its connections.
func (t *Target) Close() error {
	t.mu.Lock()
	t.closed = true
	t.abortAll()
	t.mu.Unlock()
	return t.server.Close()
}

// open starts listening on the target's address. The first call resolves port 0,
// so that a restart keeps the port.
func (t *Target) open() error {
	raw, err := net.Listen("tcp", t.description.Address.String())
	if err != nil {
		return &Error{Op: "open", Kind: KindAddress, Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return raw.Close()
	}
	t.description.Address = raw.Addr().(*net.TCPAddr).AddrPort()
	t.down = false
	t.startedAt = time.Now()
	t.listener = newListener(raw, t)
	go t.serve(t.listener)
	return nil
}

func (t *Target) serve(l *listener) {
	err := t.server.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		t.log.Error("server stopped", zap.Error(err))
	}
}

// Crash resets all connections and aborts all requests, refuses connections for
// the downtime and then restarts with a cold start.
func (t *Target) Crash(downtime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crash(downtime)
}

func (t *Target) crash(downtime time.Duration) {
	if t.down || t.closed {
		return
	}
	t.down = true
	t.log.Info("target crashed", zap.Duration("downtime", downtime))
	t.abortAll()
	time.AfterFunc(downtime, t.reopen)
}

// abortAll closes the listener, resets all connections and aborts all requests.
func (t *Target) abortAll() {
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for c := range t.conns {
		c.abort()
	}
	clear(t.conns)
	for _, w := range t.activeWork {
		w.crash()
	}
	clear(t.activeWork)
	t.queue = nil
}

const reopenRetryDelay = 50 * time.Millisecond

func (t *Target) reopen() {
	if err := t.open(); err != nil {
		t.log.Warn("listening failed after a crash; retrying", zap.Error(err))
		time.AfterFunc(reopenRetryDelay, t.reopen)
	}
}

// Record returns all runs, all shard maps that were ever published and the
// number of refusals by code.
func (t *Target) Record() checker.TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := checker.TargetRecord{Refusals: map[string]int{}}
	record.Runs = append(record.Runs, t.runs...)
	record.Maps = append(record.Maps, t.maps...)
	for code, count := range t.refusals {
		record.Refusals[code] = count
	}
	return record
}
