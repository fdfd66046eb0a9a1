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
	// CancelByRequest sends a cancel request on a spare connection.
	CancelByRequest CancelMode = iota
	// CancelByClose closes the connection, which costs a new one.
	CancelByClose
)

// Variant is one form of the policy.
type Variant struct {
	Name      string
	Scatterer scatterer.Config
	Limiter   func(slots, owners int) limiter.Config
	// Admitter is nil when every query is admitted.
	Admitter *admitter.Config
	Cancel   CancelMode
	// Plain lets targets queue without bound and relays open any number of
	// connections, as the baseline needs.
	Plain bool
	// OwnLoadOnly makes an answer carry only the load of its own target.
	OwnLoadOnly bool
}

// Policy returns the policy with its constants for production.
func Policy() Variant {
	admission := admitter.DefaultConfig()
	return Variant{
		Name:      "policy",
		Scatterer: scatterer.DefaultConfig(""),
		Limiter:   limiter.DefaultConfig,
		Admitter:  &admission,
	}
}

// Without returns the policy with one mechanism switched off.
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

// Baseline returns a plain tier: a random replica, no hedge, no limit at the
// relay and no admission.
func Baseline() Variant {
	v := Policy()
	v.Name = "baseline"
	v.Plain = true
	v.Scatterer.Selector.Random = true
	v.Scatterer.Selector.MaxEjected = 0
	v.Scatterer.DisableHedges = true
	v.Limiter = unlimited
	v.Admitter = nil
	return v
}

// unlimited lets a relay send everything to the target at once.
func unlimited(slots, owners int) limiter.Config {
	c := limiter.DefaultConfig(slots, owners)
	c.Min, c.Max, c.Initial = math.MaxInt32, math.MaxInt32, math.MaxInt32
	return c
}

// shedAt returns the length of a target's queue at which it sheds. The
// baseline is measured against targets that never shed.
func (v Variant) shedAt(slots int) int {
	if v.Plain {
		return math.MaxInt32
	}
	return shedPerSlot * slots
}

// connections returns the least number of connections of a relay to a target.
func (v Variant) connections() int {
	if v.Plain {
		return plainConnections
	}
	return 1
}

const (
	shedPerSlot      = 16
	plainConnections = 10000
)
