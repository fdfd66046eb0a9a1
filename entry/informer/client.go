package informer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	loads   LoadTracker
	reports ReportTracker
	timers  *timer.Service
	count   func(outcome string)
	log     *zap.Logger
	// rejections records invalid evidence of other VMs.
	rejections *logger.Rejections

	mu        sync.Mutex
	upstreams []registrar.Member
	// downstreams are polled only while this VM cannot reach the store.
	downstreams []registrar.Member

	informed atomic.Bool
	started  time.Time

	// Only Watch uses the fields below.

	conn     *messageConn
	upstream registrar.Member
	retryAt  map[string]time.Time
}

// NewClient returns the client of the VM self. It calls count with the outcome of
// each request.
func NewClient(config Config, self registrar.Member, dial Dialer, eras Eras, tracker EvidenceTracker, loads LoadTracker, reports ReportTracker, timers *timer.Service,
	count func(outcome string), log *zap.Logger,
) *Client {
	return &Client{
		config: config, self: self, dial: dial, eras: eras, tracker: tracker, loads: loads, reports: reports, timers: timers, count: count, log: log,
		retryAt: make(map[string]time.Time), started: timers.Now(), rejections: logger.NewRejections(log, config.Rejected),
	}
}

// SetMembers replaces the known entry VMs.
func (c *Client) SetMembers(members []registrar.Member) {
	upstreams, downstreams := Upstreams(c.self, members), downstreams(c.self, members)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams, c.downstreams = upstreams, downstreams
}

// Rank returns the number of VMs that this VM polls before it reads from the store.
func (c *Client) Rank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.upstreams)
}

// Informed reports whether another VM answered the last poll.
func (c *Client) Informed() bool { return c.informed.Load() }

// Watch waits for changes after a position, and exchanges evidence with the VM
// that answers. It returns false if no VM answers; this process must then read
// from the store itself. If a VM no longer has the changes, Watch returns everything in the
// store.
func (c *Client) Watch(ctx context.Context, after sequencer.Position) (storer.Listing, bool) {
	c.mu.Lock()
	upstreams := c.upstreams
	c.mu.Unlock()
	return c.watch(ctx, upstreams, after)
}

// WatchAny is like Watch, but also polls the VMs that otherwise poll this one. They read from
// the store while this VM cannot reach it.
func (c *Client) WatchAny(ctx context.Context, after sequencer.Position) (storer.Listing, bool) {
	c.mu.Lock()
	upstreams := slices.Concat(c.upstreams, c.downstreams)
	c.mu.Unlock()
	return c.watch(ctx, upstreams, after)
}

func (c *Client) watch(ctx context.Context, upstreams []registrar.Member, after sequencer.Position) (storer.Listing, bool) {
	began := c.timers.Now()
	for i, m := range upstreams {
		if c.timers.Now().Sub(began) >= c.config.MaxPollTime {
			break
		}
		if c.timers.Now().Before(c.retryAt[m.Name]) {
			continue
		}
		outcome := "answered"
		listing, err := c.poll(ctx, m, after)
		if isKind(err, KindHistoryLost) {
			outcome = "snapshot"
			listing, err = c.fetch(ctx, m, after)
		}
		if err == nil {
			c.count(outcome)
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
	c.informed.Store(m.Name != "")
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
	c.retryAt[m.Name] = c.timers.Now().Add(c.retryDelay(kind))
}

// retryDelay returns the pause before a VM is polled again. A VM that says that it does not
// read costs little, and may do so soon, as may one that starts together with this one.
func (c *Client) retryDelay(kind Kind) time.Duration {
	starting := c.timers.Now().Sub(c.started) < c.config.StartTime
	if kind == KindNotReading || kind == KindUnreachable && starting {
		return c.config.NotReadingDelay
	}
	return c.config.RetryDelay
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
	request := &informerpb.Request{
		After: after.Revision, Era: after.Era, Wait: durationpb.New(c.config.Wait), Evidence: toEvidence(c.tracker.TakeEvidence()),
		Reports: toReports(c.reports.Unpublished()), Loads: toLoads(c.loads.TakeLoads()),
	}
	answer, err := c.exchange(ctx, request)
	if err != nil {
		return storer.Listing{}, err
	}
	c.eras.ObserveEra(answer.GetEra())
	c.tracker.MergeEvidence(c.timers.Now(), fromEvidence(answer.GetEvidence(), c.rejections))
	c.loads.MergeLoads(c.timers.Now(), fromLoads(answer.GetLoads()))
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
