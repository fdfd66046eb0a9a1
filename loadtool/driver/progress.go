package driver

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/checker"
)

// counters holds the counts that are logged during a run.
type counters struct {
	offered, notSent, answered, notRun, unknown atomic.Int64
	inFlight                                    atomic.Int64
}

func (c *counters) count(outcome checker.Outcome) {
	switch outcome {
	case checker.OutcomeAnswered:
		c.answered.Add(1)
	case checker.OutcomeNotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

const progressPeriod = time.Second

// showProgress logs the counters every progressPeriod.
func (d *Driver) showProgress(ctx context.Context) {
	ticks := d.clock.Every(progressPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			c := &d.counters
			d.log.Info("progress",
				zap.Int64("offered", c.offered.Load()), zap.Int64("in-flight", c.inFlight.Load()),
				zap.Int64("answered", c.answered.Load()), zap.Int64("not-run", c.notRun.Load()),
				zap.Int64("unknown", c.unknown.Load()), zap.Int64("not-sent", c.notSent.Load()),
				zap.Int("queued", d.queue.Len()))
		case <-ctx.Done():
			return
		}
	}
}
