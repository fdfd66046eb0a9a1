package evaluator

import (
	"fmt"
	"time"
)

// Deployment describes the size of a query tier and of its targets.
type Deployment struct {
	Name           string
	FailureDomains []string
	VMsPerDomain   int
	Services       []Service
}

// Service is one service; its shards are equal, and so are its targets.
type Service struct {
	Name        string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	ConnectTime time.Duration
}

// Time to set up a new connection for the two kinds of targets.
const (
	slowConnectTime = 6 * time.Millisecond
	fastConnectTime = time.Millisecond
)

// Litoral returns the deployment of Litoral at its present size.
func Litoral() Deployment {
	services := numberedServices("registro-campo", 10, Service{Shards: 1, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnectTime})
	services = append(services, numberedServices("agenda", 15, Service{Shards: 1, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnectTime})...)
	return Deployment{
		Name:           "litoral",
		FailureDomains: []string{"rosario", "santa-fe", "parana"},
		VMsPerDomain:   3,
		Services: append(
			services,
			Service{Name: "certificados", Shards: 1, Replicas: 5, Slots: 4, Connections: 110, ConnectTime: fastConnectTime},
			Service{Name: "municipios", Shards: 1, Replicas: 3, Slots: 4, Connections: 110, ConnectTime: fastConnectTime},
		),
	}
}

// Central returns the deployment of nz-central at its present size.
func Central() Deployment {
	services := numberedServices("trackfinder", 10, Service{Shards: 1, Replicas: 3, Slots: 3, Connections: 30, ConnectTime: slowConnectTime})
	services = append(services, numberedServices("hutbook", 15, Service{Shards: 1, Replicas: 3, Slots: 3, Connections: 30, ConnectTime: slowConnectTime})...)
	return Deployment{
		Name:           "nz-central",
		FailureDomains: []string{"nzc-ruahine", "nzc-tararua", "nzc-rimutaka"},
		VMsPerDomain:   3,
		Services: append(
			services,
			Service{Name: "sheetshelf", Shards: 5, Replicas: 2, Slots: 4, Connections: 45, ConnectTime: fastConnectTime},
			Service{Name: "memberroll", Shards: 1, Replicas: 5, Slots: 4, Connections: 45, ConnectTime: fastConnectTime},
		),
	}
}

// Wide returns a deployment of one service whose queries span 74 shards, the
// design scale.
func Wide() Deployment {
	return Deployment{
		Name:           "wide",
		FailureDomains: []string{"a", "b", "c"},
		VMsPerDomain:   3,
		Services:       []Service{{Name: "wide", Shards: 74, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnectTime}},
	}
}

// Select returns the deployment with only the services whose name starts with
// one of the prefixes, or with all services when no prefix is given.
func (d Deployment) Select(prefixes ...string) Deployment {
	if len(prefixes) == 0 {
		return d
	}
	var selected []Service
	for _, s := range d.Services {
		for _, prefix := range prefixes {
			if len(s.Name) >= len(prefix) && s.Name[:len(prefix)] == prefix {
				selected = append(selected, s)
			}
		}
	}
	d.Services = selected
	d.Name += "/" + prefixes[0]
	return d
}

// Capacity returns the rate, in queries per second, at which the targets can
// serve queries that span all services. The service with the least capacity
// limits it.
func (d Deployment) Capacity() float64 {
	var least float64
	for i, s := range d.Services {
		capacity := float64(s.Replicas*s.Slots) / meanServiceTime().Seconds()
		if i == 0 || capacity < least {
			least = capacity
		}
	}
	return least
}

// numberedServices returns n copies of a service, named with consecutive numbers.
func numberedServices(name string, n int, service Service) []Service {
	services := make([]Service, n)
	for i := range services {
		services[i] = service
		services[i].Name = fmt.Sprintf("%s-%02d", name, i)
	}
	return services
}
