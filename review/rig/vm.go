package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Offsets from the first port of a deployment. Ports are the same on all machines, which have
// loopback addresses of their own.
const (
	frontPort = iota
	readyPort
	controlPort
	firstInternalPort
	lastInternalPort = firstInternalPort + 5
)

// machine is a front machine with its process.
type machine struct {
	name, zone, ip string
	port           int
	// storeAddress is where this machine reaches the store.
	storeAddress string
	settings     string
	// dir is where the program was built.
	dir     string
	graceS  int
	logPath string
	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.port+frontPort) }
func (m *machine) ready() string { return fmt.Sprintf("%s:%d", m.ip, m.port+readyPort) }

// freePorts returns the first of some ports that are free on all addresses.
func freePorts(ips []string) int {
	for port := 21000 + os.Getpid()%9000; port < 32000; port += lastInternalPort + 1 {
		free := true
		for _, ip := range ips {
			for offset := range lastInternalPort + 1 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+offset))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return port
		}
	}
	cannotRun("no free ports")
	return 0
}

// writeSettings writes the settings file as the platform does.
func (m *machine) writeSettings() {
	text := strings.NewReplacer(
		"NAME", m.name, "ZONE", m.zone, "IP", m.ip, "STORE", m.storeAddress, "GRACE", fmt.Sprint(m.graceS),
		"FRONT", fmt.Sprint(m.port+frontPort), "READY", fmt.Sprint(m.port+readyPort), "CONTROL", fmt.Sprint(m.port+controlPort),
		"FIRST", fmt.Sprint(m.port+firstInternalPort), "LAST", fmt.Sprint(m.port+lastInternalPort),
	).Replace(settingsText)
	if err := os.WriteFile(m.settings+".new", []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	if err := os.Rename(m.settings+".new", m.settings); err != nil {
		cannotRun("settings: %v", err)
	}
}

const settingsText = `nodeName=NAME
role=entry
machineClass=front
serves=front
ip=IP
zone=ZONE
region=litoral
zones.rosario=litoral
zones.santa-fe=litoral
zones.parana=litoral
bindAddresses.front=IP:FRONT
bindAddresses.ready=IP:READY
bindAddresses.control=IP:CONTROL
internalPortRange=FIRST,LAST
seedNodes=
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryPoint=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stabilityWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=GRACE
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.downgradeSlackMs=250
bounds.skewMaxMs=12000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtraRetries=58
bounds.recoveryS=12
platform.address=STORE
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`

// start runs the command of the deploy file in the root of the repository.
func (m *machine) start() {
	m.writeSettings()
	log, err := os.Create(m.logPath)
	if err != nil {
		cannotRun("log: %v", err)
	}
	m.command = exec.Command(filepath.Join(m.dir, "target/jackdawcart-entry"), "serve", "--settings", "deploy/entry.hujson")
	m.command.Dir = m.dir
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "JACKDAWCART_SETTINGS=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	// The process must not outlive the script.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	started.mu.Lock()
	started.list = append(started.list, m.command.Process)
	started.mu.Unlock()
	m.ended = make(chan struct{})
	go func() {
		_ = m.command.Wait()
		log.Close()
		close(m.ended)
	}()
}

func (m *machine) signal(s os.Signal) { _ = m.command.Process.Signal(s) }

func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// repository is the root of the repository, in which the scripts start the rig.
func repository() string {
	dir, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), "..", ".."))
	if err != nil {
		cannotRun("%v", err)
	}
	return dir
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready() + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string
	store    *store
	runs     *runs
	record   *record
	machines []*machine
	// dirs holds, by the number of a machine, where its program was built if not here.
	dirs     map[int]string
	backends map[string]*backend
}

func newDeployment(record *record) *deployment {
	dir, err := os.MkdirTemp("", "jackdawcart-review-")
	if err != nil {
		cannotRun("%v", err)
	}
	return &deployment{dir: dir, store: newStore(), runs: &runs{}, record: record, backends: make(map[string]*backend)}
}

// addBackend starts a back end.
func (d *deployment) addBackend(id, service, zone string, slots, queue int, work func(string) time.Duration) *backend {
	b := newBackend(id, service, zone, d.store, d.runs, d.record, slots, queue, work)
	d.backends[id] = b
	return b
}

// start starts one machine in each of the zones, and waits until all are ready.
func (d *deployment) start(zones []string) {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+1, i+1))
	}
	port := freePorts(ips)
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("%v", err)
		}
		go func() { _ = http.Serve(listener, d.store.handler()) }()
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		m := &machine{
			name: name, zone: zone, dir: cmp.Or(d.dirs[i], repository()), ip: ips[i], port: port, storeAddress: listener.Addr().String(), graceS: 6,
			settings: filepath.Join(d.dir, name+".conf"), logPath: filepath.Join(d.dir, name+".log"),
		}
		m.start()
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		deadline := time.Now().Add(10 * time.Second)
		for !m.isReady() {
			if time.Now().After(deadline) || !m.running() {
				d.stop()
				cannotRun("%s did not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("%d front machines are ready", len(d.machines))
}

// stop ends all processes. With RIG_LOGS their logs are kept in that folder.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.signal(syscall.SIGKILL)
		<-m.ended
		if dir := os.Getenv("RIG_LOGS"); dir != "" {
			if text, err := os.ReadFile(m.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(dir, m.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}
