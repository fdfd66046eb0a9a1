// Package diverter decides when an entry VM passes requests to another VM, because it is
// cut off from the targets itself, and to which one.
package diverter

import (
	"sync"
	"time"
)

const (
	// maxSilence is how long targets may leave sub-requests unanswered while no other target
	// answers either. It exceeds the pauses of single targets.
	maxSilence = 200 * time.Millisecond
	// minSilentTargets is the number of targets that have to be silent at the same time.
	// A few targets may be slow or down together.
	minSilentTargets = 3
)

// Detector decides whether this VM is cut off from all targets: several of them are silent
// and none has answered since. A target that is down or slow is silent alone, and its
// neighbours' answers end the suspicion. It is safe for concurrent use.
type Detector struct {
	mu sync.Mutex
	// waiting holds when the first sub-request since the last answer of any target was
	// sent to each target.
	waiting map[string]time.Time
	// cutOffAt is when the VM turned out to be cut off, zero while it is not.
	cutOffAt time.Time
}

// NewDetector returns the detector of a VM that is not cut off.
func NewDetector() *Detector { return &Detector{waiting: make(map[string]time.Time)} }

// Sent records a sub-request to a target.
func (d *Detector) Sent(now time.Time, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[target]; !ok {
		d.waiting[target] = now
	}
}

// Heard records an answer of any target. If it ends a cut, Heard returns the length of the
// cut and true.
func (d *Detector) Heard(now time.Time) (cut time.Duration, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.waiting)
	if d.cutOffAt.IsZero() {
		return 0, false
	}
	cut = now.Sub(d.cutOffAt)
	d.cutOffAt = time.Time{}
	return cut, true
}

// CutOff reports whether the VM is cut off, and whether that is new.
func (d *Detector) CutOff(now time.Time) (cutOff, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.cutOffAt.IsZero() {
		return true, false
	}
	silent := 0
	for _, sent := range d.waiting {
		if now.Sub(sent) >= maxSilence {
			silent++
		}
	}
	if silent < minSilentTargets {
		return false, false
	}
	d.cutOffAt = now
	return true, true
}
