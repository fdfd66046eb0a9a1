package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"jackdawcart.org/core/loader"
)

// Offsets of the ports of a node, whose ports are nodeStride apart.
const (
	nodeStride     = 10
	gatewayCaller  = 0
	gatewaySession = 1
	gatewayAdmin   = 2
	relaySession   = 5
	relayAdmin     = 6
)

// nodeSettings has the fields of a settings file that differ from the defaults.
type nodeSettings struct {
	Node            string             `json:"node"`
	Region          string             `json:"region"`
	FailureDomain   string             `json:"failure-domain"`
	CallerAddress   *netip.AddrPort    `json:"caller-address,omitempty"`
	SessionAddress  netip.AddrPort     `json:"session-address"`
	AdminAddress    netip.AddrPort     `json:"admin-address"`
	Relays          []netip.AddrPort   `json:"relays"`
	Neighbours      []loader.Neighbour `json:"neighbours"`
	PlatformAddress netip.AddrPort     `json:"platform-address"`
	KeyFile         string             `json:"key-file"`
}

func (d *deployment) port(domain, node int, offset uint16) netip.AddrPort {
	index := uint16(domain*d.nodes + node)
	return netip.AddrPortFrom(loopback, d.nodePort+index*nodeStride+offset)
}

// relays returns the relays of a failure domain, that of the given node first.
func (d *deployment) relays(domain, first int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range d.nodes {
		all = append(all, d.port(domain, (first+i)%d.nodes, relaySession))
	}
	return all
}

func (d *deployment) neighbours(own int) []loader.Neighbour {
	var all []loader.Neighbour
	for domain, name := range d.domains {
		if domain != own {
			all = append(all, loader.Neighbour{FailureDomain: name, Relays: d.relays(domain, 0)})
		}
	}
	return all
}

// settings returns the settings of one process.
func (d *deployment) settings(domain, node int, program loader.Program) nodeSettings {
	s := nodeSettings{
		Node:            fmt.Sprintf("%s-%d", d.domains[domain], node+1),
		Region:          d.name,
		FailureDomain:   d.domains[domain],
		SessionAddress:  d.port(domain, node, relaySession),
		AdminAddress:    d.port(domain, node, relayAdmin),
		Relays:          d.relays(domain, node),
		Neighbours:      d.neighbours(domain),
		PlatformAddress: netip.AddrPortFrom(loopback, d.platformPort),
		KeyFile:         "../shared.keys",
	}
	if program == loader.Gateway {
		caller := d.port(domain, node, gatewayCaller)
		s.CallerAddress = &caller
		s.SessionAddress = d.port(domain, node, gatewaySession)
		s.AdminAddress = d.port(domain, node, gatewayAdmin)
	}
	return s
}

func (s *nodeSettings) encode() ([]byte, error) {
	var text bytes.Buffer
	text.WriteString(generated)
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(s)
	return text.Bytes(), err
}
