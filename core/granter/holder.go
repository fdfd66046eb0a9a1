package granter

import (
	"math"
	"time"
)

// holder is what a VM holds of a workspace for its own requests.
type holder struct {
	lots []lot
	// deniedUntil is the time before which the keeper has no token.
	deniedUntil time.Time
	// spread is the time over which refused callers are to return.
	spread time.Duration
	// renewingUntil is set while an ask for credit is in flight.
	renewingUntil time.Time
	// takes counts the requests of the second that began at second, before those of the
	// one before it.
	second        time.Time
	takes, before int
	reserve       reserve
	// share is the part of the granted tokens that this VM got lately, as of sharedAt.
	share    float64
	sharedAt time.Time
}

// countTake records a request.
func (h *holder) countTake(now time.Time) {
	switch age := now.Sub(h.second); {
	case age < time.Second:
	case age < 2*time.Second:
		h.second, h.before, h.takes = now, h.takes, 0
	default:
		h.second, h.before, h.takes = now, 0, 0
	}
	h.takes++
}

// desired returns how much credit the VM is likely to use while it is valid.
func (h *holder) desired() int { return min(max(h.takes, h.before), maxCredit) }

// credit returns the valid credit.
func (h *holder) credit(now time.Time) int {
	n := 0
	live := h.lots[:0]
	for _, l := range h.lots {
		if l.n > 0 && now.Before(l.until) {
			live = append(live, l)
			n += l.n
		}
	}
	h.lots = live
	return n
}

// takeCredit uses the credit that ends first, and reports false if there is none.
func (h *holder) takeCredit(now time.Time) bool {
	if h.credit(now) == 0 {
		return false
	}
	first := 0
	for i := range h.lots {
		if h.lots[i].until.Before(h.lots[first].until) {
			first = i
		}
	}
	h.lots[first].n--
	return true
}

func (h *holder) addCredit(until time.Time, n int) {
	if n > 0 {
		h.lots = append(h.lots, lot{until: until, n: n})
	}
}

// reserve is what a VM admits of a workspace while it reaches no VM that grants.
type reserve struct {
	left int
	// until is the time from which there is a new reserve: one window after the last use, so
	// that no sliding window has more than one.
	until time.Time
}

// take uses a token of the reserve, of which there are size in each window. If size is below
// one, it is the probability of one token.
func (r *reserve) take(now time.Time, window time.Duration, size, draw float64) bool {
	if !now.Before(r.until) {
		whole := math.Floor(size)
		r.left, r.until = int(whole), now.Add(window)
		if draw < size-whole {
			r.left++
		}
	}
	if r.left == 0 {
		return false
	}
	r.left--
	r.until = now.Add(window)
	return true
}
