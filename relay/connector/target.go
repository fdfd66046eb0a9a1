package connector

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/pooler"
)

// ownedTarget watches one target; its goroutine owns the state.
type ownedTarget struct {
	connector *Connector
	// config is fixed but for the allotment, which the connector's lock guards.
	config Target
	pool   *pooler.Pool
	stop   context.CancelFunc
	// poll asks for a status call at once.
	poll chan struct{}
	// leaving is guarded by the connector's lock.
	leaving bool

	// refused is when an answer last said that the target drains, in Unix
	// nanoseconds. The status may lag behind it.
	refused atomic.Int64

	state    *peerpb.TargetState
	failures int
	sequence uint64
}

// setAllotment is called with the connector's lock held.
func (o *ownedTarget) setAllotment(allotment int) {
	if allotment == o.config.Allotment {
		return
	}
	o.config.Allotment = allotment
	o.pool.SetAllotment(allotment)
	o.connector.log.Info("allotment changed", zap.String("target", o.config.Name), zap.Int("allotment", allotment))
}

// jobEnded asks for a status call when a job shows that the known state is old.
func (o *ownedTarget) jobEnded(result dispatcher.Result) {
	if result.Failure == peerpb.FailureKind_FAILURE_DRAINING {
		o.refused.Store(time.Now().UnixNano())
	}
	switch result.Failure {
	case peerpb.FailureKind_FAILURE_SNAPSHOT_GONE, peerpb.FailureKind_FAILURE_DRAINING,
		peerpb.FailureKind_FAILURE_UNREACHABLE, peerpb.FailureKind_FAILURE_LOST,
		peerpb.FailureKind_FAILURE_SILENT:
		o.pollNow()
	}
}

// pollNow asks for a status call without waiting for the next period.
func (o *ownedTarget) pollNow() {
	select {
	case o.poll <- struct{}{}:
	default:
	}
}

func (o *ownedTarget) watch(ctx context.Context) {
	o.warm(ctx)
	ticks := o.connector.timers.Every(statusPeriod)
	defer ticks.Stop()
	for {
		o.ask(ctx)
		select {
		case <-ticks.C:
		case <-o.poll:
		case <-ctx.Done():
			return
		}
	}
}

// warm opens connections before the first request needs them.
func (o *ownedTarget) warm(ctx context.Context) {
	for range warmConnections - 1 {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			// A target that does not answer yet is found by the watch.
			_, _ = o.pool.Status(ctx)
		}()
	}
}

func (o *ownedTarget) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := o.pool.Status(ctx)
	if err != nil {
		o.failures++
		if o.failures >= lostAfter && ctx.Err() != context.Canceled {
			o.publish(peerpb.TargetPhase_TARGET_PHASE_LOST, nil)
		}
		return
	}
	o.failures = 0
	o.publish(o.believe(phaseOf(status.State)), status.Snapshots)
}

// believe lets an answer that said "draining" outweigh a status of serving,
// until the status has changed or the answer is old.
func (o *ownedTarget) believe(phase peerpb.TargetPhase) peerpb.TargetPhase {
	if phase != peerpb.TargetPhase_TARGET_PHASE_SERVING {
		o.refused.Store(0)
		return phase
	}
	if time.Since(time.Unix(0, o.refused.Load())) < refusalHold {
		return peerpb.TargetPhase_TARGET_PHASE_DRAINING
	}
	return phase
}

func phaseOf(state string) peerpb.TargetPhase {
	switch state {
	case "serving":
		return peerpb.TargetPhase_TARGET_PHASE_SERVING
	case "starting":
		return peerpb.TargetPhase_TARGET_PHASE_STARTING
	case "draining":
		return peerpb.TargetPhase_TARGET_PHASE_DRAINING
	default:
		return peerpb.TargetPhase_TARGET_PHASE_UNKNOWN
	}
}

// publish announces the state if it has changed. A lost target keeps its
// snapshots, so that coverage is still stated against their shard maps.
func (o *ownedTarget) publish(phase peerpb.TargetPhase, snapshots []pooler.Snapshot) {
	// The lock orders this report before the one that releases the target.
	o.connector.mu.Lock()
	defer o.connector.mu.Unlock()
	if o.connector.owned[o.config.Address] != o {
		return
	}
	o.leaving = o.connector.isLeaving(o.config)
	if o.leaving {
		phase = peerpb.TargetPhase_TARGET_PHASE_DRAINING
	}
	next := o.report(phase, snapshots)
	if o.state != nil && proto.Equal(next, o.state) {
		return
	}
	// The start time makes sequences grow over a change of the configuration,
	// which replaces the watch.
	o.sequence = max(o.sequence+1, uint64(time.Now().UnixNano()))
	next.Sequence = o.sequence
	if o.state == nil || o.state.Phase != phase {
		o.connector.log.Info("target changed phase", zap.String("service", next.Service), zap.String("set", next.Set),
			zap.String("target", next.Target), zap.Stringer("phase", phase))
	}
	o.state = next
	o.connector.publisher.PutTarget(next)
}

// report returns the state to announce, with the sequence of the last one.
func (o *ownedTarget) report(phase peerpb.TargetPhase, snapshots []pooler.Snapshot) *peerpb.TargetState {
	next := &peerpb.TargetState{
		Service:       o.config.Service,
		Set:           o.config.Set,
		Target:        o.config.Name,
		Address:       o.config.Address.String(),
		FailureDomain: o.config.FailureDomain,
		Phase:         phase,
		Slots:         uint32(o.config.Slots),
		Snapshots:     convert(snapshots),
		Relay:         o.connector.relay,
		Incarnation:   o.connector.incarnation,
	}
	if snapshots == nil && o.state != nil {
		next.Snapshots = o.state.Snapshots
	}
	if o.state != nil {
		next.Sequence = o.state.Sequence
	}
	return next
}

func convert(snapshots []pooler.Snapshot) []*peerpb.Snapshot {
	converted := make([]*peerpb.Snapshot, len(snapshots))
	for i, s := range snapshots {
		m := &peerpb.Snapshot{Id: s.ID, Sequence: s.Sequence, Held: s.Held}
		for _, shard := range s.Shards {
			m.Shards = append(m.Shards, &peerpb.Shard{Name: shard.Name, Weight: shard.Weight})
		}
		converted[i] = m
	}
	return converted
}
