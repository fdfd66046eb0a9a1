package evaluator

import (
	"math"

	"jackdawcart.org/core/admitter"
	"jackdawcart.org/core/limiter"
	"jackdawcart.org/core/scatterer"
)

// CancelMode is how a running request is cancelled at a target.
type CancelMode int

// Ways to cancel a running request.
const (
	// CancelByRequest sends a cancel request on another connection.
	CancelByRequest CancelMode = iota
	// CancelByClose closes the connection, so that a new one has to be set up.
	CancelByClose
)

// Variant is one configuration of the query policy.
type Variant struct {
	Name      string
	Scatterer scatterer.Config
	Limiter   func(slots, owners int) limiter.Config
	// Admitter is nil when every query is admitted.
	Admitter *admitter.Config
	Cancel   CancelMode
	// Unbounded lets targets queue any number of requests and relays open any
	// number of connections, as the baseline needs.
	Unbounded bool
	// OwnLoadOnly makes an answer carry only the load of its own target.
	OwnLoadOnly bool
}

// Policy returns the policy with its production settings.
func Policy() Variant {
	admission := admitter.DefaultConfig()
	return Variant{
		Name:      "policy",
		Scatterer: scatterer.DefaultConfig(""),
		Limiter:   limiter.DefaultConfig,
		Admitter:  &admission,
	}
}

// Without returns the policy with one mechanism disabled.
func Without(mechanism string) Variant {
	v := Policy()
	v.Name = "no " + mechanism
	switch mechanism {
	case "selector":
		v.Scatterer.Selector.Random = true
	case "hedger":
		v.Scatterer.DisableHedges = true
	case "piggyback":
		v.OwnLoadOnly = true
	case "limiter":
		v.Limiter = unlimited
	case "admitter":
		v.Admitter = nil
	case "budget":
		v.Scatterer.Hedger.Budget = 1
	case "ramp":
		v.Scatterer.Selector.Ramp = 0
	case "ejection":
		v.Scatterer.Selector.MaxEjected = 0
	}
	return v
}

// Mechanisms lists the names that Without accepts.
func Mechanisms() []string {
	return []string{"selector", "piggyback", "hedger", "limiter", "admitter", "budget", "ramp", "ejection"}
}

// Baseline returns a variant that sends to a random replica, without hedges,
// concurrency limits at the relay or admission control.
func Baseline() Variant {
	v := Policy()
	v.Name = "baseline"
	v.Unbounded = true
	v.Scatterer.Selector.Random = true
	v.Scatterer.Selector.MaxEjected = 0
	v.Scatterer.DisableHedges = true
	v.Limiter = unlimited
	v.Admitter = nil
	return v
}

// unlimited returns a limiter configuration without a concurrency limit.
func unlimited(slots, owners int) limiter.Config {
	c := limiter.DefaultConfig(slots, owners)
	c.Min, c.Max, c.Initial = math.MaxInt32, math.MaxInt32, math.MaxInt32
	return c
}

// queueLimit returns the queue length at which a target sheds requests. The
// baseline is measured against targets that never shed.
func (v Variant) queueLimit(slots int) int {
	if v.Unbounded {
		return math.MaxInt32
	}
	return maxQueuedPerSlot * slots
}

// connections returns the minimum number of connections of a relay to a target.
func (v Variant) connections() int {
	if v.Unbounded {
		return unboundedConnections
	}
	return 1
}

const (
	maxQueuedPerSlot     = 16
	unboundedConnections = 10000
)
