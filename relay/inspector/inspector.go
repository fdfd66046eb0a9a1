// Package inspector finds out which requests take down targets and refuses
// them for a time.
package inspector

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/core/timer"
)

const (
	advancePeriod = 100 * time.Millisecond
	// probeDelay lets all requests of a lost target end before it is probed.
	probeDelay = 20 * time.Millisecond
	// probeTimeout bounds the attempt to reach a target whose connections broke.
	probeTimeout = 250 * time.Millisecond
	// lostWindow is the time within which broken requests belong to one loss.
	lostWindow = 100 * time.Millisecond
	// reportsSize bounds the losses that wait to be probed.
	reportsSize = 256
)

// Prober tries to reach a target on a new connection.
type Prober interface {
	Probe(ctx context.Context, target netip.AddrPort) error
}

// Network spreads news to other relays.
type Network interface {
	Broadcast(frame *peerpb.Frame)
}

// Publisher tells gateways which requests are refused.
type Publisher interface {
	PutQuarantine(entries []*peerpb.QuarantineEntry)
}

// Inspector watches the requests of one relay.
type Inspector struct {
	timers    *timer.Service
	prober    Prober
	network   Network
	publisher Publisher
	log       *zap.Logger
	losses    *buffer.Ring[string]

	mu     sync.Mutex
	state  *quarantiner.Quarantiner
	broken map[string]map[uint64]time.Time
	number uint64
}

// New returns an inspector. Connect must follow before Run.
func New(incarnation uint64, timers *timer.Service, publisher Publisher, log *zap.Logger) *Inspector {
	return &Inspector{
		timers: timers, publisher: publisher, log: log,
		losses: buffer.NewRing[string](reportsSize),
		state:  quarantiner.New(quarantiner.DefaultConfig()),
		broken: make(map[string]map[uint64]time.Time),
		// Numbers of losses must differ between relays and their incarnations.
		number: incarnation,
	}
}

// Connect names the parts that exist only after the inspector.
func (i *Inspector) Connect(prober Prober, network Network) {
	i.prober = prober
	i.network = network
}

// Run judges suspects and probes targets until the context ends.
func (i *Inspector) Run(ctx context.Context) {
	ticks := i.timers.Every(advancePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.advance()
		case target := <-i.losses.C():
			go i.examine(ctx, target)
		case <-ctx.Done():
			return
		}
	}
}

// Quarantined reports whether a request must not reach any target.
func (i *Inspector) Quarantined(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Quarantined(i.timers.Now(), fingerprint) > 0
}

// Entries returns the quarantines in force.
func (i *Inspector) Entries() []*peerpb.QuarantineEntry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return messages(i.state.Entries(i.timers.Now()))
}

// JobStarted does nothing: only the end of a job says something.
func (i *Inspector) JobStarted(string, *dispatcher.Job) {}

// JobEnded notes completions, which clear a request, and broken connections,
// which make it a suspect if its target is lost.
func (i *Inspector) JobEnded(target string, job *dispatcher.Job, result dispatcher.Result) {
	if job.Fingerprint == 0 {
		return
	}
	now := i.timers.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case result.Outcome == peerpb.Outcome_OUTCOME_RAN:
		i.state.Completed(now, job.Fingerprint)
	case result.Failure == peerpb.FailureKind_FAILURE_LOST:
		if i.broken[target] == nil {
			if !i.losses.Put(target) {
				return
			}
			i.broken[target] = make(map[uint64]time.Time)
		}
		i.broken[target][job.Fingerprint] = now
	}
}

// examine reports the requests that broke at a target which cannot be reached
// any more.
func (i *Inspector) examine(ctx context.Context, target string) {
	wait := i.timers.After(probeDelay)
	defer wait.Stop()
	<-wait.C
	fingerprints := i.takeBroken(target)
	addr, err := netip.ParseAddrPort(target)
	if err != nil || len(fingerprints) == 0 {
		return
	}
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if i.prober.Probe(probe, addr) == nil {
		return
	}
	i.mu.Lock()
	i.number++
	lost := &peerpb.LostTarget{Target: target, Loss: i.number, Fingerprints: fingerprints}
	i.state.LostTarget(i.timers.Now(), lost.Target, lost.Loss, lost.Fingerprints)
	i.mu.Unlock()
	i.log.Warn("target lost with requests in flight", zap.String("target", target), zap.Int("requests", len(fingerprints)))
	i.network.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_LostTarget{LostTarget: lost}})
}

func (i *Inspector) takeBroken(target string) []uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.timers.Now()
	var fingerprints []uint64
	for fingerprint, at := range i.broken[target] {
		if now.Sub(at) <= lostWindow {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	delete(i.broken, target)
	return fingerprints
}

// HandleLost takes the report of another relay.
func (i *Inspector) HandleLost(lost *peerpb.LostTarget) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state.LostTarget(i.timers.Now(), lost.Target, lost.Loss, lost.Fingerprints)
}

// HandleUpdate takes the quarantines of another relay.
func (i *Inspector) HandleUpdate(update *peerpb.QuarantineUpdate) {
	entries := make([]quarantiner.Entry, 0, len(update.Entries))
	for _, e := range update.Entries {
		entries = append(entries, quarantiner.Entry{
			Fingerprint: e.Fingerprint, Remaining: e.Remaining.AsDuration(), LostTargets: int(e.LostTargets),
		})
	}
	i.mu.Lock()
	changed := i.state.Merge(i.timers.Now(), entries)
	i.mu.Unlock()
	i.publish(changed)
}

func (i *Inspector) advance() {
	i.mu.Lock()
	news := i.state.Advance(i.timers.Now())
	i.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, e := range news {
		i.log.Warn("quarantine changed", zap.String("fingerprint", strconv.FormatUint(e.Fingerprint, 16)),
			zap.Duration("remaining", e.Remaining), zap.Int("lost-targets", e.LostTargets))
	}
	i.network.Broadcast(&peerpb.Frame{Kind: &peerpb.Frame_QuarantineUpdate{
		QuarantineUpdate: &peerpb.QuarantineUpdate{Entries: messages(news)},
	}})
	i.publish(news)
}

// publish tells gateways what is in force, and what has been cleared.
func (i *Inspector) publish(changed []quarantiner.Entry) {
	if len(changed) == 0 {
		return
	}
	entries := i.Entries()
	for _, e := range changed {
		if e.Remaining == 0 {
			entries = append(entries, messages([]quarantiner.Entry{e})...)
		}
	}
	i.publisher.PutQuarantine(entries)
}

func messages(entries []quarantiner.Entry) []*peerpb.QuarantineEntry {
	converted := make([]*peerpb.QuarantineEntry, len(entries))
	for k, e := range entries {
		converted[k] = &peerpb.QuarantineEntry{
			Fingerprint: e.Fingerprint, Remaining: durationpb.New(e.Remaining), LostTargets: uint32(e.LostTargets),
		}
	}
	return converted
}
