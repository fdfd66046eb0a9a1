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

// ownedTarget polls the status of one target and publishes its state.
type ownedTarget struct {
	connector *Connector
	// config is immutable except for Allotment, which the connector's lock guards.
	config Target
	pool   *pooler.Pool
	stop   context.CancelFunc
	// poll requests an immediate status call.
	poll chan struct{}
	// leaving is guarded by the connector's lock.
	leaving bool

	// drainRefusedAt is the time, in Unix nanoseconds, at which the target last
	// refused work as draining. The target's status may lag behind.
	drainRefusedAt atomic.Int64

	// published is the last published state. This field and those below are used
	// only by the goroutine of pollUntilDone.
	published *peerpb.TargetState
	// failures counts consecutive failed status calls.
	failures int
	sequence uint64
}

// setAllotment resizes the connection pool. The caller holds the connector's lock.
func (o *ownedTarget) setAllotment(allotment int) {
	if allotment == o.config.Allotment {
		return
	}
	o.config.Allotment = allotment
	o.pool.SetAllotment(allotment)
	o.connector.log.Info("allotment changed", zap.String("target", o.config.Name), zap.Int("allotment", allotment))
}

// jobEnded requests a status call when a result shows that the known state is
// stale.
func (o *ownedTarget) jobEnded(result dispatcher.Result) {
	if result.Failure == peerpb.FailureKind_FAILURE_DRAINING {
		o.drainRefusedAt.Store(time.Now().UnixNano())
	}
	switch result.Failure {
	case peerpb.FailureKind_FAILURE_SNAPSHOT_GONE, peerpb.FailureKind_FAILURE_DRAINING,
		peerpb.FailureKind_FAILURE_UNREACHABLE, peerpb.FailureKind_FAILURE_LOST,
		peerpb.FailureKind_FAILURE_SILENT:
		o.pollNow()
	}
}

// pollNow requests a status call without waiting for the next period.
func (o *ownedTarget) pollNow() {
	select {
	case o.poll <- struct{}{}:
	default:
	}
}

func (o *ownedTarget) pollUntilDone(ctx context.Context) {
	o.warm(ctx)
	ticks := o.connector.timers.Every(statusPeriod)
	defer ticks.Stop()
	for {
		o.pollStatus(ctx)
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
			// Failures are detected by pollStatus.
			_, _ = o.pool.Status(ctx)
		}()
	}
}

func (o *ownedTarget) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := o.pool.Status(ctx)
	if err != nil {
		o.failures++
		if o.failures >= lostThreshold && ctx.Err() != context.Canceled {
			o.publish(peerpb.TargetPhase_TARGET_PHASE_LOST, nil)
		}
		return
	}
	o.failures = 0
	o.publish(o.effectivePhase(phaseOf(status.State)), status.Snapshots)
}

// effectivePhase returns the draining phase for a target whose status is still
// "serving" although it has recently refused work as draining. A status other
// than "serving" clears the refusal.
func (o *ownedTarget) effectivePhase(phase peerpb.TargetPhase) peerpb.TargetPhase {
	if phase != peerpb.TargetPhase_TARGET_PHASE_SERVING {
		o.drainRefusedAt.Store(0)
		return phase
	}
	if time.Since(time.Unix(0, o.drainRefusedAt.Load())) < refusalRetention {
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

// publish publishes the state if it has changed. A lost target keeps its
// snapshots, so that coverage is still computed against their shard maps.
func (o *ownedTarget) publish(phase peerpb.TargetPhase, snapshots []pooler.Snapshot) {
	// The lock ensures that no state is published after the target's release.
	o.connector.mu.Lock()
	defer o.connector.mu.Unlock()
	if o.connector.owned[o.config.Address] != o {
		return
	}
	o.leaving = o.connector.isLeaving(o.config)
	if o.leaving {
		phase = peerpb.TargetPhase_TARGET_PHASE_DRAINING
	}
	next := o.newState(phase, snapshots)
	if o.published != nil && proto.Equal(next, o.published) {
		return
	}
	// The wall clock keeps sequences increasing across a configuration change,
	// which replaces the ownedTarget.
	o.sequence = max(o.sequence+1, uint64(time.Now().UnixNano()))
	next.Sequence = o.sequence
	if o.published == nil || o.published.Phase != phase {
		o.connector.log.Info("target changed phase", zap.String("service", next.Service), zap.String("set", next.Set),
			zap.String("target", next.Target), zap.Stringer("phase", phase))
	}
	o.published = next
	o.connector.publisher.PutTarget(next)
}

// newState returns the state to publish, with the sequence of the last published
// state so that the two can be compared.
func (o *ownedTarget) newState(phase peerpb.TargetPhase, snapshots []pooler.Snapshot) *peerpb.TargetState {
	next := &peerpb.TargetState{
		Service:       o.config.Service,
		Set:           o.config.Set,
		Target:        o.config.Name,
		Address:       o.config.Address.String(),
		FailureDomain: o.config.FailureDomain,
		Phase:         phase,
		Slots:         uint32(o.config.Slots),
		Snapshots:     protoSnapshots(snapshots),
		Relay:         o.connector.relay,
		Incarnation:   o.connector.incarnation,
	}
	if snapshots == nil && o.published != nil {
		next.Snapshots = o.published.Snapshots
	}
	if o.published != nil {
		next.Sequence = o.published.Sequence
	}
	return next
}

func protoSnapshots(snapshots []pooler.Snapshot) []*peerpb.Snapshot {
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
