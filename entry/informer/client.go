package informer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// Dialer opens connections to other VMs.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Client asks other VMs of the failure domain. Watch is called by one goroutine.
type Client struct {
	config Config
	self   registrar.Member
	dial   Dialer
	judge  Judging
	timers *timer.Service
	count  func(outcome string)
	log    *zap.Logger

	mu      sync.Mutex
	seniors []registrar.Member

	// Only Watch uses the fields below.
	conn     *wire
	informer registrar.Member
	avoid    map[string]time.Time
}

// NewClient returns a client of the VM self; count hears how each request ended.
func NewClient(config Config, self registrar.Member, dial Dialer, judge Judging, timers *timer.Service,
	count func(outcome string), log *zap.Logger,
) *Client {
	return &Client{
		config: config, self: self, dial: dial, judge: judge, timers: timers, count: count, log: log,
		avoid: make(map[string]time.Time),
	}
}

// SetMembers takes over the entry VMs that are known.
func (c *Client) SetMembers(members []registrar.Member) {
	seniors := Seniors(c.self, members)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seniors = seniors
}

// Watch asks for the changes after a revision, and exchanges evidence. It
// reports false if no VM answers, so that the own process has to read.
func (c *Client) Watch(ctx context.Context, after uint64) (storer.Listing, bool) {
	c.mu.Lock()
	seniors := c.seniors
	c.mu.Unlock()
	for i, m := range seniors {
		if c.timers.Now().Before(c.avoid[m.Name]) {
			continue
		}
		listing, err := c.ask(ctx, m, after)
		if err == nil {
			c.count("answered")
			c.relyOn(m, after)
			if i == 0 {
				// Nobody else is asked while the first one answers.
				clear(c.avoid)
			}
			return listing, true
		}
		if ctx.Err() != nil {
			return storer.Listing{}, false
		}
		c.lose(m, err)
	}
	c.relyOn(registrar.Member{}, after)
	return storer.Listing{}, false
}

// relyOn notes which VM answers, the zero value for none.
func (c *Client) relyOn(m registrar.Member, revision uint64) {
	if m.Name == c.informer.Name {
		return
	}
	c.log.Info("informing VM", zap.String("before", c.informer.Name), zap.String("now", m.Name), zap.Uint64("revision", revision))
	c.informer = m
}

func (c *Client) lose(m registrar.Member, err error) {
	kind := KindUnanswered
	var e *Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	c.count(string(kind))
	if m.Name == c.informer.Name {
		c.log.Warn("informing VM lost", zap.String("peer", m.Name), zap.Error(err))
	}
	c.hangUp()
	c.avoid[m.Name] = c.timers.Now().Add(c.config.Avoid)
}

func (c *Client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Close ends the connection to the informing VM.
func (c *Client) Close() { c.hangUp() }

// ask exchanges one request and answer with a VM.
func (c *Client) ask(ctx context.Context, m registrar.Member, after uint64) (storer.Listing, error) {
	if err := c.connect(ctx, m); err != nil {
		return storer.Listing{}, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
	}
	conn := c.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// It fails on a closed connection only, and writing says so.
	_ = conn.SetDeadline(time.Now().Add(c.config.Wait + c.config.Answer))
	request := &informerpb.Request{
		After: after, Wait: durationpb.New(c.config.Wait), Evidence: toEvidence(c.judge.TakeEvidence()),
	}
	if err := conn.write(request); err != nil {
		return storer.Listing{}, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	var answer informerpb.Answer
	if err := conn.read(&answer); err != nil {
		return storer.Listing{}, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	c.judge.MergeEvidence(c.timers.Now(), fromEvidence(answer.GetEvidence()))
	switch answer.GetState() {
	case informerpb.State_STATE_READING:
		return storer.Listing{Items: fromItems(answer.GetItems()), Revision: max(answer.GetRevision(), after)}, nil
	case informerpb.State_STATE_HISTORY_LOST:
		return storer.Listing{}, &Error{Op: "ask", Kind: KindHistoryLost}
	default:
		return storer.Listing{}, &Error{Op: "ask", Kind: KindNotReading}
	}
}

// connect keeps the connection to the VM that was asked last.
func (c *Client) connect(ctx context.Context, m registrar.Member) error {
	if c.conn != nil && c.conn.RemoteAddr().String() == m.Address.String() {
		return nil
	}
	c.hangUp()
	ctx, cancel := context.WithTimeout(ctx, c.config.Dial)
	defer cancel()
	conn, err := c.dial(ctx, m.Address)
	if err != nil {
		return err
	}
	c.conn = newWire(conn, c.config.MaxFrame)
	return nil
}
