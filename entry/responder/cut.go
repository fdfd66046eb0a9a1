package responder

import (
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/entry/courier"
)

// checkCut reports whether this VM is cut off from all targets, and logs when that begins.
func (r *Responder) checkCut(now time.Time) bool {
	cutOff, isNew := r.Detector.CutOff(now)
	if isNew {
		r.log.Warn("cut off from all targets")
		r.metrics.scope.Counter("cuts_from_targets").Inc(1)
	}
	return cutOff
}

// heard records that a target has answered.
func (r *Responder) heard(got courier.Reply) {
	if got.Status == 0 {
		return
	}
	if cut, ended := r.Detector.Heard(r.Timers.Now()); ended {
		r.log.Info("targets answer again", zap.Duration("cut", cut))
	}
}
