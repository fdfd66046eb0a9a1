// Package inspector recognises requests that crash targets and shares them with the
// other entry VMs.
//
// A loss that this VM observes is published in the platform's store, from which all VMs
// read it; VMs of the same failure domain also exchange the losses that are not yet in
// the store. Each VM decides for itself from the losses that it knows.
package inspector

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/timer"
)

const (
	// activePeriod is the interval between evaluations within activeTime of the last
	// event, and idlePeriod the one after it. Each wake-up costs processor time.
	activePeriod = 100 * time.Millisecond
	idlePeriod   = 5 * time.Second
	activeTime   = 3 * time.Second
	// settleTime is the time in which a request that only shared a target with a poison
	// request is usually answered by another target. After it a loss is published.
	settleTime = 300 * time.Millisecond
	// relayDelay is the time after which a loss that another VM of the failure domain
	// reported is published by this one, because the other one cannot.
	relayDelay = time.Second
	// maxProbes limits the targets that are probed at a time.
	maxProbes = 256
	// maxExplainTime is how long a request waits to know what became of a target: several
	// round trips between failure domains.
	maxExplainTime = 50 * time.Millisecond
	// lostTargetTime is how long a lost target is remembered, for requests whose connections
	// break after its probe.
	lostTargetTime = 5 * time.Second
)

// Dialer opens connections to targets.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Inspector holds the quarantines of an entry VM. It is safe for concurrent use.
type Inspector struct {
	dial   Dialer
	timers *timer.Service
	scope  tally.Scope
	log    *zap.Logger
	// rejections records invalid reports of others.
	rejections *logger.Rejections
	// probes has an element for each running probe.
	probes chan struct{}
	// active is signalled when something has to be evaluated soon, due when there are
	// reports to publish.
	active, due chan struct{}

	mu      sync.Mutex
	state   *quarantiner.Quarantiner
	broken  quarantiner.BrokenRequests
	reports *quarantiner.Reports
	// abandoned holds the runs that were given up, and abandonedAt their targets by ID.
	abandoned   quarantiner.AbandonedRuns
	abandonedAt map[string]abandonedTarget
	// waiting holds the callbacks of the requests that broke, by the incarnation of their
	// target.
	waiting map[string][]func(crashed bool)
	// lostAt holds when targets were found to be lost, by incarnation.
	lostAt map[string]time.Time
	// activeUntil is the end of the frequent evaluations.
	activeUntil time.Time
}

// New returns an inspector without quarantines.
func New(dial Dialer, timers *timer.Service, scope tally.Scope, log *zap.Logger) *Inspector {
	return &Inspector{
		dial: dial, timers: timers, scope: scope, log: log,
		rejections: newRejections(scope, log),
		probes:     make(chan struct{}, maxProbes),
		active:     make(chan struct{}, 1),
		due:        make(chan struct{}, 1),
		state:      quarantiner.New(quarantiner.DefaultConfig()),
		reports:    quarantiner.NewReports(), abandonedAt: make(map[string]abandonedTarget),
		waiting: make(map[string][]func(bool)), lostAt: make(map[string]time.Time),
	}
}

// Quarantined returns the remaining time of a request's quarantine, or zero if it may be
// sent to targets.
func (i *Inspector) Quarantined(fingerprint uint64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Quarantined(i.timers.Now(), fingerprint)
}

// SuspectedParts returns the services whose targets were lost under a request and have not
// answered it since.
func (i *Inspector) SuspectedParts(fingerprint uint64) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.SuspectedParts(fingerprint)
}

// Completed records that a target has run a request to its end.
func (i *Inspector) Completed(target registrar.Record, fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, run := i.timers.Now(), runOf(target, fingerprint)
	if i.state.Suspected(run) {
		i.log.Info("suspicion ended by a completed run", zap.String("fingerprint", quarantiner.FormatFingerprint(fingerprint)),
			zap.String("target", target.ID), zap.String("service", target.Service))
		i.setActive(now)
	}
	i.state.Completed(now, run)
	i.abandoned.Completed(run)
	i.recordHeard(target)
}

// runOf returns the run of a request at a target. A target of one service may run a request
// that crashes the targets of another.
func runOf(target registrar.Record, fingerprint uint64) quarantiner.Run {
	return quarantiner.Run{Fingerprint: fingerprint, Part: target.Service}
}

// setActive makes Run evaluate the state frequently for a while. The caller holds mu.
func (i *Inspector) setActive(now time.Time) {
	i.activeUntil = now.Add(activeTime)
	signal(i.active)
}

// signal wakes the receiver of a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Broke records that the connection to a target ended while it may have run a request.
// explain is called soon with whether the target is known to have crashed.
func (i *Inspector) Broke(target registrar.Record, fingerprint uint64, explain func(crashed bool)) {
	key, run := incarnation(target), runOf(target, fingerprint)
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.timers.Now()
	if _, lost := i.lostAt[key]; lost {
		i.recordLostRuns(now, key, []quarantiner.Run{run})
		go explain(true)
		return
	}
	i.waiting[key] = append(i.waiting[key], explain)
	if i.broken.Add(now, key, run) && !i.startProbe(target) {
		i.broken.Take(now, key)
		go i.explain(key, false)
	}
}

// startProbe probes a target in the background, unless too many probes are running.
func (i *Inspector) startProbe(target registrar.Record) bool {
	select {
	case i.probes <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-i.probes }()
		i.confirmLoss(context.Background(), target)
	}()
	return true
}

// explain calls the waiting callbacks of a target.
func (i *Inspector) explain(key string, crashed bool) {
	i.mu.Lock()
	waiting := i.waiting[key]
	delete(i.waiting, key)
	i.mu.Unlock()
	for _, f := range waiting {
		f(crashed)
	}
}

// incarnation identifies one start of a target, which can be lost only once. It is a hash
// because the length of store keys is limited.
func incarnation(target registrar.Record) string {
	return strconv.FormatUint(xxhash.Sum64String(target.ID+"@"+target.Born.UTC().Format(time.RFC3339Nano)), 16)
}

// Run evaluates suspected requests until the context ends.
func (i *Inspector) Run(ctx context.Context) {
	tick := i.timers.After(idlePeriod)
	defer tick.Stop()
	period := idlePeriod
	for {
		select {
		case now := <-tick.C:
			period = i.advance(now)
			tick.Reset(period)
		case <-i.active:
			// A running active period is not prolonged, or frequent events would put off
			// the evaluation for ever.
			if period == idlePeriod {
				period = activePeriod
				tick.Reset(period)
			}
		case <-ctx.Done():
			return
		}
	}
}

// confirmLoss probes a target whose connections broke. If it refuses the probe, the requests
// that were in flight there are suspected. Requests don't wait for long for a probe without
// an answer.
func (i *Inspector) confirmLoss(ctx context.Context, target registrar.Record) {
	key := incarnation(target)
	outcomes := make(chan probeOutcome, 1)
	go func() { outcomes <- i.probe(ctx, target.Address) }()
	wait := i.timers.After(maxExplainTime)
	defer wait.Stop()
	var outcome probeOutcome
	select {
	case outcome = <-outcomes:
	case <-wait.C:
		i.explain(key, false)
		outcome = <-outcomes
	}
	crashed := outcome == refuses
	if outcome == accepts {
		i.heard(target)
	}
	i.mu.Lock()
	runs, abandoned := i.broken.Take(i.timers.Now(), key), i.abandoned.Has(key)
	i.mu.Unlock()
	if crashed && (len(runs) > 0 || abandoned) {
		i.targetLost(target, runs)
	}
	i.explain(key, crashed)
}

// targetLost suspects the requests that were in flight at a lost target, and those that had
// been given up there.
func (i *Inspector) targetLost(target registrar.Record, runs []quarantiner.Run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, key := i.timers.Now(), incarnation(target)
	i.lostAt[key] = now
	abandoned := i.abandoned.Take(now, key)
	if incarnation(i.abandonedAt[target.ID].Record) == key {
		delete(i.abandonedAt, target.ID)
	}
	i.scope.Counter("targets_lost").Inc(1)
	i.log.Warn("target lost with requests in flight", zap.String("target", target.ID), zap.String("service", target.Service),
		zap.String("fingerprints", formatAll(runs)), zap.String("given-up", formatAll(abandoned)))
	i.recordLostRuns(now, key, slices.Concat(runs, abandoned))
}

// recordLostRuns records the loss of a target under runs. The caller holds mu.
func (i *Inspector) recordLostRuns(now time.Time, key string, runs []quarantiner.Run) {
	for _, run := range runs {
		i.recordLoss(now, quarantiner.Report{Fingerprint: run.Fingerprint, Target: key, Parts: []string{run.Part}}, now.Add(settleTime))
	}
}

// probeOutcome is how a target reacts to a new connection.
type probeOutcome int

const (
	silent probeOutcome = iota
	refuses
	accepts
)

func (i *Inspector) probe(ctx context.Context, address netip.AddrPort) probeOutcome {
	ctx, cancel := context.WithTimeout(ctx, quarantiner.ProbeTimeout)
	defer cancel()
	conn, err := i.dial(ctx, address)
	if err == nil {
		conn.Close()
		return accepts
	}
	if quarantiner.Refuses(err) {
		return refuses
	}
	return silent
}

// onlyLossID is the report ID of every loss: a target's incarnation is lost only once.
const onlyLossID = 1

// recordLoss counts a loss and schedules its publication. The caller holds mu.
func (i *Inspector) recordLoss(now time.Time, report quarantiner.Report, due time.Time) {
	i.setActive(now)
	i.state.LostTarget(now, report.Target, onlyLossID, report.Runs())
	i.reports.Add(report, due)
}

// advance evaluates the state and returns the time until the next evaluation.
func (i *Inspector) advance(now time.Time) time.Duration {
	i.mu.Lock()
	changed := i.state.Advance(now)
	for _, e := range changed {
		if e.Remaining <= 0 {
			i.clearReports(now, quarantiner.Report{Fingerprint: e.Fingerprint, Parts: e.Parts})
		}
	}
	i.expireAbandoned(now)
	maps.DeleteFunc(i.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) > lostTargetTime })
	suspects, quarantined := i.state.Len()
	if len(i.reports.Due(now, i.state.Blamed)) > 0 {
		signal(i.due)
	}
	next := idlePeriod
	if now.Before(i.activeUntil) || i.reports.Waiting() > 0 {
		next = activePeriod
	}
	i.mu.Unlock()
	i.logChanges(changed)
	i.scope.Gauge("suspected_requests").Update(float64(suspects))
	i.scope.Gauge("quarantined_requests").Update(float64(quarantined))
	return next
}

// logChanges logs the quarantines that began. A clearance is logged where it ends one.
func (i *Inspector) logChanges(changed []quarantiner.Entry) {
	for _, e := range changed {
		if e.Remaining > 0 {
			i.log.Warn("quarantine began", zap.String("fingerprint", quarantiner.FormatFingerprint(e.Fingerprint)), zap.Duration("remaining", e.Remaining),
				zap.Int("lost-targets", e.LostTargets))
		}
	}
}

// Unpublished returns the reports that are not yet in the store, for the other VMs of
// the failure domain.
func (i *Inspector) Unpublished() []quarantiner.Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reports.Due(i.timers.Now(), i.state.Blamed)
}

// MergeReports records the reports of another VM of the failure domain.
func (i *Inspector) MergeReports(now time.Time, reports []quarantiner.Report) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, report := range reports {
		if err := checkReport(report); err != nil {
			i.rejections.Add(rejectedLoss, report.Target, err)
			continue
		}
		if report.Clearance() {
			i.recordClearance(now, report)
		} else {
			i.recordLoss(now, report, now.Add(relayDelay))
		}
	}
}

// recordClearance ends the suspicion of a request at the parts where it has run to its end
// at another VM. The caller holds mu.
func (i *Inspector) recordClearance(now time.Time, clearance quarantiner.Report) {
	quarantined := i.state.Quarantined(now, clearance.Fingerprint) > 0
	i.setActive(now)
	i.state.Merge(now, []quarantiner.Entry{{Fingerprint: clearance.Fingerprint, Parts: clearance.Parts}})
	i.clearReports(now, clearance)
	if quarantined && i.state.Quarantined(now, clearance.Fingerprint) == 0 {
		i.log.Info("quarantine ended by a completed run", zap.String("fingerprint", quarantiner.FormatFingerprint(clearance.Fingerprint)))
	}
}

// clearReports drops or withdraws the losses that a clearance cancels. The caller holds mu.
func (i *Inspector) clearReports(now time.Time, clearance quarantiner.Report) {
	for _, run := range clearance.Runs() {
		i.reports.Clear(now, run)
	}
}

// maxLoggedFingerprints limits the fingerprints in a log line.
const maxLoggedFingerprints = 32

// formatAll lists the fingerprints of runs as a log line does.
func formatAll(runs []quarantiner.Run) string {
	texts := make([]string, min(len(runs), maxLoggedFingerprints))
	for k := range texts {
		texts[k] = quarantiner.FormatFingerprint(runs[k].Fingerprint)
	}
	return strings.Join(texts, ",")
}
