package pacer

import (
	"math"
	"time"
)

// SlotConfig holds the parameters of slots.
type SlotConfig struct {
	// Window is the time from the beginning of a slot in which its request may be sent. Of
	// the processes that have a request at the same time, as when another target fails, only
	// those in their window send it.
	Window time.Duration
	// Deviations is the number of standard deviations by which the requests of a second stay
	// below the bound. The slots of the processes begin at random times.
	Deviations float64
}

// DefaultSlotConfig returns the parameters used in production.
func DefaultSlotConfig() SlotConfig {
	return SlotConfig{Window: 250 * time.Millisecond, Deviations: 4}
}

// PerSecond returns the sum of the rates of all processes, whose slots begin at random
// times, such that hardly any second has more requests than allowed.
func (c SlotConfig) PerSecond(allowed float64) float64 {
	if allowed <= 0 {
		return 0
	}
	// A second touches the windows of mean slots, in a Poisson distribution:
	// mean + Deviations x sqrt(mean) = allowed.
	root := (math.Sqrt(c.Deviations*c.Deviations+4*allowed) - c.Deviations) / 2
	return root * root / (1 + c.Window.Seconds())
}

// Slots spaces out the requests of one process to a target that all processes together may
// send a small number of requests in each second. Unlike those of State, unused requests
// are not kept. It is not safe for concurrent use.
type Slots struct {
	interval time.Duration
	// first is the beginning of the first slot, and taken the number of the last one whose
	// request was sent, counted from one.
	first time.Time
	taken int64
}

// maxSlot bounds the length of a slot. It is far longer than a cold start: with a minute, 95
// VMs with a small share would add 1.6 requests a second to a bound of 8.
const maxSlot = time.Hour

// SetRate sets the requests a second of this process. If they differ from before, the next
// slot begins at a random time within its length; draw is a random number in [0, 1).
func (s *Slots) SetRate(now time.Time, perSecond, draw float64) {
	interval := maxSlot
	if perSecond > 1/maxSlot.Seconds() {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	if interval == s.interval {
		return
	}
	s.interval, s.taken = interval, 0
	s.first = now.Add(time.Duration(draw * float64(interval)))
}

// Open reports whether a request may be sent.
func (s *Slots) Open(config SlotConfig, now time.Time) bool {
	since := now.Sub(s.first)
	return since >= 0 && s.number(now) != s.taken && since%s.interval < config.Window
}

// Take counts a request.
func (s *Slots) Take(now time.Time) { s.taken = s.number(now) }

func (s *Slots) number(now time.Time) int64 { return 1 + int64(now.Sub(s.first)/s.interval) }
