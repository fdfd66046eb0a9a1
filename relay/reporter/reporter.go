// Package reporter shows operators what a relay knows.
package reporter

import (
	"net/http"
	"net/netip"
	"strconv"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/relay/connector"
	"jackdawcart.org/relay/controller"
)

// Control gives the control state.
type Control interface {
	View() controller.View
}

// Targets gives the states of all targets of the failure domain.
type Targets interface {
	Targets() []*peerpb.TargetState
}

// Connections gives what the relay holds at its own targets.
type Connections interface {
	Connections() map[netip.AddrPort]connector.Connections
}

// Quarantine gives the requests that are refused.
type Quarantine interface {
	Entries() []*peerpb.QuarantineEntry
}

// Reporter builds the views of a relay.
type Reporter struct {
	origin      adminapi.Origin
	control     Control
	targets     Targets
	connections Connections
	quarantine  Quarantine
}

// New returns a reporter of the process that origin names.
func New(origin adminapi.Origin, control Control, targets Targets, connections Connections, quarantine Quarantine) *Reporter {
	return &Reporter{origin: origin, control: control, targets: targets, connections: connections, quarantine: quarantine}
}

// Members shows the nodes of the failure domain.
func (r *Reporter) Members(*http.Request) any {
	view := adminapi.Members{Origin: r.origin.Now(), Members: []adminapi.Member{}}
	for _, m := range r.control.View().Members {
		view.Members = append(view.Members, adminapi.MemberOf(m))
	}
	return view
}

// Configuration shows the documents in force.
func (r *Reporter) Configuration(*http.Request) any {
	control := r.control.View()
	view := adminapi.Configuration{
		Origin: r.origin.Now(), Revision: control.Revision, NewestKnownRevision: control.Revision,
		Reader: control.Reader, Source: source(control), Age: parser.Duration(control.Age),
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

func source(control controller.View) string {
	switch {
	case !control.Confirmed:
		return adminapi.SourceNone
	case control.Reader:
		return adminapi.SourceStore
	default:
		return adminapi.SourcePeer
	}
}

// Targets shows the targets of the failure domain as their owners report them,
// with the load of those that this relay owns.
func (r *Reporter) Targets(*http.Request) any {
	view := adminapi.Targets{Origin: r.origin.Now(), Targets: []adminapi.Target{}}
	own := r.connections.Connections()
	for _, state := range r.targets.Targets() {
		if state.Phase == peerpb.TargetPhase_TARGET_PHASE_UNKNOWN {
			continue
		}
		target := targetOf(state)
		if held, ok := own[target.Address]; ok && state.Relay == r.origin.Node {
			addLoad(&target, held)
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
	// An address that a peer wrote wrongly is shown as the zero value.
	target.Address, _ = netip.ParseAddrPort(state.Address)
	target.State, target.Reason = adminapi.TargetStateOf(state.Phase)
	for _, s := range state.Snapshots {
		target.Snapshots = append(target.Snapshots, s.Id)
	}
	return target
}

func addLoad(target *adminapi.Target, held connector.Connections) {
	target.Connections = adminapi.Connections{Limit: held.Limit, Allotment: held.Allotment, Open: held.Open}
	target.InFlight = int(held.Load.GetInFlight())
	target.Queued = int(held.Load.GetQueued())
	target.Limit = int(held.Load.GetLimit())
	target.LatencyP50 = parser.Duration(held.Load.GetRecentLatency().AsDuration())
}

// Quarantine shows the requests that are refused because they crash targets.
func (r *Reporter) Quarantine(*http.Request) any {
	view := adminapi.Quarantine{Origin: r.origin.Now(), Entries: []adminapi.QuarantineEntry{}, Suspects: []adminapi.Suspect{}}
	for _, e := range r.quarantine.Entries() {
		view.Entries = append(view.Entries, adminapi.QuarantineEntry{
			Fingerprint: strconv.FormatUint(e.Fingerprint, 16), LostTargets: []string{},
			Until: view.At.Add(e.Remaining.AsDuration()),
		})
	}
	return view
}
