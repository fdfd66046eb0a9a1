package informer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// Dialer opens connections to other VMs.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Client polls the other VMs of the failure domain for changes of the store.
// Watch must be called by one goroutine only.
type Client struct {
	config  Config
	self    registrar.Member
	dial    Dialer
	eras    Eras
	tracker EvidenceTracker
	reports ReportTracker
	timers  *timer.Service
	count   func(outcome string)
	log     *zap.Logger
	// rejections records invalid evidence of other VMs.
	rejections *logger.Rejections

	mu        sync.Mutex
	upstreams []registrar.Member

	// Only Watch uses the fields below.

	conn     *messageConn
	upstream registrar.Member
	retryAt  map[string]time.Time
}

// NewClient returns the client of the VM self. It calls count with the outcome of
// each request.
func NewClient(config Config, self registrar.Member, dial Dialer, eras Eras, tracker EvidenceTracker, reports ReportTracker, timers *timer.Service,
	count func(outcome string), log *zap.Logger,
) *Client {
	return &Client{
		config: config, self: self, dial: dial, eras: eras, tracker: tracker, reports: reports, timers: timers, count: count, log: log,
		retryAt: make(map[string]time.Time), rejections: logger.NewRejections(log, config.Rejected),
	}
}

// SetMembers replaces the known entry VMs.
func (c *Client) SetMembers(members []registrar.Member) {
	upstreams := Upstreams(c.self, members)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = upstreams
}

// Watch waits for changes after a position, and exchanges evidence with the VM
// that answers. It returns false if no VM answers; this process must then read
// from the store itself.
func (c *Client) Watch(ctx context.Context, after sequencer.Position) (storer.Listing, bool) {
	c.mu.Lock()
	upstreams := c.upstreams
	c.mu.Unlock()
	began := c.timers.Now()
	for i, m := range upstreams {
		if c.timers.Now().Sub(began) >= c.config.MaxPollTime {
			break
		}
		if c.timers.Now().Before(c.retryAt[m.Name]) {
			continue
		}
		listing, err := c.poll(ctx, m, after)
		if err == nil {
			c.count("answered")
			c.setUpstream(m, after)
			if i == 0 {
				// The other VMs are not polled while the first one answers.
				clear(c.retryAt)
			}
			return listing, true
		}
		if ctx.Err() != nil {
			return storer.Listing{}, false
		}
		c.recordFailure(m, err)
	}
	c.setUpstream(registrar.Member{}, after)
	return storer.Listing{}, false
}

// setUpstream records which VM answers; the zero value means none.
func (c *Client) setUpstream(m registrar.Member, position sequencer.Position) {
	if m.Name == c.upstream.Name {
		return
	}
	c.log.Info("informing VM", zap.String("before", c.upstream.Name), zap.String("now", m.Name), zap.Uint64("revision", position.Revision), zap.Uint64("era", position.Era))
	c.upstream = m
}

func (c *Client) recordFailure(m registrar.Member, err error) {
	kind := KindUnanswered
	var e *Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	c.count(string(kind))
	if m.Name == c.upstream.Name {
		c.log.Warn("informing VM lost", zap.String("peer", m.Name), zap.Error(err))
	}
	c.disconnect()
	c.retryAt[m.Name] = c.timers.Now().Add(c.config.RetryDelay)
}

func (c *Client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection to the VM polled last.
func (c *Client) Close() { c.disconnect() }

// poll sends one request to a VM and waits for the answer.
func (c *Client) poll(ctx context.Context, m registrar.Member, after sequencer.Position) (storer.Listing, error) {
	if err := c.connect(ctx, m); err != nil {
		return storer.Listing{}, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
	}
	conn := c.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// SetDeadline fails only on a closed connection, which the write below reports.
	_ = conn.SetDeadline(time.Now().Add(c.config.Wait + c.config.AnswerMargin))
	request := &informerpb.Request{
		After: after.Revision, Era: after.Era, Wait: durationpb.New(c.config.Wait), Evidence: toEvidence(c.tracker.TakeEvidence()),
		Reports: toReports(c.reports.Unpublished()),
	}
	if err := conn.write(request); err != nil {
		return storer.Listing{}, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	var answer informerpb.Answer
	if err := conn.read(&answer); err != nil {
		return storer.Listing{}, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	c.eras.ObserveEra(answer.GetEra())
	c.tracker.MergeEvidence(c.timers.Now(), fromEvidence(answer.GetEvidence(), c.rejections))
	c.reports.MergeReports(c.timers.Now(), fromReports(answer.GetReports()))
	switch answer.GetState() {
	case informerpb.State_STATE_READING:
		if answer.GetEra() != after.Era {
			return storer.Listing{}, &Error{Op: "ask", Kind: KindHistoryLost, Err: fmt.Errorf("position of era %d, answer of era %d", after.Era, answer.GetEra())}
		}
		position := sequencer.Position{Era: after.Era, Revision: max(answer.GetRevision(), after.Revision)}
		return storer.Listing{Items: fromItems(answer.GetItems()), Position: position}, nil
	case informerpb.State_STATE_HISTORY_LOST:
		return storer.Listing{}, &Error{Op: "ask", Kind: KindHistoryLost}
	default:
		return storer.Listing{}, &Error{Op: "ask", Kind: KindNotReading}
	}
}

// connect opens a connection to a VM unless the current one leads to it.
func (c *Client) connect(ctx context.Context, m registrar.Member) error {
	if c.conn != nil && c.conn.RemoteAddr().String() == m.Address.String() {
		return nil
	}
	c.disconnect()
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, m.Address)
	if err != nil {
		return err
	}
	c.conn = newMessageConn(conn, c.config.MaxMessageBytes)
	return nil
}
