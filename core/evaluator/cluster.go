package evaluator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"jackdawcart.org/core/dispatcher"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/scatterer"
)

const (
	// One-way network delays within a failure domain and between two.
	sameDomainDelay  = 500 * time.Microsecond
	crossDomainDelay = time.Millisecond
	oldSnapshot      = "s1"
	newSnapshot      = "s2"
	ownersPerTarget  = 2
	// replaceSpread is the time within which the replicas of a shard load the new
	// snapshot one after the other.
	replaceSpread = 300 * time.Millisecond
	// replaceOverlap is how long a target holds both snapshots. It is shorter than
	// reportDelay: the target drops the old snapshot before its relays report the
	// new one, so some queries ask for a snapshot that is gone.
	replaceOverlap = 10 * time.Millisecond
	// reportDelay is how long relays take to report a change of snapshots.
	reportDelay = 20 * time.Millisecond
	shardWeight = 100
	// priorUptime is how long targets have been serving when a run begins.
	priorUptime = time.Hour
)

// relay is one relay process with the targets that it owns.
type relay struct {
	name, domain string
	dispatcher   *dispatcher.Dispatcher
	targets      []*targetSpec
}

// gateway is one gateway process. It is also the transport of its engine.
type gateway struct {
	run       *run
	domain    string
	engine    *scatterer.Engine
	admission *admissionControl
}

func shardName(shard int) string { return fmt.Sprintf("shard-%02d", shard) }

func targetName(service string, shard, replica int) string {
	return fmt.Sprintf("%s-%02d-%d", service, shard, replica)
}

func delayBetween(a, b string) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// Send delivers a batch to a relay after the network delay.
func (g *gateway) Send(name string, batch *peerpb.Batch) error {
	r := g.run.relays[name]
	time.AfterFunc(delayBetween(g.domain, r.domain), func() { r.submitBatch(g, batch) })
	return nil
}

// Cancel delivers a cancel message to a relay after the network delay.
func (g *gateway) Cancel(name string, cancel *peerpb.Cancel) {
	r := g.run.relays[name]
	time.AfterFunc(delayBetween(g.domain, r.domain), func() { r.dispatcher.Cancel(cancel) })
}

func (r *relay) submitBatch(g *gateway, batch *peerpb.Batch) {
	deadline := time.Now().Add(batch.TimeLeft.AsDuration())
	for _, sub := range batch.Subs {
		r.dispatcher.Submit(&dispatcher.Job{
			QueryID:  batch.QueryId,
			Sub:      sub.Sub,
			Attempt:  sub.Attempt,
			Service:  sub.Service,
			Target:   sub.Target,
			Shard:    sub.Shard,
			Snapshot: sub.Snapshot,
			Text:     batch.Text,
			Deadline: deadline,
			Reply:    r.replyFunc(g, batch.QueryId, sub),
		})
	}
}

// replyFunc returns a function that delivers the result of a sub-request to the
// gateway after the network delay.
func (r *relay) replyFunc(g *gateway, query string, sub *peerpb.SubRequest) func(dispatcher.Result) {
	return func(result dispatcher.Result) {
		answer := &peerpb.SubAnswer{
			QueryId: query, Sub: sub.Sub, Attempt: sub.Attempt,
			Outcome: result.Outcome, Failure: result.Failure,
			Snapshot: result.Snapshot, Shard: result.Shard, Load: result.Load,
		}
		if !g.run.variant.OwnLoadOnly {
			answer.Loads = r.loads()
		}
		time.AfterFunc(delayBetween(g.domain, r.domain), func() { g.engine.Deliver(answer) })
	}
}

// addTarget registers a target with its owners, two relays of its failure domain.
func (r *run) addTarget(spec *targetSpec) {
	fake := newFakeTarget(spec, r)
	for _, name := range r.ownersOf(spec) {
		r.relays[name].targets = append(r.relays[name].targets, spec)
		r.relays[name].dispatcher.Put(dispatcher.TargetConfig{
			Name:    spec.name,
			Limiter: r.variant.Limiter(spec.service.Slots, ownersPerTarget),
			Client:  newClient(fake),
		})
	}
}

func (r *run) ownersOf(spec *targetSpec) []string {
	vms := r.scenario.Deployment.VMsPerDomain
	names := make([]string, 0, ownersPerTarget)
	for i := range min(ownersPerTarget, vms) {
		names = append(names, vmName(spec.domain, (spec.index+i)%vms))
	}
	return names
}

func vmName(domain string, n int) string { return fmt.Sprintf("%s-%d", domain, n) }

// publishDocuments adds the documents of all services to the target table.
func (r *run) publishDocuments() {
	for i := range r.scenario.Deployment.Services {
		service := &r.scenario.Deployment.Services[i]
		set := parser.Set{Name: "main"}
		for _, spec := range r.specs {
			if spec.service.Name == service.Name {
				set.Targets = append(set.Targets, parser.Target{
					Name: spec.name, Address: netip.AddrPort{}, FailureDomain: spec.domain, Slots: service.Slots,
				})
			}
		}
		r.table.Put(&parser.Document{
			Service: service.Name, Sets: []parser.Set{set}, Answering: parser.Answering{Lead: "main"},
		}, 1, r.started)
	}
}

// publishState updates the target table of the gateways with the state that the
// owners of a target report.
func (r *run) publishState(spec *targetSpec, phase planner.Phase, since time.Time, snapshots ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	states := make([]*peerpb.TargetState, 0, ownersPerTarget)
	for _, owner := range r.ownersOf(spec) {
		states = append(states, &peerpb.TargetState{
			Service: spec.service.Name, Set: "main", Target: spec.name, FailureDomain: spec.domain,
			Phase: phase, Slots: uint32(spec.service.Slots), Snapshots: snapshotsOf(spec, snapshots),
			Relay: owner, Incarnation: 1, Sequence: r.sequence,
		})
	}
	r.table.Apply(states, since)
}

func snapshotsOf(spec *targetSpec, names []string) []*peerpb.Snapshot {
	var list []*peerpb.Snapshot
	for _, name := range names {
		snapshot := &peerpb.Snapshot{Id: name, Sequence: uint64(slices.Index([]string{oldSnapshot, newSnapshot}, name) + 1), Held: []string{spec.shard}}
		for shard := range spec.service.Shards {
			snapshot.Shards = append(snapshot.Shards, &peerpb.Shard{Name: shardName(shard), Weight: shardWeight})
		}
		list = append(list, snapshot)
	}
	return list
}

// loads returns the load of every target that the relay owns.
func (r *relay) loads() []*peerpb.NamedLoad {
	list := make([]*peerpb.NamedLoad, 0, len(r.targets))
	for _, spec := range r.targets {
		if load, ok := r.dispatcher.Load(spec.name); ok {
			list = append(list, &peerpb.NamedLoad{Service: spec.service.Name, Target: spec.name, Load: load})
		}
	}
	return list
}
