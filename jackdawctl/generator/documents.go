package generator

import (
	"fmt"
	"net/netip"

	"jackdawcart.org/core/parser"
)

const (
	// movedShare is the share of callers that the new set answers.
	movedShare      = 0.1
	mirroredLoad    = 0.05
	generatedNotice = "// Written by \"jackdawctl examples\".\n"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// portAllocator allocates consecutive ports to targets.
type portAllocator struct{ next uint16 }

func (p *portAllocator) allocate() netip.AddrPort {
	address := netip.AddrPortFrom(loopback, p.next)
	p.next++
	return address
}

// documents returns the service documents of a deployment.
func (d *deployment) documents() []*parser.Document {
	ports := &portAllocator{next: d.targetPort}
	var all []*parser.Document
	for i := range d.kinds {
		k := &d.kinds[i]
		for _, service := range k.serviceNames() {
			all = append(all, k.document(service, d.domains, ports))
		}
	}
	return all
}

func (k *serviceKind) serviceNames() []string {
	if k.services == 0 {
		return []string{k.name}
	}
	var serviceNames []string
	for i := range k.services {
		serviceNames = append(serviceNames, fmt.Sprintf("%s-%02d", k.name, i+1))
	}
	return serviceNames
}

func (k *serviceKind) document(service string, domains []string, ports *portAllocator) *parser.Document {
	doc := &parser.Document{Service: service, Team: k.name, Answering: k.answering}
	doc.Sets = append(doc.Sets, k.set(service, setOld, domains, ports))
	if !k.hasNewSet {
		return doc
	}
	doc.Sets = append(doc.Sets, k.set(service, setNew, domains, ports))
	doc.Answering.Move = &parser.Move{Set: setNew, Share: movedShare}
	doc.Answering.Fallback = setOld
	doc.Answering.Mirror = &parser.Mirror{Set: setNew, Share: mirroredLoad, MaxExtraLoad: mirroredLoad}
	return doc
}

// set returns a set whose targets are distributed round-robin over the failure
// domains.
func (k *serviceKind) set(service, name string, domains []string, ports *portAllocator) parser.Set {
	set := parser.Set{Name: name}
	for i := range k.targets {
		set.Targets = append(set.Targets, parser.Target{
			Name:          fmt.Sprintf("%s-%s-%d", service, name, i+1),
			Address:       ports.allocate(),
			FailureDomain: domains[i%len(domains)],
			Slots:         k.slots,
			Connections:   k.connections,
			ConnectTime:   parser.Duration(k.connectTime),
		})
	}
	return set
}
