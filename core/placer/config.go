// Package placer chooses a target for each sub-request. It tracks the
// requests in flight and the health of each target, detects silent targets,
// and limits the repeats (retries and hedges) of each service to a budget.
package placer

import (
	"time"

	"jackdawcart.org/core/hedger"
	"jackdawcart.org/core/pacer"
	"jackdawcart.org/core/selector"
)

// Config holds the parameters of placement.
type Config struct {
	// Selector configures the choice between replicas.
	Selector selector.Config
	// Hedger configures the delay before a hedge.
	Hedger hedger.Config
	// Pacer configures the pace towards targets that have named a limit.
	Pacer pacer.Config
	// Slots configures the requests to cold targets.
	Slots pacer.SlotConfig
	// SilentFactor is the multiple of a target's mean latency after which the
	// target, if it has sent no answer, counts as silent.
	SilentFactor float64
	// MinSilence is the lower bound of the time without an answer after which
	// a target counts as silent. Shorter gaps can be caused by scheduling
	// delays of this process.
	MinSilence time.Duration
	// HedgeDelayShare bounds the hedge delay to a share of the route's latency
	// objective, so that the hedge can still be answered in time.
	HedgeDelayShare float64
	// MinHedgeShare is the share of the route's latency objective before which no
	// hedge is sent; 0 means no bound. Routes share the budget of a service: a
	// request with 120 ms left needs no hedge after 10 ms, and one with 40 ms finds
	// no budget then.
	MinHedgeShare float64
	// BudgetShare is the part of the allowed repeat ratio that is used. The
	// rest covers the difference between the windows of this process and
	// those in which the ratio is checked from outside.
	BudgetShare float64
	// HedgeReserve is the share of the budget beyond one repeat that hedges
	// leave to repeats of requests that will get no answer.
	HedgeReserve float64
	// AvoidFailureRate is the failure rate above which a target is avoided
	// while another one has at most half of its rate.
	AvoidFailureRate float64
	// FailureHalfLife is the half-life of a failure rate without new results,
	// after which an avoided target is tried again.
	FailureHalfLife time.Duration
	// ConnectionShare is the part of a target's connection limit that the
	// entry VMs use together. The rest is a margin for entry VMs that
	// disagree on their number.
	ConnectionShare float64
	// KeptShare is the part of a target's connection limit that stays open
	// between requests. When all entry VMs lose power at once, a target
	// counts their former connections until it finds them idle, and the new
	// connections need as many again.
	KeptShare float64
	// UnkeptPenalty multiplies the score of a target without a kept
	// connection if all targets are in other failure domains. Opening a
	// connection costs a third of the work of a short request.
	UnkeptPenalty float64
	// FullIdleTimeout is the idle timeout of a connection that is not kept,
	// if the target has one spare connection for each VM that keeps none to
	// it. With more, the timeout scales with the spare connections per such VM;
	// with fewer, it is the upper bound. Each VM sends a hedge to a target about
	// every ten seconds.
	FullIdleTimeout time.Duration
	// MinIdleTimeout is the lower bound of the idle timeout, used if the target
	// has no spare connections. It covers the next requests of a burst.
	MinIdleTimeout time.Duration
	// StartupPeriod is the time after the first request in which connections
	// that are not kept get MinIdleTimeout: targets may still count the
	// connections of the previous process until their own idle timeout closes
	// them.
	StartupPeriod time.Duration
	// CountPeriod is the time without a change after which the number of entry VMs counts
	// as known during the startup period. VMs that start together are announced within
	// about two seconds.
	CountPeriod time.Duration
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	selection := selector.DefaultConfig()
	// Traffic between failure domains costs money, so a local replica is used
	// until it is clearly slower.
	selection.RemotePenalty = 2
	// Latencies are normalized by the route, so a small multiple already
	// means a slow target. A short pause of a target affects two or three
	// requests in a row; four are neither chance nor a pause.
	selection.InitialLatency = normalizedLatency
	selection.OutlierFactor = 3
	selection.EjectAfterLate = 4
	selection.EjectAgainAfterLate = 1
	selection.MaxEjectTime = 4 * time.Second
	// Two of three replicas may be slow at the same time.
	selection.MaxEjected = 0.67
	hedging := hedger.DefaultConfig()
	hedging.Quantile = 95
	return Config{
		Selector:         selection,
		Hedger:           hedging,
		Pacer:            pacer.DefaultConfig(),
		Slots:            pacer.DefaultSlotConfig(),
		SilentFactor:     2.5,
		MinSilence:       8 * time.Millisecond,
		HedgeDelayShare:  0.3,
		BudgetShare:      0.9,
		HedgeReserve:     0.25,
		AvoidFailureRate: 0.1,
		FailureHalfLife:  3 * time.Second,
		ConnectionShare:  0.85,
		KeptShare:        0.45,
		UnkeptPenalty:    1.3,
		FullIdleTimeout:  8 * time.Second,
		MinIdleTimeout:   300 * time.Millisecond,
		StartupPeriod:    10 * time.Second,
		CountPeriod:      2 * time.Second,
	}
}

// normalizedLatency is the value that the mean latency of each route maps to
// in the selector, so that latencies of routes with short and long work are
// comparable.
const normalizedLatency = 10 * time.Millisecond

// Limits are the bounds that the entry VMs share.
type Limits struct {
	// RepeatRatio is the share of a service's requests that may be sent again.
	RepeatRatio float64
	// RepeatExtra is the number of requests that may be sent again in
	// addition, in each window and across all entry VMs.
	RepeatExtra float64
	// RepeatWindow is the length of the window in which repeats are counted.
	RepeatWindow time.Duration
	// ColdOverage and ColdSlack bound the requests that all VMs together send to a
	// cold target in each second: the rate of its service times the overage, and the
	// slack. Overage 0 means no limit.
	ColdOverage, ColdSlack float64
	// EntryVMs is the number of entry VMs that share the bounds.
	EntryVMs int
	// Uncounted is true while EntryVMs is an assumption.
	Uncounted bool
	// VMsByDomain is the number of entry VMs in each failure domain; nil if unknown.
	VMsByDomain map[string]int
	// Domains is the number of failure domains.
	Domains int
}
