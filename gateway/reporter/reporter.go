// Package reporter builds the views of a gateway's state for operators.
package reporter

import (
	"net/http"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/planner"
	"jackdawcart.org/core/quarantiner"
)

// Control is the control state that the gateway receives from its relays.
type Control interface {
	Members() []*peerpb.Member
	Configuration() (revision uint64, confirmedAt time.Time)
	Quarantine() map[uint64]time.Time
}

// Reporter builds the views of a gateway.
type Reporter struct {
	origin  adminapi.Origin
	control Control
	table   *planner.Table
}

// New returns a reporter for the process that origin identifies.
func New(origin adminapi.Origin, control Control, table *planner.Table) *Reporter {
	return &Reporter{origin: origin, control: control, table: table}
}

// Members returns the view of the tier's nodes.
func (r *Reporter) Members(*http.Request) any {
	view := adminapi.Members{Origin: r.origin.Now(), Members: []adminapi.Member{}}
	for _, m := range r.control.Members() {
		view.Members = append(view.Members, adminapi.MemberOf(m))
	}
	return view
}

// Targets returns the view of the targets of all services.
func (r *Reporter) Targets(*http.Request) any {
	view := adminapi.Targets{Origin: r.origin.Now(), Targets: []adminapi.Target{}}
	for _, name := range r.table.Services() {
		entry, ok := r.table.Service(name)
		if !ok {
			continue
		}
		for _, set := range entry.Document.Sets {
			for _, replica := range r.table.Replicas(name, set.Name) {
				view.Targets = append(view.Targets, targetView(replica))
			}
		}
	}
	return view
}

func targetView(replica *planner.Replica) adminapi.Target {
	view := adminapi.Target{
		Service: replica.Service, Set: replica.Set, Name: replica.Target, Address: replica.Address,
		FailureDomain: replica.FailureDomain, Owners: replica.Owners, Slots: replica.Slots,
		Snapshots: replica.SnapshotIDs(),
	}
	view.State, view.Reason = adminapi.TargetStateOf(replica.Phase)
	return view
}

// Configuration returns the view of the documents in force.
func (r *Reporter) Configuration(*http.Request) any {
	revision, confirmedAt := r.control.Configuration()
	view := adminapi.Configuration{
		Origin: r.origin.Now(), Revision: revision, NewestKnownRevision: revision,
		Source: adminapi.SourcePeer, Services: []adminapi.Service{},
	}
	if confirmedAt.IsZero() {
		view.Source = adminapi.SourceNone
	} else {
		view.Age = parser.Duration(time.Since(confirmedAt))
	}
	for _, name := range r.table.Services() {
		if entry, ok := r.table.Service(name); ok {
			view.Services = append(view.Services, adminapi.Service{
				Service: name, Revision: entry.Revision, Edit: entry.Document.Edit, AppliedAt: entry.AppliedAt,
			})
		}
	}
	return view
}

// Quarantine returns the view of the requests that are refused because they crash
// targets.
func (r *Reporter) Quarantine(*http.Request) any {
	view := adminapi.Quarantine{Origin: r.origin.Now(), Entries: []adminapi.QuarantineEntry{}, Suspects: []adminapi.Suspect{}}
	for fingerprint, until := range r.control.Quarantine() {
		view.Entries = append(view.Entries, adminapi.QuarantineEntry{
			Fingerprint: quarantiner.FormatFingerprint(fingerprint), LostTargets: []string{}, Until: until,
		})
	}
	return view
}

// Explain returns the view of how a query of one service would be answered.
func (r *Reporter) Explain(request *http.Request) any {
	service := request.URL.Query().Get(adminapi.ParameterService)
	caller := request.URL.Query().Get(adminapi.ParameterCaller)
	view := adminapi.Explain{
		Origin: r.origin.Now(), Service: service, Caller: caller,
		Snapshots: []adminapi.SnapshotChoice{}, Shards: []adminapi.ShardChoice{},
	}
	entry, ok := r.table.Service(service)
	if !ok {
		view.SetReason = "no service of this name is in force"
		return view
	}
	plan := r.table.PlanService(entry, caller, nil)
	answering := entry.Document.Answering
	view.Revision = entry.Revision
	view.CallerShare = planner.CallerShare(service, caller)
	view.Set, view.SetReason = plan.Set, setReason(entry.Document, plan.Set)
	view.Deadline, view.Priority, view.HedgeBudget = answering.Deadline, answering.Priority, answering.HedgeBudget
	view.Admitted, view.Coverage = true, plan.Coverage()
	if plan.Snapshot != "" {
		view.Snapshots = append(view.Snapshots, adminapi.SnapshotChoice{
			Snapshot: plan.Snapshot, Sequence: plan.Sequence, Coverage: plan.Coverage(), Chosen: true,
		})
	}
	for _, shard := range plan.Shards {
		view.Shards = append(view.Shards, shardChoice(shard))
	}
	return view
}

func setReason(doc *parser.Document, set string) string {
	switch {
	case doc.Answering.Move != nil && doc.Answering.Move.Set == set:
		return "the caller is among the share that moves"
	case doc.Answering.Lead == set:
		return "the set leads"
	default:
		return "the chosen set has no target; this one is the fallback"
	}
}

func shardChoice(shard planner.ShardPlan) adminapi.ShardChoice {
	choice := adminapi.ShardChoice{
		Shard: shard.Shard.Name, Weight: float64(shard.Shard.Weight), Replicas: []adminapi.ReplicaChoice{},
	}
	for _, replica := range shard.Replicas {
		relay := ""
		if len(replica.Owners) > 0 {
			relay = replica.Owners[0]
		}
		choice.Replicas = append(choice.Replicas, adminapi.ReplicaChoice{
			Target: replica.Target, FailureDomain: replica.FailureDomain, Relay: relay, Usable: true,
		})
	}
	return choice
}
