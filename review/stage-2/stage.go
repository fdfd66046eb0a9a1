package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"jackdawcart.org/platform/standin"
)

// Stage is a small deployment on loopback addresses: the store, backends and entry
// processes, which are started with the command of the deploy file.
type Stage struct {
	Store *standin.Store
	// Trouble tells whether the disruption is played.
	Trouble bool

	root, dir string
	// quiet leaves the runs of requests out of the record.
	quiet  bool
	began  time.Time
	record *os.File

	mu   sync.Mutex
	runs []Run
	ends []func()
	fail bool
}

// NewStage returns a stage that writes its record to a file.
func NewStage(root, record string, trouble bool) (*Stage, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &Stage{Store: standin.NewStore(), Trouble: trouble, root: root, dir: dir, began: time.Now(), record: file}, nil
}

// unusable is the panic of a case that cannot run.
type unusable struct{ err error }

func (s *Stage) must(err error) {
	if err != nil {
		panic(unusable{err})
	}
}

func (s *Stage) atEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, f)
}

// Close ends all that the stage has started.
func (s *Stage) Close() {
	s.mu.Lock()
	ends := s.ends
	s.ends = nil
	s.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	s.record.Close()
	os.RemoveAll(s.dir)
}

// Note writes a line to the record.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (s *Stage) Broken(format string, args ...any) {
	s.Note("BROKEN: "+format, args...)
	s.mu.Lock()
	s.fail = true
	s.mu.Unlock()
}

func (s *Stage) recordRun(b *Backend, x Exchange) {
	if s.quiet {
		return
	}
	s.Note("run    request %s at %s (%s) %s", x.ID, b.ID, b.Service, x.Request.URL.Path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{Backend: b.ID, Service: b.Service, Request: x.ID, Path: x.Request.URL.Path, At: time.Now()})
}

// Runs returns the runs of a request.
func (s *Stage) Runs(id string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []Run
	for _, r := range s.runs {
		if r.Request == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// Configure writes a configuration as the operator does.
func (s *Stage) Configure(config map[string]any) {
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	data, err := json.Marshal(config)
	s.must(err)
	s.Store.Put("op/config", data)
	s.Note("config version %v acknowledged", config["version"])
}

// VM is an entry process.
type VM struct {
	Name, Zone, Host string
	// StoreAddress is where it reaches the store.
	StoreAddress string
	// OneCore runs the process on one core, as on the machines of the deployments.
	OneCore bool
	command *exec.Cmd
	done    chan struct{}
	log     string
	stage   *Stage
	extra   string
}

const (
	frontPort = 8226
	readyPort = 8227
	firstPort = 7740
	lastPort  = 7755
)

// settings are those that the users' bench writes for a front machine of the smallest
// deployment, with loopback addresses.
const settings = `nodeName=%[1]s
role=entry
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=litoral
%[4]sbindAddresses.front=%[2]s:8226
bindAddresses.ready=%[2]s:8227
bindAddresses.control=%[2]s:8224
internalPortRange=7740,7755
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
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stabilityWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.downgradeSlackMs=250
bounds.skewMaxMs=12000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtraRetries=58
bounds.recoveryS=12
platform.address=%[5]s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
%[6]s`

// Zones are the zones of the deployment.
var Zones = []string{"rosario", "santa-fe", "parana"}

// NewVM returns a VM with a loopback address of its own. extra are more lines of settings.
func (s *Stage) NewVM(index int, zone, storeAddress, extra string) *VM {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 20+pid>>16&0x3f, pid>>8&0xff, 1+(pid%120)*2+index)
	vm := &VM{Name: fmt.Sprintf("front-%s-%d", zone, index+1), Zone: zone, Host: host, StoreAddress: storeAddress, stage: s, extra: extra}
	return vm
}

// Start starts the process of the VM.
func (vm *VM) Start() {
	s := vm.stage
	path := filepath.Join(s.dir, vm.Name+".conf")
	var zones strings.Builder
	for _, z := range Zones {
		fmt.Fprintf(&zones, "zones.%s=litoral\n", z)
	}
	text := fmt.Sprintf(settings, vm.Name, vm.Host, vm.Zone, zones.String(), vm.StoreAddress, vm.extra)
	s.must(os.WriteFile(path, []byte(text), 0o600))
	vm.log = filepath.Join(s.dir, vm.Name+".log")
	log, err := os.OpenFile(vm.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	vm.command = exec.Command(filepath.Join(s.root, "target/jackdawcart-entry"), "serve", "--settings", "deploy/entry.hujson")
	vm.command.Dir = s.root
	vm.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWCART_SETTINGS=" + path}
	vm.command.Stdout, vm.command.Stderr = log, log
	vm.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if vm.OneCore {
		s.must(startOnOneCore(vm.command))
	} else {
		s.must(vm.command.Start())
	}
	vm.done = make(chan struct{})
	command, done := vm.command, vm.done
	go func() {
		_ = command.Wait()
		log.Close()
		close(done)
	}()
	s.Note("start  %s (process %d)", vm.Name, vm.command.Process.Pid)
	s.atEnd(func() {
		_ = command.Process.Kill()
		<-done
	})
}

// Signal sends a signal to the process.
func (vm *VM) Signal(sig os.Signal) {
	vm.stage.Note("signal %v to %s", sig, vm.Name)
	_ = vm.command.Process.Signal(sig)
}

// Ended reports whether the process has ended.
func (vm *VM) Ended() bool {
	select {
	case <-vm.done:
		return true
	default:
		return false
	}
}

// WaitEnd waits until the process has ended.
func (vm *VM) WaitEnd() { <-vm.done }

// WaitReady waits until the VM is ready.
func (vm *VM) WaitReady(limit time.Duration) {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", vm.Host, readyPort))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			vm.stage.Note("ready  %s", vm.Name)
			return
		}
	}
	text, _ := os.ReadFile(vm.log)
	panic(unusable{fmt.Errorf("%s is not ready:\n%s", vm.Name, text)})
}

// Front returns the address for clients.
func (vm *VM) Front() string { return fmt.Sprintf("%s:%d", vm.Host, frontPort) }

// Log returns the log of the VM.
func (vm *VM) Log() string {
	text, _ := os.ReadFile(vm.log)
	return string(text)
}

// ServeStore serves the store at a free loopback port, through a handler.
func (s *Stage) ServeStore(wrap func(http.Handler) http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	var handler http.Handler = s.Store
	if wrap != nil {
		handler = wrap(handler)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.atEnd(func() { server.Close() })
	return listener.Addr().String()
}

// Answer is what a client gets.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Client sends requests over kept connections.
type Client struct {
	stage  *Stage
	client *http.Client
}

// NewClient returns a client.
func (s *Stage) NewClient() *Client {
	return &Client{stage: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Send sends a request with a deadline and returns the answer.
func (c *Client) Send(vm *VM, method, path, id string, deadline time.Duration, body, key string) Answer {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+vm.Front()+path, reader)
	c.stage.must(err)
	request.Host = "hufi27.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	client := *c.client
	client.Timeout = deadline + 500*time.Millisecond
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		a := Answer{Err: err, Took: time.Since(began)}
		c.stage.Note("answer request %s at %s: %v", id, vm.Name, err)
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := Answer{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err, Took: time.Since(began)}
	c.stage.Note("answer request %s at %s: %d after %d ms, stamp %q, body %q", id, vm.Name, a.Status, a.Took.Milliseconds(), a.Header.Get("Server-Stamp"), a.Body)
	return a
}

// PlainRoute returns a route to a service.
func PlainRoute(prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": "hufi27.example", "pathPrefix": prefix, "routeType": kind,
		"timeoutMs": 2500, "targetLatencyMs": 250, "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
	}
}

// Service returns a service of a configuration.
func Service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}
}
