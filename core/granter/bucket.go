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
	// demand is what VMs were granted, and denials are the requests without a token.
	demand  demand
	denials denials
}

// purchase is what a VM asks a bucket for.
type purchase struct {
	vm string
	// wanted is the number of tokens for requests that wait, extra the credit wanted, and
	// held the credit that the VM still has.
	wanted, extra, held int
	returning           bool
}

// returningTokens is the number of tokens that must be there for a request that was refused
// before. Under overload tokens go to requests that can still be answered within their latency
// objective; callers that return would take half of them.
const returningTokens = 2

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

// fullShare is the share of the bucket that must stay full for a grant of credit. Credit that
// ends unused is lost; with half of the bucket, a random load at 0.9 of a quota of one request a
// second was refused more often than 1 in 200.
const fullShare = 0.7

// grant takes the wanted tokens as far as there are any, and some more as credit while the
// bucket is nearly full.
func (b *bucket) grant(now time.Time, p purchase, capacity, maxOutstanding float64) (granted, credit int) {
	if granted = min(p.wanted, int(b.tokens)); p.returning && b.tokens < returningTokens {
		granted = 0
	}
	b.tokens -= float64(granted)
	if granted < p.wanted || p.extra == 0 {
		return granted, 0
	}
	if l := b.lots[p.vm]; p.held < l.n {
		b.lots[p.vm] = lot{until: l.until, n: p.held}
	}
	room := math.Floor(min(b.tokens-fullShare*capacity, maxOutstanding-float64(b.outstanding(now)), float64(p.extra)))
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
func (b *bucket) wait(rate float64) time.Duration { return waitFor(1-b.tokens, rate) }

// waitFor returns how long it takes until a number of tokens has accrued.
func waitFor(tokens, rate float64) time.Duration {
	seconds := tokens / rate
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
