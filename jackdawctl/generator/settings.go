package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"jackdawcart.org/core/loader"
)

// The first ports of two consecutive nodes are nodePortStride apart. A process listens
// at the first port of its node plus an offset.
const (
	nodePortStride       = 10
	gatewayCallerOffset  = 0
	gatewaySessionOffset = 1
	gatewayAdminOffset   = 2
	relaySessionOffset   = 5
	relayAdminOffset     = 6
)

// nodeSettings holds the fields of a settings file that differ from the defaults.
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
	return netip.AddrPortFrom(loopback, d.nodePort+index*nodePortStride+offset)
}

// relays returns the session addresses of the relays in a failure domain, starting
// with that of the given node.
func (d *deployment) relays(domain, first int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range d.nodes {
		all = append(all, d.port(domain, (first+i)%d.nodes, relaySessionOffset))
	}
	return all
}

func (d *deployment) neighbours(ownDomain int) []loader.Neighbour {
	var all []loader.Neighbour
	for domain, name := range d.domains {
		if domain != ownDomain {
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
		SessionAddress:  d.port(domain, node, relaySessionOffset),
		AdminAddress:    d.port(domain, node, relayAdminOffset),
		Relays:          d.relays(domain, node),
		Neighbours:      d.neighbours(domain),
		PlatformAddress: netip.AddrPortFrom(loopback, d.platformPort),
		KeyFile:         "../shared.keys",
	}
	if program == loader.Gateway {
		caller := d.port(domain, node, gatewayCallerOffset)
		s.CallerAddress = &caller
		s.SessionAddress = d.port(domain, node, gatewaySessionOffset)
		s.AdminAddress = d.port(domain, node, gatewayAdminOffset)
	}
	return s
}

func (s *nodeSettings) encode() ([]byte, error) {
	var text bytes.Buffer
	text.WriteString(generatedNotice)
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(s)
	return text.Bytes(), err
}
