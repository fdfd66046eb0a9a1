package launcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/targetstandin/describer"
)

// Ports of a deployment on its own loopback address.
const (
	portPlatform = 7000
	portControl  = 7010
	portNodes    = 7100
	portsOfNode  = 10
	portTargets  = 7500
	portProxies  = 7800
)

// Node is one entry VM.
type Node struct {
	Name    string
	Domain  string
	Caller  netip.AddrPort
	Gateway netip.AddrPort
	// GatewayAdmin and RelayAdmin are the operators' interfaces.
	GatewayAdmin netip.AddrPort
	Relay        netip.AddrPort
	RelayAdmin   netip.AddrPort
}

// Cluster is a deployment of separate processes.
type Cluster struct {
	Options
	Directory string
	Nodes     []Node
	Document  *parser.Document
	Platform  netip.AddrPort
	// Controls are the control addresses of the target processes, and
	// ControlOf gives that of each target.
	Controls  []netip.AddrPort
	ControlOf map[string]netip.AddrPort
	// Proxies cut the failure domain of Options.Cut.
	Proxies []*Proxy
	KeyFile string

	binaries *Binaries
	ip       netip.Addr

	mu        sync.Mutex
	processes map[string]*Process
	started   []*Process
}

// New prepares a deployment in a directory without starting a process.
func New(binaries *Binaries, directory string, options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options.withDefaults(), Directory: directory, binaries: binaries,
		ip:        randomLoopback(),
		ControlOf: make(map[string]netip.AddrPort),
		processes: make(map[string]*Process),
	}
	c.Platform = c.address(portPlatform)
	c.placeNodes()
	c.describeService()
	if err := c.startProxies(); err != nil {
		return nil, err
	}
	return c, c.writeFiles()
}

// randomLoopback gives each deployment its own address, so that all can use
// the same ports.
func randomLoopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(16 + rand.IntN(200)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
}

func (c *Cluster) address(port int) netip.AddrPort {
	return netip.AddrPortFrom(c.ip, uint16(port))
}

func (c *Cluster) placeNodes() {
	for _, domain := range c.Domains {
		for i := range c.Options.Nodes {
			port := portNodes + portsOfNode*len(c.Nodes)
			c.Nodes = append(c.Nodes, Node{
				Name: fmt.Sprintf("%s-%d", domain, i+1), Domain: domain,
				Caller: c.address(port), Gateway: c.address(port + 1), GatewayAdmin: c.address(port + 2),
				Relay: c.address(port + 5), RelayAdmin: c.address(port + 6),
			})
		}
	}
}

func (c *Cluster) describeService() {
	c.Document = &parser.Document{
		Service: Service, Team: "tests",
		Answering: parser.Answering{
			Lead: c.Sets[0], Deadline: parser.Duration(c.Deadline),
			Priority: parser.PriorityNormal, HedgeBudget: 0.05,
		},
	}
	port := portTargets
	for _, name := range c.Sets {
		set := parser.Set{Name: name}
		for _, domain := range c.Domains {
			for i := range c.Targets {
				set.Targets = append(set.Targets, parser.Target{
					Name: fmt.Sprintf("%s-%s-%d", name, domain, i+1), Address: c.address(port), FailureDomain: domain,
					Slots: 4, Connections: 45, ConnectTime: parser.Duration(time.Millisecond),
				})
				port++
			}
		}
		c.Document.Sets = append(c.Document.Sets, set)
	}
}

// startProxies puts a proxy before the platform, as the cut domain sees it,
// and before the sessions of every process, at the addresses that gossip
// carries. Only connections over the border of the domain can be cut.
func (c *Cluster) startProxies() error {
	if c.Cut == "" {
		return nil
	}
	always := func(netip.AddrPort) bool { return true }
	if err := c.addProxy(c.address(portProxies), c.Platform, always); err != nil {
		return err
	}
	for i, n := range c.Nodes {
		crosses := func(client netip.AddrPort) bool {
			origin, ok := c.originOf(client)
			return !ok || (c.domainOf(origin) == c.Cut) != (n.Domain == c.Cut)
		}
		err := errors.Join(
			c.addProxy(n.Relay, c.listener(i, n.Relay), crosses),
			c.addProxy(n.Gateway, c.listener(i, n.Gateway), crosses),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addProxy(listen, target netip.AddrPort, crosses func(netip.AddrPort) bool) error {
	p, err := NewProxy(listen, target, crosses)
	if err != nil {
		return err
	}
	c.Proxies = append(c.Proxies, p)
	return nil
}

// listener returns where a process listens whose address a proxy has taken.
func (c *Cluster) listener(node int, address netip.AddrPort) netip.AddrPort {
	if c.Cut == "" {
		return address
	}
	return c.address(portProxies + portsOfNode*(node+1) + int(address.Port())%portsOfNode)
}

func (c *Cluster) domainOf(p *Process) string {
	for _, n := range c.Nodes {
		if strings.HasPrefix(p.Name, n.Name+"-") {
			return n.Domain
		}
	}
	return ""
}

// platformOf returns the address of the platform for a failure domain.
func (c *Cluster) platformOf(domain string) netip.AddrPort {
	if c.Cut != "" && domain == c.Cut {
		return c.address(portProxies)
	}
	return c.Platform
}

func (c *Cluster) writeFiles() error {
	c.KeyFile = filepath.Join(c.Directory, "shared.keys")
	if err := os.WriteFile(c.KeyFile, []byte("a-shared-key-of-the-failure-tests\n"), 0o600); err != nil {
		return err
	}
	text, err := c.Document.Encode()
	if err != nil {
		return err
	}
	documents := filepath.Join(c.Directory, "documents")
	if err := os.MkdirAll(documents, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(documents, Service+".json"), text, 0o600); err != nil {
		return err
	}
	for i, n := range c.Nodes {
		if err := c.writeSettings(i, n); err != nil {
			return err
		}
	}
	return c.writeTargets()
}

func (c *Cluster) writeSettings(i int, n Node) error {
	settings := map[string]any{
		"node": n.Name, "region": "tests", "failure-domain": n.Domain,
		"platform-address": c.platformOf(n.Domain), "key-file": c.KeyFile,
		"relays": c.relays(n), "neighbours": c.neighbours(n),
	}
	// A stalled machine must not make a gateway take a caller for a slow one.
	settings["header-timeout"] = "30s"
	for key, value := range c.Settings {
		settings[key] = value
	}
	settings["session-address"], settings["admin-address"] = n.Relay, n.RelayAdmin
	settings["session-listen-address"] = c.listener(i, n.Relay)
	if err := c.writeJSON(n.Name+"-relay.json", settings); err != nil {
		return err
	}
	settings["session-address"], settings["admin-address"] = n.Gateway, n.GatewayAdmin
	settings["session-listen-address"] = c.listener(i, n.Gateway)
	settings["caller-address"] = n.Caller
	return c.writeJSON(n.Name+"-gateway.json", settings)
}

// relays lists the relays of the node's domain, that of its own VM first.
func (c *Cluster) relays(n Node) []netip.AddrPort {
	relays := []netip.AddrPort{n.Relay}
	for _, other := range c.Nodes {
		if other.Domain == n.Domain && other.Name != n.Name {
			relays = append(relays, other.Relay)
		}
	}
	return relays
}

func (c *Cluster) neighbours(n Node) []any {
	neighbours := []any{}
	for _, domain := range c.Domains {
		if domain == n.Domain {
			continue
		}
		var relays []netip.AddrPort
		for _, other := range c.Nodes {
			if other.Domain == domain {
				relays = append(relays, other.Relay)
			}
		}
		neighbours = append(neighbours, map[string]any{"failure-domain": domain, "relays": relays})
	}
	return neighbours
}

// writeTargets writes one description for each target process.
func (c *Cluster) writeTargets() error {
	targets := describer.FromDocument(c.Document, c.Shards)
	for i := range targets {
		targets[i].ServiceTime.Median = describer.Duration(c.ServiceTime)
		if c.ColdStart.For > 0 {
			targets[i].ColdStart = c.ColdStart
		}
	}
	size := len(targets)
	if c.SeparateTargets {
		size = 1
	}
	for start := 0; start < len(targets); start += size {
		control := c.address(portControl + len(c.Controls))
		group := targets[start : start+size]
		name := fmt.Sprintf("targets-%d.json", len(c.Controls))
		if err := c.writeJSON(name, describer.Description{Targets: group}); err != nil {
			return err
		}
		for _, t := range group {
			c.ControlOf[t.Name] = control
		}
		c.Controls = append(c.Controls, control)
	}
	return nil
}

func (c *Cluster) writeJSON(name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Directory, name), text, 0o600)
}

// Start starts all processes.
func (c *Cluster) Start() error {
	_, err := c.start("platform", c.binaries.Platform, "--listen", c.Platform.String(),
		"--documents", filepath.Join(c.Directory, "documents"))
	errs := []error{err}
	for i := range c.Controls {
		errs = append(errs, c.StartTargets(i))
	}
	for _, n := range c.Nodes {
		errs = append(errs, c.StartRelay(n), c.StartGateway(n))
	}
	return errors.Join(errs...)
}

// StartTargets starts the target process with the given number.
func (c *Cluster) StartTargets(i int) error {
	_, err := c.start(fmt.Sprintf("targets-%d", i), c.binaries.Targets, "--control", c.Controls[i].String(),
		"--targets", filepath.Join(c.Directory, fmt.Sprintf("targets-%d.json", i)))
	return err
}

// StartRelay starts the relay of a node, also after an earlier one has ended.
func (c *Cluster) StartRelay(n Node) error {
	_, err := c.start(n.Name+"-relay", c.binaries.Relay, "--settings", filepath.Join(c.Directory, n.Name+"-relay.json"))
	return err
}

// StartGateway starts the gateway of a node.
func (c *Cluster) StartGateway(n Node) error {
	_, err := c.start(n.Name+"-gateway", c.binaries.Gateway, "--settings", filepath.Join(c.Directory, n.Name+"-gateway.json"))
	return err
}

// Ctl returns the path of jackdawctl.
func (c *Cluster) Ctl() string { return c.binaries.Ctl }

func (c *Cluster) start(name, path string, args ...string) (*Process, error) {
	p, err := Start(c.Directory, name, path, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	c.started = append(c.started, p)
	return p, nil
}

// Process returns the latest process of a name, such as north-1-gateway.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// SetCut sets the mode of all proxies.
func (c *Cluster) SetCut(mode Mode) {
	for _, p := range c.Proxies {
		p.Set(mode)
	}
}

// Close ends every process that was started, and all proxies.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.started {
		p.Kill()
	}
	for _, p := range c.Proxies {
		p.Close()
	}
}

// Tails returns the last lines of the logs of all processes.
func (c *Cluster) Tails(lines int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, p := range c.processes {
		text += fmt.Sprintf("--- %s\n%s\n", p.Name, p.Tail(lines))
	}
	return text
}
