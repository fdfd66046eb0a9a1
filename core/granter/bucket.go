package granter

import (
	"math"
	"time"
)

// bucket holds the tokens of a workspace at a keeper or deputy. It starts empty.
type bucket struct {
	// at is the time up to which tokens have accrued.
	at     time.Time
	tokens float64
	// lots is the credit that VMs have been granted and may still use.
	lots map[string]lot
}

// purchase is what a VM asks a bucket for.
type purchase struct {
	vm string
	// wanted is the number of tokens for requests that wait, extra the credit wanted, and
	// held the credit that the VM still has.
	wanted, extra, held int
}

// lot is credit that ends at a time.
type lot struct {
	until time.Time
	n     int
}

// fill adds tokens up to the capacity, in which outstanding credit takes up room.
func (b *bucket) fill(now time.Time, added, capacity float64) {
	b.tokens = max(min(b.tokens+added, capacity-float64(b.outstanding(now))), min(b.tokens, 1))
	b.at = now
}

// outstanding returns the credit that may still be used.
func (b *bucket) outstanding(now time.Time) int {
	n := 0
	for vm, l := range b.lots {
		if now.Before(l.until) {
			n += l.n
		} else {
			delete(b.lots, vm)
		}
	}
	return n
}

// grant takes the wanted tokens as far as there are any, and some more as credit while the
// bucket is more than half full.
func (b *bucket) grant(now time.Time, p purchase, capacity, maxOutstanding float64) (granted, credit int) {
	granted = min(p.wanted, int(b.tokens))
	b.tokens -= float64(granted)
	if granted < p.wanted || p.extra == 0 {
		return granted, 0
	}
	if l := b.lots[p.vm]; p.held < l.n {
		b.lots[p.vm] = lot{until: l.until, n: p.held}
	}
	room := math.Floor(min(b.tokens-capacity/2, maxOutstanding-float64(b.outstanding(now)), float64(p.extra)))
	if room < 1 {
		return granted, 0
	}
	credit = int(room)
	b.tokens -= room
	if b.lots == nil {
		b.lots = make(map[string]lot)
	}
	b.lots[p.vm] = lot{until: now.Add(creditTime), n: b.lots[p.vm].n + credit}
	return granted, credit
}

// wait returns how long it takes until there is a token.
func (b *bucket) wait(rate float64) time.Duration {
	seconds := (1 - b.tokens) / rate
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
