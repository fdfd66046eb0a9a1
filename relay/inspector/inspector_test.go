package inspector_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/relay/inspector"
)

const (
	poison    = uint64(7)
	bystander = uint64(8)
	t1, t2    = "10.0.0.1:80", "10.0.0.2:80"
)

// fakeProber fails the probes of all targets except those in up.
type fakeProber struct{ up map[string]bool }

func (p *fakeProber) Probe(_ context.Context, target netip.AddrPort) error {
	if p.up[target.String()] {
		return nil
	}
	return errors.New("connection refused")
}

// node is a relay's inspector with its peer and the state of its gateways.
type node struct {
	*inspector.Inspector
	peer *node

	mu sync.Mutex
	// refused holds the time until which the gateways refuse each fingerprint.
	refused map[uint64]time.Time
}

func (n *node) Broadcast(frame *peerpb.Frame) {
	switch kind := frame.Kind.(type) {
	case *peerpb.Frame_LostTarget:
		n.peer.HandleLost(kind.LostTarget)
	case *peerpb.Frame_QuarantineUpdate:
		n.peer.HandleUpdate(kind.QuarantineUpdate)
	}
}

func (n *node) PutQuarantine(entries []*peerpb.QuarantineEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		n.refused[e.Fingerprint] = time.Now().Add(e.Remaining.AsDuration())
	}
}

func (n *node) gatewaysRefuse(fingerprint uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.refused[fingerprint])
}

// endJob reports the result of a job at a target.
func (n *node) endJob(target string, fingerprint uint64, failure peerpb.FailureKind) {
	n.endShardJob(target, "", fingerprint, failure)
}

// endShardJob reports the result of a job of a shard at a target.
func (n *node) endShardJob(target, shard string, fingerprint uint64, failure peerpb.FailureKind) {
	result := dispatcher.Result{Failure: failure}
	if failure == peerpb.FailureKind_FAILURE_NONE {
		result.Outcome = peerpb.Outcome_OUTCOME_RAN
	}
	n.JobEnded(target, &dispatcher.Job{Fingerprint: fingerprint, Shard: shard}, result)
}

// loseTarget breaks requests at a target and waits until the loss is detected.
func (n *node) loseTarget(target string, fingerprints ...uint64) {
	for _, f := range fingerprints {
		n.endJob(target, f, peerpb.FailureKind_FAILURE_LOST)
	}
	time.Sleep(100 * time.Millisecond)
}

// refuse reports a request that found no connection, and waits until the target is probed.
func (n *node) refuse(target string) {
	result := dispatcher.Result{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Failure: peerpb.FailureKind_FAILURE_UNREACHABLE}
	n.JobEnded(target, &dispatcher.Job{Fingerprint: bystander + 2}, result)
	time.Sleep(100 * time.Millisecond)
}

// A request that crashes several targets must be refused by all relays and
// gateways of the failure domain, and no other request may be refused.
func TestQuarantine(t *testing.T) {
	completed := peerpb.FailureKind_FAILURE_NONE
	tests := []struct {
		name string
		up   map[string]bool
		do   func(a, b *node)
		want map[uint64]bool
	}{
		{"two targets lost, seen by one relay", nil, func(a, _ *node) {
			a.loseTarget(t1, poison)
			a.loseTarget(t2, poison)
		}, map[uint64]bool{poison: true}},
		{"two targets lost, seen by two relays", nil, func(a, b *node) {
			a.loseTarget(t1, poison)
			b.loseTarget(t2, poison)
		}, map[uint64]bool{poison: true}},
		{"one loss, seen by both owners", nil, func(a, b *node) {
			a.loseTarget(t1, poison)
			b.loseTarget(t1, poison)
		}, map[uint64]bool{}},
		{"connections broke, targets are up", map[string]bool{t1: true, t2: true}, func(a, _ *node) {
			a.loseTarget(t1, poison)
			a.loseTarget(t2, poison)
		}, map[uint64]bool{}},
		{"bystander completes elsewhere", nil, func(a, b *node) {
			a.loseTarget(t1, poison, bystander)
			a.loseTarget(t2, poison, bystander)
			b.endJob("10.0.0.3:80", bystander, completed)
		}, map[uint64]bool{poison: true}},
		{"answered by the targets of another shard", nil, func(a, b *node) {
			for _, target := range []string{t1, t2} {
				b.endShardJob("10.0.0.3:80", "other", poison, completed)
				a.loseTarget(target, poison)
				b.endShardJob("10.0.0.3:80", "other", poison, completed)
			}
		}, map[uint64]bool{poison: true}},
		{"targets lost after the deadline", nil, func(a, _ *node) {
			for _, target := range []string{t1, t2} {
				a.endJob(target, poison, peerpb.FailureKind_FAILURE_DEADLINE)
				time.Sleep(time.Second)
				a.loseTarget(target, bystander+1)
			}
			a.endJob("10.0.0.3:80", bystander+1, completed)
		}, map[uint64]bool{poison: true}},
		{"target refuses connections after a request was cancelled", nil, func(a, _ *node) {
			for _, target := range []string{t1, t2} {
				a.endJob(target, poison, peerpb.FailureKind_FAILURE_CANCELLED)
				a.refuse(target)
			}
		}, map[uint64]bool{poison: true}},
		{"answered elsewhere after the deadline", nil, func(a, _ *node) {
			for _, target := range []string{t1, t2} {
				a.endJob(target, bystander, peerpb.FailureKind_FAILURE_DEADLINE)
			}
			a.endJob("10.0.0.3:80", bystander, completed)
			a.refuse(t1)
			a.refuse(t2)
		}, map[uint64]bool{}},
		{"completed after the quarantine", nil, func(a, b *node) {
			a.loseTarget(t1, poison)
			a.loseTarget(t2, poison)
			time.Sleep(3 * time.Second)
			b.endJob("10.0.0.3:80", poison, completed)
		}, map[uint64]bool{poison: false}},
		{"the period is over", nil, func(a, _ *node) {
			a.loseTarget(t1, poison)
			a.loseTarget(t2, poison)
			time.Sleep(11 * time.Minute)
		}, map[uint64]bool{poison: false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a, b := &node{refused: map[uint64]time.Time{}}, &node{refused: map[uint64]time.Time{}}
				a.peer, b.peer = b, a
				for i, n := range []*node{a, b} {
					n.Inspector = inspector.New(uint64(1000*(i+1)), timer.NewService(), n, zap.NewNop())
					n.SetDependencies(&fakeProber{test.up}, n)
				}
				go a.Run(ctx)
				go b.Run(ctx)
				test.do(a, b)
				time.Sleep(3 * time.Second)
				for name, n := range map[string]*node{"a": a, "b": b} {
					for _, fingerprint := range []uint64{poison, bystander} {
						if relay := n.Quarantined(fingerprint); relay != test.want[fingerprint] {
							t.Errorf("relay %s refuses request %d: %t", name, fingerprint, relay)
						}
						if gateways := n.gatewaysRefuse(fingerprint); gateways != test.want[fingerprint] {
							t.Errorf("gateways of relay %s refuse request %d: %t", name, fingerprint, gateways)
						}
					}
				}
			})
		})
	}
}

// A loss that does not fit into the full queue must not keep later losses of its
// target from being examined.
func TestLossQueueOverflowKeepsTargetsExamined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &node{refused: map[uint64]time.Time{}, peer: &node{refused: map[uint64]time.Time{}}}
		n.Inspector = inspector.New(1, timer.NewService(), n, zap.NewNop())
		n.peer.Inspector = inspector.New(2, timer.NewService(), n.peer, zap.NewNop())
		n.SetDependencies(&fakeProber{}, n)
		const losses = 300
		address := func(i int) string { return fmt.Sprintf("10.1.%d.%d:80", i/256, i%256) }
		for i := range losses {
			n.endJob(address(i), bystander, peerpb.FailureKind_FAILURE_LOST)
		}
		go n.Run(ctx)
		time.Sleep(time.Second)
		n.loseTarget(address(losses-1), poison)
		n.loseTarget(address(losses-2), poison)
		time.Sleep(3 * time.Second)
		if !n.Quarantined(poison) {
			t.Error("request that crashed two targets is not refused")
		}
	})
}
