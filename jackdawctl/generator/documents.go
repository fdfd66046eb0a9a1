package generator

import (
	"fmt"
	"net/netip"

	"jackdawcart.org/core/parser"
)

const (
	// movedShare is the share of the callers that the new set answers.
	movedShare   = 0.1
	mirroredLoad = 0.05
	generated    = "// Written by \"jackdawctl examples\".\n"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// ports hands out the ports of targets in turn.
type ports struct{ next uint16 }

func (p *ports) take() netip.AddrPort {
	address := netip.AddrPortFrom(loopback, p.next)
	p.next++
	return address
}

// documents returns the service documents of a deployment.
func (d *deployment) documents() []*parser.Document {
	free := &ports{next: d.targetPort}
	var all []*parser.Document
	for i := range d.kinds {
		k := &d.kinds[i]
		for _, service := range k.names() {
			all = append(all, k.document(service, d.domains, free))
		}
	}
	return all
}

func (k *kind) names() []string {
	if k.services == 0 {
		return []string{k.name}
	}
	var names []string
	for i := range k.services {
		names = append(names, fmt.Sprintf("%s-%02d", k.name, i+1))
	}
	return names
}

func (k *kind) document(service string, domains []string, free *ports) *parser.Document {
	doc := &parser.Document{Service: service, Team: k.name, Answering: k.answering}
	doc.Sets = append(doc.Sets, k.set(service, setOld, domains, free))
	if !k.moves {
		return doc
	}
	doc.Sets = append(doc.Sets, k.set(service, setNew, domains, free))
	doc.Answering.Move = &parser.Move{Set: setNew, Share: movedShare}
	doc.Answering.Fallback = setOld
	doc.Answering.Mirror = &parser.Mirror{Set: setNew, Share: mirroredLoad, MaxExtraLoad: mirroredLoad}
	return doc
}

// set spreads the targets over the failure domains in turn.
func (k *kind) set(service, name string, domains []string, free *ports) parser.Set {
	set := parser.Set{Name: name}
	for i := range k.targets {
		set.Targets = append(set.Targets, parser.Target{
			Name:          fmt.Sprintf("%s-%s-%d", service, name, i+1),
			Address:       free.take(),
			FailureDomain: domains[i%len(domains)],
			Slots:         k.slots,
			Connections:   k.connections,
			ConnectTime:   parser.Duration(k.connectTime),
		})
	}
	return set
}
