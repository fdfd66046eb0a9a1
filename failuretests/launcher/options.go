package launcher

import (
	"time"

	"jackdawcart.org/targetstandin/describer"
)

// Service is the name of the one service that a deployment has.
const Service = "library"

// Options describe a deployment. Zero values take the defaults.
type Options struct {
	// Domains are the failure domains: north and south by default.
	Domains []string
	// Nodes is the number of entry VMs in each failure domain.
	Nodes int
	// Targets is the number of targets of each set in each failure domain.
	Targets int
	// Sets are the target sets; the first one leads.
	Sets []string
	// Shards is the number of shards of each set, with two replicas each.
	Shards int
	// ServiceTime is the median service time of the targets.
	ServiceTime time.Duration
	// ColdStart slows the targets after their start.
	ColdStart describer.ColdStart
	// Deadline is the deadline of the service.
	Deadline time.Duration
	// SeparateTargets runs each target in its own process.
	SeparateTargets bool
	// Cut names a failure domain that can be cut off from the platform and from
	// the other domains.
	Cut string
	// Settings are added to the settings file of every process.
	Settings map[string]any
}

func (o Options) withDefaults() Options {
	if o.Domains == nil {
		o.Domains = []string{"north", "south"}
	}
	if o.Sets == nil {
		o.Sets = []string{"main"}
	}
	setDefault(&o.Nodes, 2)
	setDefault(&o.Targets, 3)
	setDefault(&o.Shards, 3)
	setDefault(&o.ServiceTime, 4*time.Millisecond)
	setDefault(&o.Deadline, time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
