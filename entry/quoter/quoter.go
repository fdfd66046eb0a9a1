// Package quoter exchanges tokens of the workspaces' quotas between entry VMs. The decisions
// are those of core/granter.
package quoter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/granter"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/timer"
)

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
	// Source says what decided.
	Source string
}

// Dependencies holds what a Quoter uses.
type Dependencies struct {
	Self   registrar.Member
	Dial   Dialer
	Timers *timer.Service
	// Now is a clock that goes on during a suspension, such as BootTime.
	Now   func() time.Time
	Scope tally.Scope
	Log   *zap.Logger
}

// Quoter decides which requests of callers are within the quotas of their workspaces. It is
// safe for concurrent use.
type Quoter struct {
	Dependencies
	self   granter.Member
	client *client
	// active wakes Run.
	active  chan struct{}
	metrics metrics

	mu        sync.Mutex
	node      *granter.Node
	enabled   bool
	running   bool
	addresses map[string]netip.AddrPort
	limits    map[string]granter.Limit
	events    events
}

// New returns a quoter; without bounds there are no quotas.
func New(bounds granter.Bounds, d Dependencies) *Quoter {
	q := &Quoter{
		Dependencies: d, self: granter.Member{Name: d.Self.Name, Domain: d.Self.Domain}, client: newClient(d.Dial),
		active: make(chan struct{}, 1), metrics: newMetrics(d.Scope), events: newEvents(d.Log), enabled: bounds.Window > 0,
	}
	q.node = granter.New(q.self, bounds, q.limitOf, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return q
}

// limitOf is called by the node, while mu is held.
func (q *Quoter) limitOf(workspace string) (granter.Limit, bool) {
	l, ok := q.limits[workspace]
	return l, ok
}

// SetBounds replaces the bounds.
func (q *Quoter) SetBounds(bounds granter.Bounds) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enabled = bounds.Window > 0
	q.node.SetBounds(bounds)
}

// SetMembers replaces the known entry VMs. Those of an earlier version take no part.
func (q *Quoter) SetMembers(list []registrar.Member) {
	members := make([]granter.Member, 0, len(list))
	addresses := make(map[string]netip.AddrPort, len(list))
	for _, m := range list {
		if m.QuotaAddress.IsValid() {
			members = append(members, granter.Member{Name: m.Name, Domain: m.Domain})
			addresses[m.Name] = m.QuotaAddress
		}
	}
	q.mu.Lock()
	q.addresses = addresses
	now := q.Now()
	q.node.SetMembers(now, members)
	q.configure(now)
	q.mu.Unlock()
	q.client.keep(addresses)
}

// SetWorkspaces replaces the workspaces of the configuration.
func (q *Quoter) SetWorkspaces(list []*router.Workspace) {
	limits := make(map[string]granter.Limit, len(list))
	for _, w := range list {
		if w.Rate > 0 {
			limits[w.Name] = granter.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	q.configure(q.Now())
	q.events.keep(limits)
}

// configure passes the workspaces with a quota to the node. The caller holds mu.
func (q *Quoter) configure(now time.Time) {
	names := make(container.Set[string], len(q.limits))
	for name := range q.limits {
		names.Add(name)
	}
	q.node.Configure(now, names)
	q.settle(now)
}

// settle logs changes and wakes Run if there is work. The caller holds mu.
func (q *Quoter) settle(now time.Time) {
	q.events.roles(now, q.node.TakeChanges())
	if q.running {
		return
	}
	if _, ok := q.node.NextTick(now); ok {
		select {
		case q.active <- struct{}{}:
		default:
		}
	}
}

// Take decides on a request of a workspace, which waits until the given time at most for
// tokens of another VM.
func (q *Quoter) Take(ctx context.Context, w *router.Workspace, returning bool, by time.Time) Verdict {
	if w == nil || w.Rate <= 0 {
		return Verdict{Admitted: true, Source: string(granter.SourceUnlimited)}
	}
	workspace := granter.Workspace{Name: w.Name, Limit: granter.Limit{Rate: w.Rate, Burst: w.Burst}}
	q.mu.Lock()
	if !q.enabled {
		q.mu.Unlock()
		return Verdict{Admitted: true, Source: string(granter.SourceUnlimited)}
	}
	now := q.Now()
	step := q.node.Take(now, workspace, returning)
	var renewal *granter.Send
	if step.Source == granter.SourceCredit {
		renewal = q.node.Renew(now, workspace)
	}
	q.settle(now)
	q.mu.Unlock()
	if renewal != nil {
		q.perform(renewal)
	}
	for step.Send != nil {
		step = q.await(ctx, step.Send, by)
	}
	q.record(workspace.Name, step)
	return Verdict{Admitted: step.Admitted, RetryAfter: step.RetryAfter, Source: string(step.Source)}
}

// result is the outcome of a request to another VM.
type result struct {
	answer granter.Answer
	err    error
}

// await sends an ask and returns the next step after its outcome. Tokens that arrive after
// the request has stopped waiting become credit.
func (q *Quoter) await(ctx context.Context, s *granter.Send, by time.Time) granter.Step {
	var mu sync.Mutex
	left := false
	results := make(chan result, 1)
	q.send(s, func(answer granter.Answer, err error) {
		mu.Lock()
		gone := left
		if !gone {
			results <- result{answer, err}
		}
		mu.Unlock()
		if gone {
			q.gaveUp(s, answer, err)
		}
	})
	var late <-chan time.Time
	if wait := by.Sub(q.Timers.Now()); wait < s.Timeout {
		tick := q.Timers.After(max(wait, 0))
		defer tick.Stop()
		late = tick.C
	}
	select {
	case r := <-results:
		return q.finish(s, r.answer, r.err)
	case <-late:
	case <-ctx.Done():
	}
	mu.Lock()
	left = true
	mu.Unlock()
	select {
	case r := <-results:
		return q.finish(s, r.answer, r.err)
	default:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Failed(q.Now(), s, true)
}

// gaveUp passes on the outcome of an ask whose request no longer waits.
func (q *Quoter) gaveUp(s *granter.Send, answer granter.Answer, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	if err != nil {
		q.node.Unanswered(now, s.To)
		return
	}
	q.node.GaveUp(now, s, answer)
}

// finish passes the outcome of a request on, and returns the next step.
func (q *Quoter) finish(s *granter.Send, answer granter.Answer, err error) granter.Step {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	var step granter.Step
	if err == nil {
		step = q.node.Answered(now, s, answer)
	} else {
		// A full queue of this VM says nothing about the other one.
		step = q.node.Failed(now, s, isKind(err, KindFull))
	}
	q.settle(now)
	return step
}

// perform sends a request that nothing waits for.
func (q *Quoter) perform(s *granter.Send) {
	q.send(s, func(answer granter.Answer, err error) { q.finish(s, answer, err) })
}

func (q *Quoter) send(s *granter.Send, done outcome) {
	q.mu.Lock()
	address := q.addresses[s.To]
	q.mu.Unlock()
	q.client.send(s.To, address, s.Request, s.Timeout, func(answer granter.Answer, err error) {
		q.metrics.sent(err)
		done(answer, err)
	})
}

// Return gives back the token of an admitted request that has not run. It is meant for
// requests that were admitted within MaxReturnAge.
func (q *Quoter) Return(w *router.Workspace) {
	if w == nil || w.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.enabled {
		q.node.Return(q.Now(), w.Name)
		q.metrics.returned.Inc(1)
	}
}

// MaxReturnAge bounds the time in which a token may be returned. Tokens that come back later
// would add to those granted meanwhile.
const MaxReturnAge = 100 * time.Millisecond

// Run keeps contact with other VMs while this one grants, until the context ends.
func (q *Quoter) Run(ctx context.Context) {
	tick := q.Timers.After(time.Hour)
	defer tick.Stop()
	for {
		select {
		case <-q.active:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		q.mu.Lock()
		now := q.Now()
		sends := q.node.Tick(now)
		next, ok := q.node.NextTick(now)
		q.running = ok
		q.mu.Unlock()
		if ok {
			tick.Reset(next.Sub(now))
		}
		for _, s := range sends {
			q.perform(s)
		}
	}
}

// Close ends the connections to other VMs.
func (q *Quoter) Close() { q.client.close() }

func isKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
