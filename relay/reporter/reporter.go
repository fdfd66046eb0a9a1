// Package reporter builds the admin views of a relay's state.
package reporter

import (
	"net/http"
	"net/netip"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/controller"
)

// Control provides the control state.
type Control interface {
	View() controller.View
}

// Targets provides the states of all targets of the failure domain.
type Targets interface {
	Targets() []*peerpb.TargetState
}

// Connections provides the connections and load at the relay's own targets.
type Connections interface {
	Connections() map[netip.AddrPort]connector.Connections
}

// Quarantine provides the quarantine entries in force.
type Quarantine interface {
	Entries() []*peerpb.QuarantineEntry
}

// Reporter builds the admin views of a relay.
type Reporter struct {
	origin      adminapi.Origin
	control     Control
	targets     Targets
	connections Connections
	quarantine  Quarantine
}

// New returns a reporter for the process identified by origin.
func New(origin adminapi.Origin, control Control, targets Targets, connections Connections, quarantine Quarantine) *Reporter {
	return &Reporter{origin: origin, control: control, targets: targets, connections: connections, quarantine: quarantine}
}

// Members returns the view of the failure domain's nodes.
func (r *Reporter) Members(*http.Request) any {
	view := adminapi.Members{Origin: r.origin.Now(), Members: []adminapi.Member{}}
	for _, m := range r.control.View().Members {
		view.Members = append(view.Members, adminapi.MemberOf(m))
	}
	return view
}

// Configuration returns the view of the documents in force.
func (r *Reporter) Configuration(*http.Request) any {
	control := r.control.View()
	view := adminapi.Configuration{
		Origin: r.origin.Now(), Revision: control.Revision, NewestKnownRevision: control.Revision,
		Reader: control.Reader, Source: configurationSource(control), Age: parser.Duration(control.Age),
		Services: []adminapi.Service{},
	}
	for _, d := range control.Documents {
		service := adminapi.Service{Service: d.Service, Revision: d.Revision, Deleted: d.Deleted}
		if doc, err := parser.Parse(d.Body); err == nil {
			service.Edit = doc.Edit
		}
		view.Services = append(view.Services, service)
	}
	return view
}

func configurationSource(control controller.View) string {
	switch {
	case !control.Confirmed:
		return adminapi.SourceNone
	case control.Reader:
		return adminapi.SourceStore
	default:
		return adminapi.SourcePeer
	}
}

// Targets returns the view of the failure domain's targets as their owners report
// them, with the load of those that this relay owns.
func (r *Reporter) Targets(*http.Request) any {
	view := adminapi.Targets{Origin: r.origin.Now(), Targets: []adminapi.Target{}}
	ownConns := r.connections.Connections()
	for _, state := range r.targets.Targets() {
		if state.Phase == peerpb.TargetPhase_TARGET_PHASE_UNKNOWN {
			continue
		}
		target := targetOf(state)
		if conns, ok := ownConns[target.Address]; ok && state.Relay == r.origin.Node {
			addLoad(&target, conns)
		}
		view.Targets = append(view.Targets, target)
	}
	return view
}

func targetOf(state *peerpb.TargetState) adminapi.Target {
	target := adminapi.Target{
		Service: state.Service, Set: state.Set, Name: state.Target, FailureDomain: state.FailureDomain,
		Owners: []string{state.Relay}, Slots: int(state.Slots), Snapshots: []string{},
	}
	// An invalid address from a peer is shown as the zero value.
	target.Address, _ = netip.ParseAddrPort(state.Address)
	target.State, target.Reason = adminapi.TargetStateOf(state.Phase)
	for _, s := range state.Snapshots {
		target.Snapshots = append(target.Snapshots, s.Id)
	}
	return target
}

func addLoad(target *adminapi.Target, conns connector.Connections) {
	target.Connections = adminapi.Connections{Limit: conns.Limit, Allotment: conns.Allotment, Open: conns.Open}
	target.InFlight = int(conns.Load.GetInFlight())
	target.Queued = int(conns.Load.GetQueued())
	target.Limit = int(conns.Load.GetLimit())
	target.LatencyP50 = parser.Duration(conns.Load.GetRecentLatency().AsDuration())
}

// Quarantine returns the view of the requests refused because they crash targets.
func (r *Reporter) Quarantine(*http.Request) any {
	view := adminapi.Quarantine{Origin: r.origin.Now(), Entries: []adminapi.QuarantineEntry{}, Suspects: []adminapi.Suspect{}}
	for _, e := range r.quarantine.Entries() {
		view.Entries = append(view.Entries, adminapi.QuarantineEntry{
			Fingerprint: quarantiner.FormatFingerprint(e.Fingerprint), LostTargets: []string{},
			Until: view.At.Add(e.Remaining.AsDuration()),
		})
	}
	return view
}
