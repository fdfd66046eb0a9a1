// Package inspector detects requests that crash targets and quarantines them for
// a limited time.
package inspector

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/container"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/timer"
)

const (
	advancePeriod = 100 * time.Millisecond
	// probeDelay lets all requests in flight at a lost target fail before it is probed.
	probeDelay = 20 * time.Millisecond
	// lossQueueSize limits the number of suspected losses waiting for a probe.
	lossQueueSize = 256
)

// Prober checks whether a target can be reached.
type Prober interface {
	Probe(ctx context.Context, target netip.AddrPort) error
}

// Network sends frames to the other relays.
type Network interface {
	Broadcast(frame *peerpb.Frame)
}

// Publisher sends quarantine entries to gateways.
type Publisher interface {
	PutQuarantine(entries []*peerpb.QuarantineEntry)
}

// Inspector observes the results of one relay's requests.
type Inspector struct {
	timers    *timer.Service
	prober    Prober
	network   Network
	publisher Publisher
	log       *zap.Logger
	losses    *buffer.Ring[string]

	mu         sync.Mutex
	state      *quarantiner.Quarantiner
	broken     quarantiner.BrokenRequests
	abandoned  quarantiner.AbandonedRuns
	lossNumber uint64
}

// New returns an inspector. SetDependencies must be called before Run.
func New(incarnation uint64, timers *timer.Service, publisher Publisher, log *zap.Logger) *Inspector {
	return &Inspector{
		timers: timers, publisher: publisher, log: log,
		losses: buffer.NewRing[string](lossQueueSize),
		state:  quarantiner.New(quarantiner.DefaultConfig()),
		// Loss numbers must differ between relays and between their incarnations.
		lossNumber: incarnation,
	}
}

// SetDependencies sets the components that are created after the inspector.
func (i *Inspector) SetDependencies(prober Prober, network Network) {
	i.prober = prober
	i.network = network
}

// Run evaluates suspected requests and probes targets until the context ends.
func (i *Inspector) Run(ctx context.Context) {
	ticks := i.timers.Every(advancePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.advance()
		case target := <-i.losses.C():
			go i.confirmLoss(ctx, target)
		case <-ctx.Done():
			return
		}
	}
}

// Quarantined reports whether a request must not be sent to any target.
func (i *Inspector) Quarantined(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Quarantined(i.timers.Now(), fingerprint) > 0
}

// Entries returns the quarantine entries in force.
func (i *Inspector) Entries() []*peerpb.QuarantineEntry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return protoEntries(i.state.Entries(i.timers.Now()))
}

// JobStarted does nothing; only the results of jobs matter.
func (i *Inspector) JobStarted(string, *dispatcher.Job) {}

// JobEnded records completions, which clear a request of suspicion, broken connections,
// which make a request suspect if its target is lost, and requests that are no longer waited
// for while their target may still run them.
func (i *Inspector) JobEnded(target string, job *dispatcher.Job, result dispatcher.Result) {
	if job.Fingerprint == 0 {
		return
	}
	now, run := i.timers.Now(), runOf(job)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case result.Outcome == peerpb.Outcome_OUTCOME_RAN:
		i.state.Completed(now, run)
		i.abandoned.Completed(run)
	case result.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN:
		if result.Failure == peerpb.FailureKind_FAILURE_UNREACHABLE && i.abandoned.Has(target) {
			// Beyond the limit, the target is probed when the next request fails.
			i.losses.Put(target)
		}
	case result.Failure == peerpb.FailureKind_FAILURE_DEADLINE, result.Failure == peerpb.FailureKind_FAILURE_CANCELLED,
		result.Failure == peerpb.FailureKind_FAILURE_SILENT:
		i.abandoned.Add(now, target, run)
	case result.Failure == peerpb.FailureKind_FAILURE_LOST:
		if i.broken.Add(now, target, run) && !i.losses.Put(target) {
			i.broken.Take(now, target)
		}
	}
}

// runOf returns the run of a job. A target of one shard may run a request that crashes the
// targets of another.
func runOf(job *dispatcher.Job) quarantiner.Run {
	return quarantiner.Run{Fingerprint: job.Fingerprint, Part: job.Service + "/" + job.Shard}
}

// confirmLoss probes a target whose connections broke. If it refuses the probe, it
// reports the requests that were in flight there, and those that had been given up.
func (i *Inspector) confirmLoss(ctx context.Context, target string) {
	if !i.timers.Sleep(ctx, probeDelay) {
		return
	}
	i.mu.Lock()
	runs, abandoned := i.broken.Take(i.timers.Now(), target), i.abandoned.Has(target)
	i.mu.Unlock()
	addr, err := netip.ParseAddrPort(target)
	if err != nil || len(runs) == 0 && !abandoned || !i.refuses(ctx, addr) {
		return
	}
	i.mu.Lock()
	runs = append(runs, i.abandoned.Take(i.timers.Now(), target)...)
	i.lossNumber++
	lost := &peerpb.LostTarget{Target: target, Loss: i.lossNumber}
	for _, run := range runs {
		lost.Fingerprints, lost.Parts = append(lost.Fingerprints, run.Fingerprint), append(lost.Parts, run.Part)
	}
	i.state.LostTarget(i.timers.Now(), lost.Target, lost.Loss, runs)
	i.mu.Unlock()
	i.log.Warn("target lost with requests in flight", zap.String("target", target), zap.Int("requests", len(runs)))
	i.network.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_LostTarget{LostTarget: lost}})
}

// refuses reports whether a target refuses connections. A silent one, or a probe that ended
// because the relay stops, says nothing.
func (i *Inspector) refuses(ctx context.Context, target netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantiner.ProbeTimeout)
	defer cancel()
	err := i.prober.Probe(ctx, target)
	return quarantiner.Refuses(err) && !errors.Is(context.Cause(ctx), context.Canceled)
}

// HandleLost applies another relay's report of a lost target.
func (i *Inspector) HandleLost(lost *peerpb.LostTarget) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state.LostTarget(i.timers.Now(), lost.Target, lost.Loss, runsOf(lost))
}

// runsOf returns the runs that a report names. A relay of an earlier version doesn't name
// their shards.
func runsOf(lost *peerpb.LostTarget) []quarantiner.Run {
	runs := make([]quarantiner.Run, len(lost.Fingerprints))
	for k, fingerprint := range lost.Fingerprints {
		runs[k].Fingerprint = fingerprint
		if k < len(lost.Parts) {
			runs[k].Part = lost.Parts[k]
		}
	}
	return runs
}

// HandleUpdate merges the quarantine entries of another relay.
func (i *Inspector) HandleUpdate(update *peerpb.QuarantineUpdate) {
	entries := make([]quarantiner.Entry, 0, len(update.Entries))
	for _, e := range update.Entries {
		entries = append(entries, quarantiner.Entry{
			Fingerprint: e.Fingerprint, Remaining: e.Remaining.AsDuration(), LostTargets: int(e.LostTargets), Parts: e.Parts,
		})
	}
	i.mu.Lock()
	changed := i.state.Merge(i.timers.Now(), entries)
	i.mu.Unlock()
	i.publish(changed)
}

func (i *Inspector) advance() {
	i.mu.Lock()
	changed := i.state.Advance(i.timers.Now())
	i.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	for _, e := range changed {
		i.log.Warn("quarantine changed", zap.String("fingerprint", quarantiner.FormatFingerprint(e.Fingerprint)),
			zap.Duration("remaining", e.Remaining), zap.Int("lost-targets", e.LostTargets))
	}
	i.network.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{
		QuarantineUpdate: &peerpb.QuarantineUpdate{Entries: protoEntries(changed)},
	}})
	i.publish(changed)
}

// publish sends the entries in force and those that were cleared to gateways.
func (i *Inspector) publish(changed []quarantiner.Entry) {
	if len(changed) == 0 {
		return
	}
	entries := i.Entries()
	inForce := container.NewSet[uint64]()
	for _, e := range entries {
		inForce.Add(e.Fingerprint)
	}
	for _, e := range changed {
		// A clearance of some parts may leave the quarantine in force.
		if e.Remaining == 0 && !inForce.Has(e.Fingerprint) {
			entries = append(entries, protoEntries([]quarantiner.Entry{e})...)
		}
	}
	i.publisher.PutQuarantine(entries)
}

func protoEntries(entries []quarantiner.Entry) []*peerpb.QuarantineEntry {
	converted := make([]*peerpb.QuarantineEntry, len(entries))
	for k, e := range entries {
		converted[k] = &peerpb.QuarantineEntry{
			Fingerprint: e.Fingerprint, Remaining: durationpb.New(e.Remaining), LostTargets: uint32(e.LostTargets), Parts: e.Parts,
		}
	}
	return converted
}
