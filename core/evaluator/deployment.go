package evaluator

import (
	"fmt"
	"time"
)

// Deployment is the size of one user's tier and targets.
type Deployment struct {
	Name           string
	FailureDomains []string
	VMsPerDomain   int
	Services       []Service
}

// Service is one service with equal shards and equal targets.
type Service struct {
	Name        string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	ConnectTime time.Duration
}

// The two kinds of targets differ in what a new connection costs.
const (
	slowConnect = 6 * time.Millisecond
	fastConnect = time.Millisecond
)

// Litoral returns the deployment of Litoral at its size of today.
func Litoral() Deployment {
	services := numbered("registro-campo", 10, Service{Shards: 1, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnect})
	services = append(services, numbered("agenda", 15, Service{Shards: 1, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnect})...)
	return Deployment{
		Name:           "litoral",
		FailureDomains: []string{"rosario", "santa-fe", "parana"},
		VMsPerDomain:   3,
		Services: append(
			services,
			Service{Name: "certificados", Shards: 1, Replicas: 5, Slots: 4, Connections: 110, ConnectTime: fastConnect},
			Service{Name: "municipios", Shards: 1, Replicas: 3, Slots: 4, Connections: 110, ConnectTime: fastConnect},
		),
	}
}

// Central returns the deployment of nz-central at its size of today.
func Central() Deployment {
	services := numbered("trackfinder", 10, Service{Shards: 1, Replicas: 3, Slots: 3, Connections: 30, ConnectTime: slowConnect})
	services = append(services, numbered("hutbook", 15, Service{Shards: 1, Replicas: 3, Slots: 3, Connections: 30, ConnectTime: slowConnect})...)
	return Deployment{
		Name:           "nz-central",
		FailureDomains: []string{"nzc-ruahine", "nzc-tararua", "nzc-rimutaka"},
		VMsPerDomain:   3,
		Services: append(
			services,
			Service{Name: "sheetshelf", Shards: 5, Replicas: 2, Slots: 4, Connections: 45, ConnectTime: fastConnect},
			Service{Name: "memberroll", Shards: 1, Replicas: 5, Slots: 4, Connections: 45, ConnectTime: fastConnect},
		),
	}
}

// Wide returns one service whose queries span 74 shards, as at design scale.
func Wide() Deployment {
	return Deployment{
		Name:           "wide",
		FailureDomains: []string{"a", "b", "c"},
		VMsPerDomain:   3,
		Services:       []Service{{Name: "wide", Shards: 74, Replicas: 3, Slots: 2, Connections: 25, ConnectTime: slowConnect}},
	}
}

// Select returns the deployment with only the services whose name starts with
// one of the prefixes; without a prefix all of them.
func (d Deployment) Select(prefixes ...string) Deployment {
	if len(prefixes) == 0 {
		return d
	}
	var kept []Service
	for _, s := range d.Services {
		for _, prefix := range prefixes {
			if len(s.Name) >= len(prefix) && s.Name[:len(prefix)] == prefix {
				kept = append(kept, s)
			}
		}
	}
	d.Services = kept
	d.Name += "/" + prefixes[0]
	return d
}

// Capacity returns the queries per second over all services of the deployment
// that its targets can serve: the service with the least capacity decides.
func (d Deployment) Capacity() float64 {
	var least float64
	for i, s := range d.Services {
		capacity := float64(s.Replicas*s.Slots) / meanWork().Seconds()
		if i == 0 || capacity < least {
			least = capacity
		}
	}
	return least
}

func numbered(name string, n int, service Service) []Service {
	services := make([]Service, n)
	for i := range services {
		services[i] = service
		services[i].Name = fmt.Sprintf("%s-%02d", name, i)
	}
	return services
}
