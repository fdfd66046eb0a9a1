package granter

import (
	"math"
	"time"
)

// demand counts the tokens that each VM was granted lately.
type demand struct {
	at     time.Time
	counts map[string]float64
	total  float64
}

// demandHalfLife is the time after which a token counts half.
const demandHalfLife = 5 * time.Second

// negligibleDemand is the count below which a VM is forgotten.
const negligibleDemand = 0.01

// add counts the tokens that a VM was granted.
func (d *demand) add(now time.Time, vm string, tokens int) {
	d.decay(now)
	if d.counts == nil {
		d.counts = make(map[string]float64)
	}
	d.counts[vm] += float64(tokens)
	d.total += float64(tokens)
}

// share returns the part of all tokens that a VM was granted.
func (d *demand) share(vm string) float64 {
	if d.total <= 0 {
		return 0
	}
	return d.counts[vm] / d.total
}

func (d *demand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(d.at)) / float64(demandHalfLife))
	d.at, d.total = now, 0
	for vm, count := range d.counts {
		if count *= factor; count < negligibleDemand {
			delete(d.counts, vm)
			continue
		}
		d.counts[vm] = count
		d.total += count
	}
}

// denials counts the recent requests that a bucket had no token for.
type denials struct {
	at    time.Time
	count float64
}

// denialHalfLife is the time after which a denied request counts half. Callers that wait as
// they were told return within about that time.
const denialHalfLife = time.Second

// add counts a denied request and returns the count.
func (d *denials) add(now time.Time) float64 {
	d.count = d.count*math.Exp2(-float64(now.Sub(d.at))/float64(denialHalfLife)) + 1
	d.at = now
	return d.count
}
