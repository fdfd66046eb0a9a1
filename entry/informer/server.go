package informer

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/acceptor"
	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// Link reports the reachability of the platform's store.
type Link interface {
	LastOK() time.Time
	State() (up bool, changed <-chan struct{})
}

// Eras tracks the era of the store, which rises each time it comes back from an older
// copy.
type Eras interface {
	Era() uint64
	// ObserveEra records an era that another VM has learned.
	ObserveEra(era uint64)
}

// Server answers the VMs that poll this one. It is safe for concurrent use.
type Server struct {
	config  Config
	link    Link
	eras    Eras
	tracker EvidenceTracker
	loads   LoadTracker
	reports ReportTracker
	timers  *timer.Service
	log     *zap.Logger
	// rejections records invalid evidence of other VMs.
	rejections *logger.Rejections

	mu          sync.Mutex
	reading     bool
	history     history
	content     content
	evidenceLog evidenceLog
	// lastPoll is the time of the last request of another VM.
	lastPoll time.Time
	// largeAnswers holds an element for each large answer that is being written.
	largeAnswers chan struct{}
	// changed is closed and replaced to wake the waiting requests.
	changed chan struct{}
	// pieces holds an element for each piece of the content that is being sent.
	pieces chan struct{}
}

// NewServer returns a server that serves no changes until the first call of
// PublishSnapshot or PublishChanges.
func NewServer(config Config, link Link, eras Eras, tracker EvidenceTracker, loads LoadTracker, reports ReportTracker, timers *timer.Service,
	log *zap.Logger,
) *Server {
	return &Server{
		config: config, link: link, eras: eras, tracker: tracker, loads: loads, reports: reports, timers: timers, log: log,
		history:     history{maxItems: config.MaxItems, maxBytes: config.MaxHistoryBytes},
		evidenceLog: evidenceLog{maxBatches: config.MaxBatches, maxEvidence: config.MaxEvidence}, largeAnswers: make(chan struct{}, config.MaxLargeAnswers),
		changed:    make(chan struct{}),
		rejections: logger.NewRejections(log, config.Rejected),
		content:    content{maxBytes: config.MaxContentBytes}, pieces: make(chan struct{}, config.MaxPieces),
	}
}

// PublishSnapshot records that this VM has read the whole store at a position.
func (s *Server) PublishSnapshot(position sequencer.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = true
	s.history.reset(position)
	s.signal()
}

// PublishChanges adds changes that this VM has read from the store after a position, in
// the same era.
func (s *Server) PublishChanges(after sequencer.Position, listing storer.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reading || after != s.history.newest {
		s.history.reset(after)
	}
	s.reading = true
	s.history.add(listing)
	s.signal()
}

// StopPublishing records that this VM no longer reads from the store.
func (s *Server) StopPublishing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading {
		s.reading = false
		s.signal()
	}
}

// HasClients reports whether this VM reads from the store and other VMs poll it.
func (s *Server) HasClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading && !s.lastPoll.IsZero() && s.timers.Now().Sub(s.lastPoll) < s.config.ClientTimeout
}

func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve answers requests on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	acceptor.Each(ctx, listener, s.log, func(conn net.Conn) {
		connections.Go(func() {
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			defer s.logPanic(conn.RemoteAddr())
			s.serveConn(ctx, newMessageConn(conn, s.config.MaxRequestBytes))
		})
	})
}

// logPanic keeps a panic that a message of another VM caused from ending the process.
// It is to be deferred.
func (s *Server) logPanic(peer net.Addr) {
	if v := recover(); v != nil {
		s.log.Error("request of polling VM panicked", zap.Stringer("peer", peer), zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
	}
}

// idleTimeout is how long a connection may stay without a request before it is
// closed.
const idleTimeout = 5 * time.Second

// serveConn answers the requests on one connection. Evidence from before the
// connection is not sent.
func (s *Server) serveConn(ctx context.Context, conn *messageConn) {
	peer := conn.RemoteAddr().String()
	budget, ok := conn.Conn.(memory)
	if !ok {
		budget = unlimited{}
	}
	s.mu.Lock()
	next := s.evidenceLog.next
	s.mu.Unlock()
	for {
		// SetDeadline fails only on a closed connection, which the read below reports.
		_ = conn.SetDeadline(time.Now().Add(idleTimeout))
		var request informerpb.Request
		if err := conn.readRequest(&request, budget); err != nil {
			if ctx.Err() == nil && !errors.Is(err, io.EOF) {
				s.log.Debug("connection to polling VM lost", zap.String("peer", peer), zap.Error(err))
			}
			return
		}
		s.mu.Lock()
		s.lastPoll = s.timers.Now()
		s.mu.Unlock()
		s.eras.ObserveEra(request.GetEra())
		s.reports.MergeReports(s.timers.Now(), fromReports(request.GetReports()))
		answer, sent := s.answer(ctx, &request)
		answer.Reports = toReports(s.reports.Unpublished())
		if !answer.GetSnapshot() {
			answer.Era = s.eras.Era()
		}
		s.mu.Lock()
		s.evidenceLog.add(peer, fromEvidence(request.GetEvidence(), s.rejections), fromLoads(request.GetLoads()))
		remote, loads, n := s.evidenceLog.since(next, peer)
		s.mu.Unlock()
		next, answer.Evidence, answer.Loads = n, toEvidence(remote), toLoads(loads)
		err := s.write(ctx, conn, answer)
		sent()
		if err != nil {
			s.log.Debug("connection to polling VM lost", zap.String("peer", peer), zap.Error(err))
			return
		}
		budget.Completed()
	}
}

// largeAnswerBytes is the size from which answers are written a few at a time.
const largeAnswerBytes = 64 << 10

// write sends an answer. All polling VMs ask for a new configuration at once, which must not
// be in memory once for each of them. The one that has to wait too long has gone meanwhile.
func (s *Server) write(ctx context.Context, conn *messageConn, answer *informerpb.Answer) error {
	size := 0
	for _, item := range answer.GetItems() {
		size += len(item.GetKey()) + len(item.GetValue())
	}
	if size < largeAnswerBytes {
		return conn.write(answer)
	}
	select {
	case s.largeAnswers <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.largeAnswers }()
	// SetWriteDeadline fails only on a closed connection, which the write below reports.
	_ = conn.SetWriteDeadline(time.Now().Add(s.config.AnswerMargin))
	return conn.write(answer)
}

// unlimited is the budget of a connection that has none.
type unlimited struct{}

func (unlimited) Reserve(int) bool { return true }
func (unlimited) Received() bool   { return true }
func (unlimited) Completed()       {}

// answer returns the answer to a request, and what is to be called once it is sent.
func (s *Server) answer(ctx context.Context, request *informerpb.Request) (answer *informerpb.Answer, sent func()) {
	if request.GetSnapshot() {
		return s.answerPiece(ctx, request)
	}
	return s.answerChanges(ctx, request), func() {}
}

// answerChanges returns the changes after the position of the request, and waits for one
// if there is none.
func (s *Server) answerChanges(ctx context.Context, request *informerpb.Request) *informerpb.Answer {
	wait := s.timers.After(min(request.GetWait().AsDuration(), s.config.Wait))
	defer wait.Stop()
	after := sequencer.Position{Era: request.GetEra(), Revision: request.GetAfter()}
	for {
		s.mu.Lock()
		answer, changed := s.currentAnswer(after), s.changed
		s.mu.Unlock()
		if answer.GetState() != informerpb.State_STATE_READING || answer.GetRevision() > after.Revision {
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

// currentAnswer returns the answer without waiting. The caller holds mu.
func (s *Server) currentAnswer(after sequencer.Position) *informerpb.Answer {
	up, _ := s.link.State()
	stale := s.timers.Now().Sub(s.link.LastOK()) > s.config.MaxStoreAge || s.history.newest.Era != s.eras.Era()
	if !s.reading || !up || stale {
		return &informerpb.Answer{State: informerpb.State_STATE_NOT_READING}
	}
	items, ok := s.history.since(after)
	if !ok {
		return &informerpb.Answer{State: informerpb.State_STATE_HISTORY_LOST}
	}
	return &informerpb.Answer{
		State: informerpb.State_STATE_READING, Revision: max(s.history.newest.Revision, after.Revision), Items: toItems(items),
	}
}

// ownSender is the sender of this VM's evidence.
const ownSender = ""

// Exchange shares evidence between this process and the polling VMs until the
// context ends. While this VM polls another one, its Client exchanges evidence
// instead.
func (s *Server) Exchange(ctx context.Context) {
	tick := s.timers.Every(s.config.Wait)
	defer tick.Stop()
	var next uint64
	for {
		select {
		case now := <-tick.C:
			if !s.HasClients() {
				continue
			}
			own, ownLoads := s.tracker.TakeEvidence(), s.loads.TakeLoads()
			s.mu.Lock()
			s.evidenceLog.add(ownSender, own, ownLoads)
			remote, loads, n := s.evidenceLog.since(next, ownSender)
			s.mu.Unlock()
			next = n
			s.tracker.MergeEvidence(now, remote)
			s.loads.MergeLoads(now, loads)
		case <-ctx.Done():
			return
		}
	}
}
