package planner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
)

// Plan is how one service of a query is answered: from one set and one
// snapshot, shard by shard.
type Plan struct {
	Service  string
	Set      string
	Snapshot string
	Sequence uint64
	Shards   []ShardPlan
}

// ShardPlan lists the replicas that can answer one shard.
type ShardPlan struct {
	Shard    Shard
	Replicas []*Replica
}

// Coverage returns the share of the weight that has a replica.
func (p *Plan) Coverage() float64 {
	var covered, total uint64
	for _, shard := range p.Shards {
		total += shard.Shard.Weight
		if len(shard.Replicas) > 0 {
			covered += shard.Shard.Weight
		}
	}
	if total == 0 {
		return 0
	}
	return float64(covered) / float64(total)
}

// PlanService plans a service for a caller on the set that leads for it, or on
// the fallback set when that one has no target left. It leaves out the
// snapshots in gone.
func (t *Table) PlanService(entry *Service, caller string, gone container.Set[string]) Plan {
	doc := entry.Document
	set := ChooseSet(doc, caller)
	plan := t.PlanSet(doc.Service, set, gone)
	if plan.Coverage() > 0 || doc.Answering.Fallback == "" || doc.Answering.Fallback == set {
		return plan
	}
	return t.PlanSet(doc.Service, doc.Answering.Fallback, gone)
}

// shareSteps is the resolution at which callers are moved between sets.
const shareSteps = 10000

// ChooseSet returns the set that leads for a caller. A caller stays with its
// set while the share of moved callers grows.
func ChooseSet(doc *parser.Document, caller string) string {
	move := doc.Answering.Move
	if move == nil {
		return doc.Answering.Lead
	}
	if CallerShare(doc.Service, caller) < move.Share {
		return move.Set
	}
	return doc.Answering.Lead
}

// CallerShare returns the position of a caller in [0, 1) for a service.
func CallerShare(service, caller string) float64 {
	step := xxhash.Sum64String(service+"\x00"+caller) % shareSteps
	return float64(step) / shareSteps
}

// PlanSet plans a service on the given set: on the newest snapshot of which
// every shard has a replica, otherwise on the one with the highest coverage.
func (t *Table) PlanSet(service, set string, gone container.Set[string]) Plan {
	replicas := t.Replicas(service, set)
	best := Plan{Service: service, Set: set}
	for _, snapshot := range snapshotsOf(replicas, gone) {
		plan := planSnapshot(service, set, snapshot, replicas)
		if best.Snapshot == "" || plan.Coverage() > best.Coverage() {
			best = plan
		}
		if best.Coverage() == 1 {
			break
		}
	}
	return best
}

// snapshotsOf lists the snapshots that any replica holds, newest first.
func snapshotsOf(replicas []*Replica, gone container.Set[string]) []Snapshot {
	var snapshots []Snapshot
	for _, r := range replicas {
		for _, s := range r.snapshots {
			known := slices.ContainsFunc(snapshots, func(k Snapshot) bool { return k.ID == s.Id })
			if known || gone.Has(s.Id) {
				continue
			}
			snapshots = append(snapshots, fromMessage(s))
		}
	}
	slices.SortFunc(snapshots, func(a, b Snapshot) int {
		return cmp.Or(cmp.Compare(b.Sequence, a.Sequence), cmp.Compare(b.ID, a.ID))
	})
	return snapshots
}

func fromMessage(s *peerpb.Snapshot) Snapshot {
	snapshot := Snapshot{ID: s.Id, Sequence: s.Sequence}
	for _, shard := range s.Shards {
		snapshot.Shards = append(snapshot.Shards, Shard{Name: shard.Name, Weight: shard.Weight})
	}
	return snapshot
}

func planSnapshot(service, set string, snapshot Snapshot, replicas []*Replica) Plan {
	plan := Plan{Service: service, Set: set, Snapshot: snapshot.ID, Sequence: snapshot.Sequence}
	for _, shard := range snapshot.Shards {
		shardPlan := ShardPlan{Shard: shard}
		for _, r := range replicas {
			if usable(r) && r.Holds(snapshot.ID, shard.Name) {
				shardPlan.Replicas = append(shardPlan.Replicas, r)
			}
		}
		plan.Shards = append(plan.Shards, shardPlan)
	}
	return plan
}

// usable reports whether new work may be sent to a replica. A lost target
// stays out until its relays reach it again; a starting one may be all there is.
func usable(r *Replica) bool {
	switch r.Phase {
	case peerpb.TargetPhase_TARGET_PHASE_SERVING, peerpb.TargetPhase_TARGET_PHASE_STARTING:
		return len(r.Owners) > 0
	default:
		return false
	}
}
