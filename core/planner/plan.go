package planner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
)

// Plan describes how one service of a query is answered: from a single set and
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

// Coverage returns the fraction of the total shard weight that has a replica.
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

// PlanService plans a service on the set that leads for the caller, or on the
// fallback set if the leading one has no coverage. Excluded snapshots are
// skipped.
func (t *Table) PlanService(entry *Service, caller string, excluded container.Set[string]) Plan {
	doc := entry.Document
	set := ChooseSet(doc, caller)
	plan := t.PlanSet(doc.Service, set, excluded)
	if plan.Coverage() > 0 || doc.Answering.Fallback == "" || doc.Answering.Fallback == set {
		return plan
	}
	return t.PlanSet(doc.Service, doc.Answering.Fallback, excluded)
}

// callerShareResolution is the number of steps in which callers are moved
// between sets.
const callerShareResolution = 10000

// ChooseSet returns the set that leads for a caller. Callers that have moved to
// the new set stay on it as the share of moved callers grows.
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

// CallerShare returns the position in [0, 1) that a caller hashes to for a
// service. Callers below the moved share use the new set.
func CallerShare(service, caller string) float64 {
	step := xxhash.Sum64String(service+"\x00"+caller) % callerShareResolution
	return float64(step) / callerShareResolution
}

// PlanSet plans a service on the given set, using the newest snapshot with a
// replica for every shard, or else the one with the highest coverage.
func (t *Table) PlanSet(service, set string, excluded container.Set[string]) Plan {
	replicas := t.Replicas(service, set)
	best := Plan{Service: service, Set: set}
	for _, snapshot := range listSnapshots(replicas, excluded) {
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

// listSnapshots returns the snapshots known to any replica, newest first.
func listSnapshots(replicas []*Replica, excluded container.Set[string]) []Snapshot {
	var snapshots []Snapshot
	for _, r := range replicas {
		for _, s := range r.snapshots {
			known := slices.ContainsFunc(snapshots, func(k Snapshot) bool { return k.ID == s.Id })
			if known || excluded.Has(s.Id) {
				continue
			}
			snapshots = append(snapshots, snapshotFromProto(s))
		}
	}
	slices.SortFunc(snapshots, func(a, b Snapshot) int {
		return cmp.Or(cmp.Compare(b.Sequence, a.Sequence), cmp.Compare(b.ID, a.ID))
	})
	return snapshots
}

func snapshotFromProto(s *peerpb.Snapshot) Snapshot {
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

// usable reports whether new work may be sent to a replica. A lost target is
// excluded until a relay reaches it again; a starting one is used because it may
// be the only one.
func usable(r *Replica) bool {
	switch r.Phase {
	case peerpb.TargetPhase_TARGET_PHASE_SERVING, peerpb.TargetPhase_TARGET_PHASE_STARTING:
		return len(r.Owners) > 0
	default:
		return false
	}
}
