// Package delegator passes whole requests of callers to other entry VMs, while this VM
// cannot reach the targets itself.
//
// A request is passed on once: a VM that takes requests of others serves them itself or says
// that it cannot, without having run them. Then the next VM is asked.
package delegator

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/courier"
)

const (
	// maxVMs is the number of VMs that are asked to take a request.
	maxVMs = 6
	// connectTimeout is how long a request waits for a connection to a VM before the next
	// one is asked. It covers opening a connection between failure domains.
	connectTimeout = 60 * time.Millisecond
	// maxConnections limits the connections to each VM.
	maxConnections = 32
	// idleTimeout is how long an idle connection to a VM stays open.
	idleTimeout = 10 * time.Second
)

// Request is a request of a caller that has not been sent to any target.
type Request struct {
	Method, ID string
	// Head returns the request line and the headers, with hop among them and left as the
	// remaining time in the deadline header.
	Head     func(hop http.Header, left time.Duration) []byte
	Body     []byte
	Arrived  time.Time
	Deadline time.Time
	// MaxBodyBytes limits the body of the answer.
	MaxBodyBytes int64
	// Version is that of the configuration in force on this VM.
	Version int64
	// Key is the digest of the caller's key, if it was authorized by one.
	Key container.Option[router.KeyDigest]
	// Allowed reports whether a VM in a failure domain may handle the request. If it is nil,
	// all may.
	Allowed func(domain string) bool
}

// Outcome is how a request ended that was passed on.
type Outcome struct {
	// VM is the name of the VM that took the request, empty if none did. Then the request
	// has not run.
	VM string
	// Asked is the number of VMs that were asked.
	Asked int
	// Reply is the answer of the VM. Its Err is set if there is none, and the request may
	// have run.
	Reply courier.Reply
	// CallerLeft is set if the caller left before the answer.
	CallerLeft bool
}

// Delegator passes requests to other VMs. It is safe for concurrent use.
type Delegator struct {
	self       registrar.Member
	neighbours *diverter.Neighbours
	pools      *courier.Pools
	timers     *timer.Service
	// version is the newest configuration by which another VM has served a request.
	version atomic.Int64
}

// New returns the delegator of the VM self, which knows no other VMs at first.
func New(self registrar.Member, dial courier.Dialer, timers *timer.Service) *Delegator {
	return &Delegator{
		self: self, neighbours: diverter.NewNeighbours(self), timers: timers,
		pools: courier.New(dial, courier.Hooks{}),
	}
}

// SetMembers replaces the known entry VMs.
func (d *Delegator) SetMembers(members []registrar.Member) { d.neighbours.SetMembers(members) }

// Close closes the connections to the other VMs as they become idle.
func (d *Delegator) Close() { d.pools.Close() }

// Version returns the newest configuration by which another VM has served a request of
// this one. Callers of this VM must not be served by an older one again.
func (d *Delegator) Version() int64 { return d.version.Load() }

// Delegate passes a request to one VM after the other until one takes it. After the caller
// has left, the answer has the grace period to arrive, which keeps its connection open.
func (d *Delegator) Delegate(ctx context.Context, r Request, grace time.Duration) Outcome {
	var outcome Outcome
	tried := d.neighbours.Outside(r.Allowed)
	for outcome.Asked < maxVMs {
		m, ok := d.neighbours.Choose(d.timers.Now(), tried)
		if !ok {
			return outcome
		}
		tried.Add(m.Name)
		outcome.Asked++
		reply, callerLeft := d.ask(ctx, m, r, grace)
		if callerLeft {
			outcome.VM, outcome.CallerLeft = m.Name, true
			return outcome
		}
		if left := takeStopping(reply.Header); left > 0 {
			d.neighbours.AvoidFor(d.timers.Now(), m.Name, left)
		}
		unavailable := reply.Header.Get(headerUnavailable)
		if reply.Err != nil || unavailable != "" && unavailable != ReasonUnreachable {
			d.neighbours.Avoid(d.timers.Now(), m.Name)
		}
		if reply.Result == placer.Unsent || unavailable != "" {
			continue
		}
		if reply.Err == nil {
			d.neighbours.Took(d.timers.Now(), m.Name)
		}
		d.observeVersion(takeVersion(reply.Header))
		outcome.VM, outcome.Reply = m.Name, reply
		return outcome
	}
	return outcome
}

func (d *Delegator) observeVersion(version int64) {
	for {
		known := d.version.Load()
		if version <= known || d.version.CompareAndSwap(known, version) {
			return
		}
	}
}

// ask sends a request to a VM and waits for the answer, or until the caller leaves.
func (d *Delegator) ask(ctx context.Context, m registrar.Member, r Request, grace time.Duration) (reply courier.Reply, callerLeft bool) {
	replies := make(chan courier.Reply, 1)
	hop := Hop{VM: d.self.Name, MinVersion: max(r.Version, d.Version()), Elapsed: d.timers.Now().Sub(r.Arrived), Key: r.Key}
	pool := d.pools.Pool(m.Name, m.RequestAddress, courier.Options{MaxOpen: maxConnections, IdleTimeout: idleTimeout})
	exchange := pool.Send(d.timers.Now(), courier.Request{
		Method: r.Method, RequestID: r.ID, Body: r.Body, Deadline: r.Deadline, MaxBodyBytes: r.MaxBodyBytes, AnyAnswer: true,
		Head: func(left time.Duration) []byte { return r.Head(hop.header(), left) },
	}, func(got courier.Reply) { replies <- got })
	connect := d.timers.After(connectTimeout)
	defer connect.Stop()
	for {
		select {
		case reply := <-replies:
			return reply, false
		case <-connect.C:
			// A request that is cancelled has its reply at once.
			exchange.Cancel()
		case <-ctx.Done():
			exchange.Abandon(d.timers.Now(), grace)
			return courier.Reply{}, true
		}
	}
}
