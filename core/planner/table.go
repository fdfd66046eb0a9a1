// Package planner chooses the set and snapshot for a query and lists the
// replicas that can answer each shard.
package planner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
)

// Phase is the readiness of a target as reported by relays.
type Phase = peerpb.TargetPhase

// Snapshot is one version of a set's index with its shard map.
type Snapshot struct {
	ID       string
	Sequence uint64
	Shards   []Shard
}

// Shard is one part of a snapshot; its weight is proportional to its share of
// the documents.
type Shard struct {
	Name   string
	Weight uint64
}

// Replica is a target and the relays that own connections to it.
type Replica struct {
	Service       string
	Set           string
	Target        string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Phase         Phase
	// Since is when this process first saw the target in its current phase.
	Since  time.Time
	Owners []string

	snapshots []*peerpb.Snapshot
}

// Holds reports whether the replica holds a shard of a snapshot.
func (r *Replica) Holds(snapshot, shard string) bool {
	for _, s := range r.snapshots {
		if s.Id == snapshot {
			return slices.Contains(s.Held, shard)
		}
	}
	return false
}

// SnapshotIDs returns the IDs of the snapshots known to the replica.
func (r *Replica) SnapshotIDs() []string {
	ids := make([]string, 0, len(r.snapshots))
	for _, s := range r.snapshots {
		ids = append(ids, s.Id)
	}
	return ids
}

// view is an immutable copy of the table's contents.
type view struct {
	documents map[string]*Service
	replicas  map[setKey][]*Replica
}

type setKey struct{ service, set string }

// Service is the document in force for a service. Document is nil if the service
// has been deleted.
type Service struct {
	Document  *parser.Document
	Revision  uint64
	AppliedAt time.Time
}

type targetKey struct{ service, set, target string }

// Table holds the services and targets known to a gateway. Readers use an
// immutable view, so a query never sees a partial update.
type Table struct {
	view atomic.Pointer[view]

	mu      sync.Mutex
	reports map[targetKey]map[string]*peerpb.TargetState
	phases  map[targetKey]phaseSince
}

type phaseSince struct {
	phase Phase
	since time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		reports: make(map[targetKey]map[string]*peerpb.TargetState),
		phases:  make(map[targetKey]phaseSince),
	}
	t.view.Store(&view{documents: map[string]*Service{}, replicas: map[setKey][]*Replica{}})
	return t
}

// Service returns the document in force for a service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.view.Load().documents[name]
	if !ok || s.Document == nil {
		return nil, false
	}
	return s, true
}

// Services returns the sorted names of all services in force.
func (t *Table) Services() []string {
	var names []string
	for name, s := range t.view.Load().documents {
		if s.Document != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Replicas returns the known replicas of a set. The result must not be modified.
func (t *Table) Replicas(service, set string) []*Replica {
	return t.view.Load().replicas[setKey{service, set}]
}

// FullyCovered reports whether every service can be answered in full from its
// leading set.
func (t *Table) FullyCovered() bool {
	for name, entry := range t.view.Load().documents {
		if entry.Document == nil {
			continue
		}
		if plan := t.PlanSet(name, entry.Document.Answering.Lead, nil); plan.Coverage() < 1 {
			return false
		}
	}
	return true
}

// Put applies a document unless the same or a newer revision is already known.
func (t *Table) Put(doc *parser.Document, revision uint64, now time.Time) {
	t.put(doc.Service, &Service{Document: doc, Revision: revision, AppliedAt: now}, now)
}

// Delete removes a service. Its revision is kept, so that an older document
// cannot restore the service.
func (t *Table) Delete(service string, revision uint64, now time.Time) {
	t.put(service, &Service{Revision: revision, AppliedAt: now}, now)
}

func (t *Table) put(name string, entry *Service, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.copyView()
	if current, ok := next.documents[name]; ok && current.Revision >= entry.Revision {
		return
	}
	next.documents[name] = entry
	t.rebuild(next, name, now)
	t.view.Store(next)
}

// Apply records target states reported by relays. A report that is not newer
// than the last one from the same relay is ignored.
func (t *Table) Apply(states []*peerpb.TargetState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := make(map[string]struct{})
	for _, state := range states {
		if t.record(state) {
			changed[state.Service] = struct{}{}
		}
	}
	t.publish(changed, now)
}

// RemoveRelay removes the reports of a relay that has died or left.
func (t *Table) RemoveRelay(relay string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := make(map[string]struct{})
	for key, reports := range t.reports {
		if _, ok := reports[relay]; !ok {
			continue
		}
		delete(reports, relay)
		if len(reports) == 0 {
			delete(t.reports, key)
		}
		changed[key.service] = struct{}{}
	}
	t.publish(changed, now)
}

func (t *Table) publish(services map[string]struct{}, now time.Time) {
	if len(services) == 0 {
		return
	}
	next := t.copyView()
	for service := range services {
		t.rebuild(next, service, now)
	}
	t.view.Store(next)
}

func (t *Table) record(state *peerpb.TargetState) bool {
	key := targetKey{state.Service, state.Set, state.Target}
	reports, ok := t.reports[key]
	if !ok {
		reports = make(map[string]*peerpb.TargetState)
		t.reports[key] = reports
	}
	last, ok := reports[state.Relay]
	if ok && !state.NewerThan(last) {
		return false
	}
	reports[state.Relay] = state
	return true
}

func (t *Table) copyView() *view {
	current := t.view.Load()
	return &view{documents: maps.Clone(current.documents), replicas: maps.Clone(current.replicas)}
}

// rebuild recomputes a service's replicas from its document and the reports on
// its targets. Targets no longer in the document get no new work.
func (t *Table) rebuild(next *view, service string, now time.Time) {
	maps.DeleteFunc(next.replicas, func(key setKey, _ []*Replica) bool { return key.service == service })
	entry, ok := next.documents[service]
	if !ok || entry.Document == nil {
		return
	}
	for _, set := range entry.Document.Sets {
		replicas := make([]*Replica, 0, len(set.Targets))
		for _, target := range set.Targets {
			replicas = append(replicas, t.replica(service, set.Name, target, now))
		}
		next.replicas[setKey{service, set.Name}] = replicas
	}
}

func (t *Table) replica(service, set string, target parser.Target, now time.Time) *Replica {
	key := targetKey{service, set, target.Name}
	r := &Replica{
		Service: service, Set: set, Target: target.Name, Address: target.Address,
		FailureDomain: target.FailureDomain, Slots: target.Slots,
	}
	var best *peerpb.TargetState
	for _, report := range t.reports[key] {
		if takesPrecedence(report, best) {
			best = report
		}
	}
	if best != nil {
		r.Phase, r.snapshots = best.Phase, best.Snapshots
		r.Owners = reachableOwners(t.reports[key], best.Phase)
	}
	last := t.phases[key]
	if last.phase != r.Phase {
		last = phaseSince{r.Phase, now}
		t.phases[key] = last
	}
	r.Since = last.since
	return r
}

// takesPrecedence reports whether report a is preferred over b when several
// relays own a target. Reports are ordered by phase, then by newest snapshot,
// then by relay name to make the choice deterministic.
func takesPrecedence(a, b *peerpb.TargetState) bool {
	if phasePrecedence(a.Phase) == 0 {
		return false
	}
	if b == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(phasePrecedence(a.Phase), phasePrecedence(b.Phase)),
		cmp.Compare(newestSequence(a.Snapshots), newestSequence(b.Snapshots)),
		cmp.Compare(b.Relay, a.Relay),
	) > 0
}

// phasePrecedence orders reported phases. Draining wins over all others, and a
// serving or starting target over a lost connection. A relay that reports no
// phase does not own the target.
func phasePrecedence(p Phase) int {
	switch p {
	case peerpb.TargetPhase_TARGET_PHASE_DRAINING:
		return 4
	case peerpb.TargetPhase_TARGET_PHASE_SERVING:
		return 3
	case peerpb.TargetPhase_TARGET_PHASE_STARTING:
		return 2
	case peerpb.TargetPhase_TARGET_PHASE_LOST:
		return 1
	default:
		return 0
	}
}

// reachableOwners lists the relays that can reach a target in the given phase.
// Relays that lost the target are left out unless all of them did.
func reachableOwners(reports map[string]*peerpb.TargetState, phase Phase) []string {
	var relays []string
	for relay, report := range reports {
		isLost := report.Phase == peerpb.TargetPhase_TARGET_PHASE_LOST
		if phasePrecedence(report.Phase) > 0 && (!isLost || phase == peerpb.TargetPhase_TARGET_PHASE_LOST) {
			relays = append(relays, relay)
		}
	}
	slices.Sort(relays)
	return relays
}

func newestSequence(snapshots []*peerpb.Snapshot) uint64 {
	var newest uint64
	for _, s := range snapshots {
		newest = max(newest, s.Sequence)
	}
	return newest
}
