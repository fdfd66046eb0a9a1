// Package generator writes the example settings and service documents of the
// deployments that the design page describes. Every process and target has its own
// ports on the loopback address, so that a deployment can run on one host.
package generator

import (
	"time"

	"jackdawcart.org/core/parser"
)

// Names of the sets of a service that moves from an old to a new system.
const (
	setOld = "old"
	setNew = "new"
)

// deployment describes one example directory.
type deployment struct {
	name    string
	domains []string
	// nodes is the number of nodes in each failure domain.
	nodes        int
	platformPort uint16
	nodePort     uint16
	targetPort   uint16
	kinds        []serviceKind
}

// serviceKind describes services that are alike in everything but name and address.
type serviceKind struct {
	name string
	// services is the number of services, or 0 for a single one named after the
	// kind.
	services    int
	targets     int
	slots       int
	connections int
	connectTime time.Duration
	// hasNewSet is true if the services move from the old set to a new one.
	hasNewSet bool
	answering parser.Answering
}

// searchDeadline is the time within which 99 in 100 answers must arrive.
const searchDeadline = 130 * time.Millisecond

// minimumCoverage rejects only answers that lack more than half of the data: a
// partial answer states what it lacks, and is of more use to inspectors and members
// than a refusal.
const minimumCoverage = 0.5

// hedgeBudget is the highest share that the query tier allows.
const hedgeBudget = 0.05

func answering(priority string) parser.Answering {
	return parser.Answering{
		Lead:            setOld,
		Deadline:        parser.Duration(searchDeadline),
		MinimumCoverage: minimumCoverage,
		Priority:        priority,
		HedgeBudget:     hedgeBudget,
	}
}

// deployments lists the example deployments at their current sizes. Kinds that run
// non-idempotent requests have only one set.
var deployments = []deployment{
	{
		name: "litoral", domains: []string{"rosario", "santa-fe", "parana"}, nodes: 3,
		platformPort: 8090, nodePort: 8100, targetPort: 8300,
		kinds: []serviceKind{
			{
				name: "registro-campo", services: 10, targets: 3, slots: 2, connections: 25, connectTime: 6 * time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityHigh),
			},
			{
				name: "agenda", services: 15, targets: 3, slots: 2, connections: 25, connectTime: 6 * time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityNormal),
			},
			{
				name: "certificados", targets: 5, slots: 4, connections: 110, connectTime: time.Millisecond,
				answering: answering(parser.PriorityHigh),
			},
			{
				name: "municipios", targets: 3, slots: 4, connections: 110, connectTime: time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityLow),
			},
		},
	},
	{
		name: "nz-central", domains: []string{"nzc-ruahine", "nzc-tararua", "nzc-rimutaka"}, nodes: 3,
		platformPort: 9090, nodePort: 9100, targetPort: 9300,
		kinds: []serviceKind{
			{
				name: "trackfinder", services: 10, targets: 3, slots: 3, connections: 30, connectTime: 6 * time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityNormal),
			},
			{
				name: "hutbook", services: 15, targets: 3, slots: 3, connections: 30, connectTime: 6 * time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityHigh),
			},
			{
				name: "sheetshelf", targets: 10, slots: 4, connections: 45, connectTime: time.Millisecond,
				hasNewSet: true, answering: answering(parser.PriorityNormal),
			},
			{
				name: "memberroll", targets: 5, slots: 4, connections: 45, connectTime: time.Millisecond,
				answering: answering(parser.PriorityLow),
			},
		},
	},
	{
		// Four shards with three replicas; each target holds one shard.
		name: "demo", domains: []string{"north", "east", "south"}, nodes: 1,
		platformPort: 7090, nodePort: 7100, targetPort: 7300,
		kinds: []serviceKind{{
			name: "library", targets: 12, slots: 4, connections: 45, connectTime: time.Millisecond,
			answering: answering(parser.PriorityNormal),
		}},
	},
}
