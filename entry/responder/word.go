package responder

import (
	"go.uber.org/zap"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/entry/courier"
)

// observeWord passes on what the answer of a target says about the requests that it wants,
// and logs a change. The answer of another target at its address says nothing about it.
func (r *Responder) observeWord(placed placer.Placement, got courier.Reply) {
	if got.Status == 0 || got.Answer.WrongTarget {
		return
	}
	r.observeLeaving(placed.Record, got)
	r.observePause(placed, got)
	r.observeLimit(placed, got)
}

// observeLeaving records that a target leaves. Requests that wait for a connection to it go
// elsewhere.
func (r *Responder) observeLeaving(record registrar.Record, got courier.Reply) {
	if !got.Answer.Leaving || !r.Placer.ObserveLeaving(record) {
		return
	}
	r.Pools.Retire(record.ID)
	r.metrics.scope.Counter("targets_leaving").Inc(1)
	r.log.Info("target says that it leaves", zap.String("target", record.ID), zap.String("service", record.Service), zap.Time("born", record.Born))
}

// observePause records the pause that a target asks for with a refusal. Requests that wait
// for a connection to it go elsewhere.
func (r *Responder) observePause(placed placer.Placement, got courier.Reply) {
	if got.Answer.PauseMalformed {
		r.metrics.scope.Counter("pauses_malformed").Inc(1)
	}
	if got.Answer.Pause == 0 || !r.Placer.ObservePause(r.Timers.Now(), placed, got.Answer.Pause) {
		return
	}
	r.Pools.FailQueued(placed.Record.ID)
	r.metrics.scope.Counter("pauses_observed").Inc(1)
	r.log.Info("target asks for a pause", zap.String("target", placed.Record.ID), zap.String("service", placed.Record.Service),
		zap.Duration("pause", got.Answer.Pause))
}

// observeLimit records the limit that a target names, or no longer names.
func (r *Responder) observeLimit(placed placer.Placement, got courier.Reply) {
	if got.Answer.LimitMalformed || !r.Placer.ObserveLimit(r.Timers.Now(), placed, got.Answer.Limit) {
		return
	}
	r.log.Info("target limit", zap.String("target", placed.Record.ID), zap.String("service", placed.Record.Service),
		zap.Bool("named", got.Answer.Limit.Named), zap.Float64("per-second", got.Answer.Limit.PerSecond))
}
