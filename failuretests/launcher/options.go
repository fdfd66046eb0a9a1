package launcher

import (
	"time"

	"jackdawcart.org/targetstandin/describer"
)

// Service is the name of the only service of a deployment.
const Service = "library"

// Options configures a deployment. Zero values select the defaults.
type Options struct {
	// Domains are the failure domains, north and south by default.
	Domains []string
	// Nodes is the number of entry VMs in each failure domain.
	Nodes int
	// Targets is the number of targets of each set in each failure domain.
	Targets int
	// Sets are the names of the target sets. The first one is the lead set.
	Sets []string
	// Shards is the number of shards of each set, with two replicas each.
	Shards int
	// ServiceTime is the median service time of the targets.
	ServiceTime time.Duration
	// ColdStart increases the service time of targets after their start.
	ColdStart describer.ColdStart
	// Deadline is the default deadline of requests to the service.
	Deadline time.Duration
	// SeparateTargets runs each target in its own process.
	SeparateTargets bool
	// PartitionedDomain is a failure domain whose connections to the platform
	// and to the other domains run through proxies that can interrupt them.
	PartitionedDomain string
	// Settings are merged into the settings file of every gateway and relay.
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
