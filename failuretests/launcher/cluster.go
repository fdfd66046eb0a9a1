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

// Port layout of a deployment on its loopback address.
const (
	platformPort     = 7000
	firstControlPort = 7010
	firstNodePort    = 7100
	portsPerNode     = 10
	firstTargetPort  = 7500
	firstProxyPort   = 7800
)

// Node holds the addresses of the gateway and the relay of one entry VM.
type Node struct {
	Name    string
	Domain  string
	Caller  netip.AddrPort
	Gateway netip.AddrPort
	// GatewayAdmin and RelayAdmin are the addresses of the admin APIs.
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
	// ControlAddresses lists the control address of each target process, and
	// ControlAddressByTarget maps target names to them.
	ControlAddresses       []netip.AddrPort
	ControlAddressByTarget map[string]netip.AddrPort
	// Proxies simulate the network partition of Options.PartitionedDomain.
	Proxies []*Proxy
	KeyFile string

	binaries *Binaries
	ip       netip.Addr

	mu        sync.Mutex
	processes map[string]*Process // the latest process of each name
	started   []*Process          // all processes, including those that exited
}

// New prepares the files and proxies of a deployment without starting its
// processes.
func New(binaries *Binaries, directory string, options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options.withDefaults(), Directory: directory, binaries: binaries,
		ip:                     randomLoopback(),
		ControlAddressByTarget: make(map[string]netip.AddrPort),
		processes:              make(map[string]*Process),
	}
	c.Platform = c.address(platformPort)
	c.assignNodeAddresses()
	c.buildDocument()
	if err := c.startProxies(); err != nil {
		return nil, err
	}
	return c, c.writeFiles()
}

// randomLoopback returns a random loopback address for one deployment, so that
// concurrent deployments can use the same ports.
func randomLoopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(16 + rand.IntN(200)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
}

func (c *Cluster) address(port int) netip.AddrPort {
	return netip.AddrPortFrom(c.ip, uint16(port))
}

func (c *Cluster) assignNodeAddresses() {
	for _, domain := range c.Domains {
		for i := range c.Options.Nodes {
			port := firstNodePort + portsPerNode*len(c.Nodes)
			c.Nodes = append(c.Nodes, Node{
				Name: fmt.Sprintf("%s-%d", domain, i+1), Domain: domain,
				Caller: c.address(port), Gateway: c.address(port + 1), GatewayAdmin: c.address(port + 2),
				Relay: c.address(port + 5), RelayAdmin: c.address(port + 6),
			})
		}
	}
}

func (c *Cluster) buildDocument() {
	c.Document = &parser.Document{
		Service: Service, Team: "tests",
		Answering: parser.Answering{
			Lead: c.Sets[0], Deadline: parser.Duration(c.Deadline),
			Priority: parser.PriorityNormal, HedgeBudget: 0.05,
		},
	}
	port := firstTargetPort
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

// startProxies starts a proxy in front of the platform, used by the partitioned
// domain only, and in front of every session listener, at the address that
// gossip advertises. The proxies interrupt only connections between the
// partitioned domain and the rest.
func (c *Cluster) startProxies() error {
	if c.PartitionedDomain == "" {
		return nil
	}
	always := func(_, _ netip.AddrPort) bool { return true }
	if err := c.addProxy(c.address(firstProxyPort), c.Platform, always); err != nil {
		return err
	}
	for i, n := range c.Nodes {
		crossesPartition := func(client, server netip.AddrPort) bool {
			process, ok := c.clientProcess(client, server)
			return !ok || (c.domainOf(process) == c.PartitionedDomain) != (n.Domain == c.PartitionedDomain)
		}
		err := errors.Join(
			c.addProxy(n.Relay, c.listenAddress(i, n.Relay), crossesPartition),
			c.addProxy(n.Gateway, c.listenAddress(i, n.Gateway), crossesPartition),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addProxy(listen, target netip.AddrPort, crossesPartition func(client, server netip.AddrPort) bool) error {
	p, err := NewProxy(listen, target, crossesPartition)
	if err != nil {
		return err
	}
	c.Proxies = append(c.Proxies, p)
	return nil
}

// listenAddress returns the address that a process listens on. It differs from
// the advertised address if a proxy listens there.
func (c *Cluster) listenAddress(node int, address netip.AddrPort) netip.AddrPort {
	if c.PartitionedDomain == "" {
		return address
	}
	return c.address(firstProxyPort + portsPerNode*(node+1) + int(address.Port())%portsPerNode)
}

func (c *Cluster) domainOf(p *Process) string {
	for _, n := range c.Nodes {
		if strings.HasPrefix(p.Name, n.Name+"-") {
			return n.Domain
		}
	}
	return ""
}

// platformOf returns the address at which a failure domain reaches the platform.
func (c *Cluster) platformOf(domain string) netip.AddrPort {
	if c.PartitionedDomain != "" && domain == c.PartitionedDomain {
		return c.address(firstProxyPort)
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
	// On a stalled host, a shorter timeout would close connections of healthy
	// callers.
	settings["header-timeout"] = "30s"
	for key, value := range c.Settings {
		settings[key] = value
	}
	settings["session-address"], settings["admin-address"] = n.Relay, n.RelayAdmin
	settings["session-listen-address"] = c.listenAddress(i, n.Relay)
	if err := c.writeJSON(n.Name+"-relay.json", settings); err != nil {
		return err
	}
	settings["session-address"], settings["admin-address"] = n.Gateway, n.GatewayAdmin
	settings["session-listen-address"] = c.listenAddress(i, n.Gateway)
	settings["caller-address"] = n.Caller
	return c.writeJSON(n.Name+"-gateway.json", settings)
}

// relays returns the relays of the node's failure domain, starting with the
// relay on its own VM.
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

// writeTargets writes a description file for each target process.
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
		control := c.address(firstControlPort + len(c.ControlAddresses))
		group := targets[start : start+size]
		name := fmt.Sprintf("targets-%d.json", len(c.ControlAddresses))
		if err := c.writeJSON(name, describer.Description{Targets: group}); err != nil {
			return err
		}
		for _, t := range group {
			c.ControlAddressByTarget[t.Name] = control
		}
		c.ControlAddresses = append(c.ControlAddresses, control)
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
	err := c.start("platform", c.binaries.Platform, "--listen", c.Platform.String(),
		"--documents", filepath.Join(c.Directory, "documents"))
	errs := []error{err}
	for i := range c.ControlAddresses {
		errs = append(errs, c.StartTargets(i))
	}
	for _, n := range c.Nodes {
		errs = append(errs, c.StartRelay(n), c.StartGateway(n))
	}
	return errors.Join(errs...)
}

// StartTargets starts the target process with the given index.
func (c *Cluster) StartTargets(i int) error {
	return c.start(fmt.Sprintf("targets-%d", i), c.binaries.Targets, "--control", c.ControlAddresses[i].String(),
		"--targets", filepath.Join(c.Directory, fmt.Sprintf("targets-%d.json", i)))
}

// StartRelay starts the relay of a node. It also restarts a relay that exited.
func (c *Cluster) StartRelay(n Node) error {
	return c.start(n.Name+"-relay", c.binaries.Relay, "--settings", filepath.Join(c.Directory, n.Name+"-relay.json"))
}

// StartGateway starts the gateway of a node. It also restarts a gateway that
// exited.
func (c *Cluster) StartGateway(n Node) error {
	return c.start(n.Name+"-gateway", c.binaries.Gateway, "--settings", filepath.Join(c.Directory, n.Name+"-gateway.json"))
}

// Ctl returns the path of jackdawctl.
func (c *Cluster) Ctl() string { return c.binaries.Ctl }

func (c *Cluster) start(name, path string, args ...string) error {
	p, err := Start(c.Directory, name, path, args...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	c.started = append(c.started, p)
	return nil
}

// Process returns the most recently started process with the given name, such
// as north-1-gateway.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// SetProxyMode sets the mode of all proxies.
func (c *Cluster) SetProxyMode(mode Mode) {
	for _, p := range c.Proxies {
		p.SetMode(mode)
	}
}

// Close kills all started processes and closes the proxies.
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

// LogTails returns the last lines of the log of each process.
func (c *Cluster) LogTails(lines int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, p := range c.processes {
		text += fmt.Sprintf("--- %s\n%s\n", p.Name, p.LogTail(lines))
	}
	return text
}
