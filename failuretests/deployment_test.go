package failuretests_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/failuretests/launcher"
)

// Time limits that the tests check. The limits of the guarantees are those of
// docs/design.md.
const (
	// leavingBound is how long a target may still receive new requests after
	// it signals that it is leaving.
	leavingBound = 3 * time.Second
	// configurationBound is the maximum time until an accepted configuration
	// is in force on all nodes, at the current size of the tier.
	configurationBound = 7 * time.Second
	// startBound allows for processes that start on a loaded host.
	startBound = 20 * time.Second
	// failoverBound covers a probe round, the suspicion timeout and the
	// hold-down of 3 s before other relays take over the targets of a dead one.
	failoverBound = 10 * time.Second
	// deadlineMargin is the tolerance after a deadline for the network latency
	// to the caller and for a loaded host.
	deadlineMargin = 250 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
	logTailLines   = 12
)

// deploymentSlots limits the number of deployments that run concurrently on the
// shared host.
var deploymentSlots = make(chan struct{}, 3)

// deployment is the running cluster of one test.
type deployment struct {
	*launcher.Cluster
	t      *testing.T
	client *http.Client
	// lostRuns holds the runs that were read from target processes just before
	// they were killed.
	lostRuns []checker.Run
	// partial is set if runs may be missing because a target process was killed.
	partial     bool
	hostMonitor *hostMonitor
}

// deploy starts a deployment and waits until every gateway sees all targets
// serving.
func deploy(t *testing.T, options launcher.Options) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	cluster, err := launcher.New(binaries, t.TempDir(), options)
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{Cluster: cluster, t: t, client: &http.Client{Timeout: 5 * time.Second}}
	t.Cleanup(d.tearDown)
	if err := cluster.Start(); err != nil {
		t.Fatal(err)
	}
	d.hostMonitor = startHostMonitor(d)
	d.eventually(startBound, "every gateway is ready and sees all targets serving", d.fullyServing)
	return d
}

func (d *deployment) tearDown() {
	d.client.CloseIdleConnections()
	if d.t.Failed() {
		d.t.Logf("last log lines:\n%s", d.LogTails(logTailLines))
	}
	d.Close()
}

// eventually polls a condition and fails the test if it is not met in time.
func (d *deployment) eventually(within time.Duration, description string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met within %s: %s", within, description)
		}
		time.Sleep(pollInterval)
	}
}

// fullyServing reports whether all gateways and relays are ready and all
// gateways see all targets serving.
func (d *deployment) fullyServing() bool {
	for _, n := range d.Nodes {
		if !d.ready(n.GatewayAdmin) || !d.ready(n.RelayAdmin) || !d.seesServing(n, d.targetCount()) {
			return false
		}
	}
	return true
}

func (d *deployment) targetCount() int {
	return len(d.Sets) * len(d.Domains) * d.Targets
}

// seesServing reports whether the gateway of a node sees exactly count serving
// targets that have an owner.
func (d *deployment) seesServing(n launcher.Node, count int) bool {
	var view adminapi.Targets
	if d.get(n.GatewayAdmin, adminapi.PathTargets, &view) != nil {
		return false
	}
	serving := 0
	for _, target := range view.Targets {
		if target.State == adminapi.TargetServing && len(target.Owners) > 0 {
			serving++
		}
	}
	return serving == count
}

// targetState returns the state of a target in the view of a node's gateway, or
// an empty string if the gateway does not know it.
func (d *deployment) targetState(n launcher.Node, name string) string {
	var view adminapi.Targets
	if d.get(n.GatewayAdmin, adminapi.PathTargets, &view) != nil {
		return ""
	}
	for _, target := range view.Targets {
		if target.Name == name {
			return target.State
		}
	}
	return ""
}

func (d *deployment) ready(admin netip.AddrPort) bool {
	return d.get(admin, "/v1/ready", nil) == nil
}

func (d *deployment) get(address netip.AddrPort, path string, into any) error {
	response, err := d.client.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", path, response.Status, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

func (d *deployment) post(address netip.AddrPort, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	response, err := d.client.Post("http://"+address.String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s: %s: %s", path, response.Status, text)
	}
	return nil
}

// fault is the JSON form of a fault to inject into a target or the platform.
type fault map[string]any

// injectTargetFaults injects faults into the targets whose names match pattern.
func (d *deployment) injectTargetFaults(pattern string, faults ...fault) {
	d.t.Helper()
	found := false
	for _, control := range d.ControlAddresses {
		if d.post(control, "/control/"+url.PathEscape(pattern), faults) == nil {
			found = true
		}
	}
	if !found {
		d.t.Fatalf("no target process accepted the faults %v for %s", faults, pattern)
	}
}

// injectPlatformFaults injects faults into the platform.
func (d *deployment) injectPlatformFaults(faults ...fault) {
	d.t.Helper()
	if err := d.post(d.Platform, "/control", faults); err != nil {
		d.t.Fatal(err)
	}
}

// killTargetProcess saves the runs that a target process has recorded and kills
// it. Runs that start after they are saved are lost.
func (d *deployment) killTargetProcess(i int) {
	d.t.Helper()
	var record checker.TargetRecord
	if err := d.get(d.ControlAddresses[i], "/control/record", &record); err != nil {
		d.t.Fatal(err)
	}
	d.lostRuns = append(d.lostRuns, record.Runs...)
	d.partial = true
	d.Process(fmt.Sprintf("targets-%d", i)).Kill()
}

// record returns the records of all target processes. It is partial if the
// record of a process could not be read or was lost with the process.
func (d *deployment) record() (record checker.TargetRecord, partial bool) {
	record.Runs = append(record.Runs, d.lostRuns...)
	partial = d.partial
	for _, control := range d.ControlAddresses {
		var part checker.TargetRecord
		if d.get(control, "/control/record", &part) != nil {
			partial = true
			continue
		}
		record.Runs = append(record.Runs, part.Runs...)
		record.Maps = append(record.Maps, part.Maps...)
	}
	return record, partial
}

// runsOf returns the runs of requests with the given text or payload.
func (d *deployment) runsOf(text string) []checker.Run {
	record, _ := d.record()
	var runs []checker.Run
	for _, r := range record.Runs {
		if r.Text == text {
			runs = append(runs, r)
		}
	}
	return runs
}

// terminate sends SIGTERM to a process and checks that it exits with status 0.
func (d *deployment) terminate(name string) {
	d.t.Helper()
	p := d.Process(name)
	if err := p.Signal(sigterm); err != nil {
		d.t.Fatal(err)
	}
	code, err := p.Wait(startBound)
	if err != nil {
		d.t.Fatal(err)
	}
	if code != 0 {
		d.t.Errorf("%s exited with status %d after SIGTERM", name, code)
	}
}
