package informer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// Store says when the platform's store was last heard.
type Store interface {
	LastOK() time.Time
	State() (up bool, changed <-chan struct{})
}

// Server answers the VMs that ask this one. It is safe for concurrent use.
type Server struct {
	config Config
	store  Store
	judge  Judging
	timers *timer.Service
	log    *zap.Logger

	mu      sync.Mutex
	reading bool
	history history
	ledger  ledger
	// asked is when another VM last asked.
	asked time.Time
	// changed is closed when a waiting answer may have to go out.
	changed chan struct{}
}

// NewServer returns a server that answers nobody until something was read.
func NewServer(config Config, store Store, judge Judging, timers *timer.Service, log *zap.Logger) *Server {
	return &Server{
		config: config, store: store, judge: judge, timers: timers, log: log,
		history: history{max: config.MaxItems}, ledger: ledger{max: config.MaxBatches}, changed: make(chan struct{}),
	}
}

// Replaced takes that everything was read from the store at a revision.
func (s *Server) Replaced(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = true
	s.history.reset(revision)
	s.signal()
}

// Changed takes changes that were read from the store after a revision.
func (s *Server) Changed(after uint64, listing storer.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reading || after != s.history.newest {
		s.history.reset(after)
	}
	s.reading = true
	s.history.add(listing)
	s.signal()
}

// Stopped takes that this VM does not read from the store any more.
func (s *Server) Stopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading {
		s.reading = false
		s.signal()
	}
}

// Serves reports whether other VMs rely on what this one reads.
func (s *Server) Serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading && !s.asked.IsZero() && s.timers.Now().Sub(s.asked) < s.config.Relying
}

func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve answers on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var answering sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		answering.Go(func() {
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			s.converse(ctx, newWire(conn, s.config.MaxFrame))
		})
	}
	answering.Wait()
}

// idleTimeout ends a connection on which nobody asks any more.
const idleTimeout = 5 * time.Second

// converse answers the requests of one VM.
func (s *Server) converse(ctx context.Context, w *wire) {
	from := w.RemoteAddr().String()
	s.mu.Lock()
	next := s.ledger.next
	s.mu.Unlock()
	for {
		// A deadline cannot be set on a closed connection only, and reading says so.
		_ = w.SetDeadline(time.Now().Add(idleTimeout))
		var request informerpb.Request
		if err := w.read(&request); err != nil {
			if ctx.Err() == nil && !errors.Is(err, io.EOF) {
				s.log.Debug("asking VM lost", zap.String("peer", from), zap.Error(err))
			}
			return
		}
		s.mu.Lock()
		s.asked = s.timers.Now()
		s.mu.Unlock()
		answer := s.answer(ctx, &request)
		s.mu.Lock()
		s.ledger.add(from, fromEvidence(request.GetEvidence()))
		heard, n := s.ledger.since(next, from)
		s.mu.Unlock()
		next, answer.Evidence = n, toEvidence(heard)
		if err := w.write(answer); err != nil {
			s.log.Debug("asking VM lost", zap.String("peer", from), zap.Error(err))
			return
		}
	}
}

// answer waits for a change after the revision of the request.
func (s *Server) answer(ctx context.Context, request *informerpb.Request) *informerpb.Answer {
	wait := s.timers.After(min(request.GetWait().AsDuration(), s.config.Wait))
	defer wait.Stop()
	after := request.GetAfter()
	for {
		s.mu.Lock()
		answer, changed := s.current(after), s.changed
		s.mu.Unlock()
		if answer.GetState() != informerpb.State_STATE_READING || answer.GetRevision() > after {
			return answer
		}
		select {
		case <-changed:
		case <-wait.C:
			return answer
		case <-ctx.Done():
			return &informerpb.Answer{State: informerpb.State_STATE_NOT_READING}
		}
	}
}

// current returns the answer as of now.
func (s *Server) current(after uint64) *informerpb.Answer {
	up, _ := s.store.State()
	if !s.reading || !up || s.timers.Now().Sub(s.store.LastOK()) > s.config.Fresh {
		return &informerpb.Answer{State: informerpb.State_STATE_NOT_READING}
	}
	items, ok := s.history.since(after)
	if !ok {
		return &informerpb.Answer{State: informerpb.State_STATE_HISTORY_LOST}
	}
	return &informerpb.Answer{
		State: informerpb.State_STATE_READING, Revision: max(s.history.newest, after), Items: toItems(items),
	}
}

// self names the own VM in the ledger.
const self = ""

// Exchange puts the evidence of the own process beside that of the asking VMs,
// and tells it what they have seen, until the context ends. While this VM asks
// another one, its client does that.
func (s *Server) Exchange(ctx context.Context) {
	tick := s.timers.Every(s.config.Wait)
	defer tick.Stop()
	var next uint64
	for {
		select {
		case now := <-tick.C:
			if !s.Serves() {
				continue
			}
			own := s.judge.TakeEvidence()
			s.mu.Lock()
			s.ledger.add(self, own)
			heard, n := s.ledger.since(next, self)
			s.mu.Unlock()
			next = n
			s.judge.MergeEvidence(now, heard)
		case <-ctx.Done():
			return
		}
	}
}
