// Package placer puts sub-requests on replicas: it knows what is in flight at
// each target, notices targets that have gone silent, and keeps the budget of
// repeated work of each service.
package placer

import (
	"time"

	"jackdawcart.org/core/hedger"
	"jackdawcart.org/core/selector"
)

// Config holds the constants of placing.
type Config struct {
	// Selector is the configuration of the choice between replicas.
	Selector selector.Config
	// Hedger is the configuration of the delay before work is sent again.
	Hedger hedger.Config
	// SilentFactor is the multiple of a target's usual latency without any sign
	// of life after which it counts as silent.
	SilentFactor float64
	// SilentFloor is the shortest silence that counts. Below it the scheduling
	// of the own process looks like silence.
	SilentFloor time.Duration
	// DelayShare bounds the delay of a hedge as a share of the aim, so that the
	// second answer can still be in time.
	DelayShare float64
	// BudgetShare is the part of the allowed ratio of repeated work that is
	// used; the rest covers the difference between the windows of the judge and
	// of the process.
	BudgetShare float64
	// HedgeReserve is the share of the budget beyond one repeat that hedges leave
	// to repeats of answers that will not come.
	HedgeReserve float64
	// FailingRate is the rate of failures from which a target is avoided while
	// another one has at most half of it.
	FailingRate float64
	// FailingLife is the time in which half of a rate of failures is forgotten,
	// so that the target is tried again.
	FailingLife time.Duration
	// ConnectionShare is the part of a target's connections that the entry VMs
	// use together; the rest covers views of their number that differ.
	ConnectionShare float64
	// KeptShare is the part of a target's connections that stays open between
	// requests. When all entry VMs lose power at once, a target counts their
	// former connections until it finds them idle, and the new ones need as
	// many again.
	KeptShare float64
	// UnkeptPenalty multiplies the score of a target without a kept connection
	// where all targets are in other failure domains. A new connection takes a
	// third of the work of a short request.
	UnkeptPenalty float64
	// LingerMost is how long a connection that is not kept would stay open
	// between requests if each VM could have one to each target. Hedges to a
	// target come every ten seconds or so from each VM.
	LingerMost time.Duration
	// LingerLeast is the same while there is no room, long enough for the next
	// requests of a burst.
	LingerLeast time.Duration
	// Settling is the time after the start in which connections stay open for
	// the least time: targets may still count the connections of the process
	// before, for as long as they keep idle ones.
	Settling time.Duration
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	choice := selector.DefaultConfig()
	// Bytes between failure domains are priced, so a near replica is used until
	// it is clearly slower.
	choice.RemotePenalty = 2
	// Latencies are given relative to those of the route, so a target is slow
	// from a small multiple on. Four in a row are no chance and no pause, which
	// two or three requests meet.
	choice.InitialLatency = relativeLatency
	choice.OutlierFactor = 3
	choice.EjectLate = 4
	choice.EjectAgain = 1
	choice.EjectMax = 4 * time.Second
	// All but one of three replicas may be slow.
	choice.MaxEjected = 0.67
	delay := hedger.DefaultConfig()
	delay.Quantile = 95
	return Config{
		Selector:        choice,
		Hedger:          delay,
		SilentFactor:    2.5,
		SilentFloor:     8 * time.Millisecond,
		DelayShare:      0.3,
		BudgetShare:     0.9,
		HedgeReserve:    0.25,
		FailingRate:     0.1,
		FailingLife:     3 * time.Second,
		ConnectionShare: 0.85,
		KeptShare:       0.45,
		UnkeptPenalty:   1.3,
		LingerMost:      8 * time.Second,
		LingerLeast:     300 * time.Millisecond,
		Settling:        10 * time.Second,
	}
}

// relativeLatency stands for the usual latency of a route in what the choice
// between replicas is told, so that routes with short and with long work can be
// compared.
const relativeLatency = 10 * time.Millisecond

// Limits are the bounds that the tier shares between its entry VMs.
type Limits struct {
	// RepeatRatio is the share of a service's requests that may be sent again.
	RepeatRatio float64
	// RepeatExtra is the number of requests that may be sent again besides, in
	// each window and over all entry VMs.
	RepeatExtra float64
	// RepeatWindow is the length of that window.
	RepeatWindow time.Duration
	// EntryVMs is the number of entry VMs that share the bounds.
	EntryVMs int
	// Domains is the number of failure domains.
	Domains int
}
