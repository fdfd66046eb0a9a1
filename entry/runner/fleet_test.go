package runner_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/platform/standin"
)

// callerDeadline is how long callers wait for an answer.
const callerDeadline = 1500 * time.Millisecond

// Size of a fleet.
const (
	shardCount         = 4
	replicasPerService = 3
	// fleetDomains is lower than the number of VMs, so that some share a domain.
	fleetDomains = 2
)

const (
	// restartDelay is how long a crashed target is down.
	restartDelay = 500 * time.Millisecond
	// readyTimeout is the longest wait for a VM to be ready.
	readyTimeout = 5 * time.Second
)

// fleet is several processes of entry VMs with a stand-in store and stand-in targets.
type fleet struct {
	binary string
	store  *standin.Store
	vms    []*vm

	mu      sync.Mutex
	targets []*standin.Target
	poison  standin.Poison
	crashes []time.Time
	stopped bool
}

type vm struct {
	callers, ready string
	settings       string
	log            string
	process        *os.Process
	stop           func()
	// wait waits for the process to end by itself.
	wait func() error
}

// fleets counts the fleets of this process, as each one needs addresses of its own.
var fleets int

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	return newFleetWith(t, vms, func(_ int, fx *fleet) http.Handler { return fx.store })
}

// newFleetWith returns a fleet in which view returns the store as the VM with an index sees
// it.
func newFleetWith(t *testing.T, vms int, view func(i int, fx *fleet) http.Handler) *fleet {
	t.Helper()
	return newFleetWithSettings(t, vms, view, "")
}

// newFleetWithSettings returns a fleet whose VMs have more lines in the platform's settings.
func newFleetWithSettings(t *testing.T, vms int, view func(i int, fx *fleet) http.Handler, lines string) *fleet {
	t.Helper()
	fx := &fleet{binary: filepath.Join(t.TempDir(), "jackdawcart-entry"), store: standin.NewStore()}
	if text, err := exec.Command("go", "build", "-o", fx.binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	t.Cleanup(fx.stopTargets)
	for _, service := range standin.Services(shardCount) {
		for k := range replicasPerService {
			fx.startTarget("127.0.0.1:0", fmt.Sprintf("i-%s-%d", service, k), service, k)
		}
	}
	fx.store.Configure(standin.Configuration{Version: 1, Shards: shardCount, LatencyObjective: 500 * time.Millisecond, MinShardShare: 0.75})
	fleets++
	for i := range vms {
		fx.vms = append(fx.vms, newVM(t, i, serveStore(t, view(i, fx)), lines))
		fx.start(t, i)
	}
	t.Cleanup(func() {
		for _, v := range fx.vms {
			v.stop()
			if text, err := os.ReadFile(v.log); t.Failed() && err == nil {
				t.Logf("log of %s:\n%s", v.callers, text)
			}
		}
	})
	return fx
}

// serveStore serves a view of the store until the test ends, and returns its address.
func serveStore(t *testing.T, view http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: view, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// newVM writes the settings of a VM, with the given lines at the end.
func newVM(t *testing.T, i int, store, lines string) *vm {
	t.Helper()
	described := standin.NewVM(fleets, i)
	described.Domain, described.Store, described.ShutdownGrace = domain(i), store, time.Second
	dir := t.TempDir()
	v := &vm{
		callers: described.CallerAddress(), ready: described.ReadinessAddress(),
		settings: filepath.Join(dir, "platform.conf"), log: filepath.Join(dir, "log"),
	}
	if err := os.WriteFile(v.settings, append(described.Settings(), lines...), 0o600); err != nil {
		t.Fatal(err)
	}
	return v
}

func domain(i int) string { return string(rune('a' + i%fleetDomains)) }

// start starts a VM and waits until it is ready.
func (fx *fleet) start(t *testing.T, i int) {
	t.Helper()
	v := fx.vms[i]
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(fx.binary, "serve", "--platform", v.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	v.process = command.Process
	v.wait = sync.OnceValue(command.Wait)
	v.stop = sync.OnceFunc(func() {
		// The process may have ended already.
		_ = command.Process.Kill()
		_ = v.wait()
		_ = log.Close()
	})
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + v.ready + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("VM %d is not ready %v after its start", i, readyTimeout)
}

// restart kills a VM and starts it again.
func (fx *fleet) restart(t *testing.T, i int) {
	t.Helper()
	fx.vms[i].stop()
	fx.start(t, i)
}

func (fx *fleet) startTarget(address, id, service string, replica int) {
	target, err := standin.NewTargetAt(address, id, service, "record-of-shard.")
	if err != nil {
		return
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.stopped {
		target.Close()
		return
	}
	fx.targets = append(fx.targets, target)
	target.CrashOn(fx.poison, func() { fx.restartTarget(target, replica) })
	fx.store.Register(target, target.Address(), domain(replica))
}

// restartTarget starts a new incarnation at the address of a crashed target.
func (fx *fleet) restartTarget(crashed *standin.Target, replica int) {
	fx.mu.Lock()
	fx.crashes = append(fx.crashes, time.Now())
	n := len(fx.crashes)
	fx.mu.Unlock()
	time.Sleep(restartDelay)
	fx.store.Unregister(crashed.ID)
	fx.startTarget(crashed.Address(), fmt.Sprintf("i-restarted-%d", n), crashed.Service, replica)
}

// crashOn makes targets crash under requests.
func (fx *fleet) crashOn(poison standin.Poison) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.poison = poison
	for _, target := range fx.targets {
		replica := int(target.ID[len(target.ID)-1] - '0')
		target.CrashOn(poison, func() { fx.restartTarget(target, replica) })
	}
}

// crashTimes returns when targets crashed.
func (fx *fleet) crashTimes() []time.Time {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return slices.Clone(fx.crashes)
}

// ran reports whether a target ran a request.
func (fx *fleet) ran(id string) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return slices.ContainsFunc(fx.targets, func(t *standin.Target) bool { return t.Runs(id) > 0 })
}

func (fx *fleet) stopTargets() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.stopped = true
	for _, target := range fx.targets {
		target.Close()
	}
}

// logs returns the logs of all VMs.
func (fx *fleet) logs(t *testing.T) string {
	t.Helper()
	var all []byte
	for _, v := range fx.vms {
		text, err := os.ReadFile(v.log)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, text...)
	}
	return string(all)
}

// do sends a request to a VM and returns the status of the answer.
func (fx *fleet) do(t *testing.T, vm int, method, path, id string) int {
	t.Helper()
	status, _ := fx.send(t, vm, method, path, id)
	return status
}

// send sends a request to a VM and returns the status and the headers of the answer.
func (fx *fleet) send(t *testing.T, vm int, method, path, id string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+fx.vms[vm].callers+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "x.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header
}
