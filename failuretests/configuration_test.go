package failuretests_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/failuretests/launcher"
)

// Exit codes of jackdawctl.
const (
	exitOK       = 0
	exitConflict = 4
	exitStore    = 5
)

const serviceKeyPath = "/v1/kv/services/" + launcher.Service

// ctl runs jackdawctl and returns its exit code and output.
func (d *deployment) ctl(arguments ...string) (code int, output string) {
	d.t.Helper()
	all := append([]string{"--platform", d.Platform.String(), "--operator", "tester", "--timeout", "2s"}, arguments...)
	text, err := exec.Command(d.Ctl(), all...).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return exitOK, string(text)
	case errors.As(err, &exit):
		return exit.ExitCode(), string(text)
	}
	d.t.Fatal(err)
	return 0, ""
}

// expectExit runs jackdawctl and checks its exit code.
func (d *deployment) expectExit(want int, arguments ...string) {
	d.t.Helper()
	if code, output := d.ctl(arguments...); code != want {
		d.t.Errorf("jackdawctl %v: exit status %d, want %d\n%s", arguments, code, want, output)
	}
}

// writeDocument writes a changed copy of the service document to a file.
func (d *deployment) writeDocument(name string, change func(*parser.Document)) (path string) {
	d.t.Helper()
	text, err := d.Document.Encode()
	if err != nil {
		d.t.Fatal(err)
	}
	doc, err := parser.Parse(text)
	if err != nil {
		d.t.Fatal(err)
	}
	change(doc)
	if text, err = doc.Encode(); err != nil {
		d.t.Fatal(err)
	}
	path = filepath.Join(d.Directory, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func setTeam(team string) func(*parser.Document) {
	return func(doc *parser.Document) { doc.Team = team }
}

// storedDocument returns the service document in the store and its revision.
func (d *deployment) storedDocument() (*parser.Document, uint64) {
	d.t.Helper()
	var entry struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	if err := d.get(d.Platform, serviceKeyPath, &entry); err != nil {
		d.t.Fatal(err)
	}
	doc, err := parser.Parse([]byte(entry.Value))
	if err != nil {
		d.t.Fatal(err)
	}
	return doc, entry.Revision
}

// revisionInForce returns the revision of the service document that the gateway
// of a node uses, or zero if it has none or does not answer.
func (d *deployment) revisionInForce(n launcher.Node) uint64 {
	var view adminapi.Configuration
	if d.get(n.GatewayAdmin, adminapi.PathConfiguration, &view) != nil {
		return 0
	}
	for _, s := range view.Services {
		if s.Service == launcher.Service {
			return s.Revision
		}
	}
	return 0
}

// eventuallyInForce waits until the stored revision is in force on the nodes.
func (d *deployment) eventuallyInForce(nodes []launcher.Node) {
	d.t.Helper()
	_, revision := d.storedDocument()
	d.eventually(configurationBound, fmt.Sprintf("revision %d is in force", revision), func() bool {
		for _, n := range nodes {
			if d.revisionInForce(n) != revision {
				return false
			}
		}
		return true
	})
}

// watchRevisions checks until the end of the test that no gateway reverts to an
// older revision.
func (d *deployment) watchRevisions() {
	var stop atomic.Bool
	var watch sync.WaitGroup
	for _, n := range d.Nodes {
		watch.Go(func() {
			newest := uint64(0)
			for !stop.Load() {
				// The revision is zero while the process restarts.
				if current := d.revisionInForce(n); current > 0 && current < newest {
					d.t.Errorf("%s reverted from revision %d to %d", n.Name, newest, current)
					return
				} else if current > newest {
					newest = current
				}
				time.Sleep(5 * pollInterval)
			}
		})
	}
	d.t.Cleanup(func() {
		stop.Store(true)
		watch.Wait()
	})
}

// restart kills both processes of a node and starts new ones. A node keeps no
// state across restarts.
func (d *deployment) restart(n launcher.Node) {
	d.t.Helper()
	d.Process(n.Name + "-gateway").Kill()
	d.Process(n.Name + "-relay").Kill()
	if err := errors.Join(d.StartRelay(n), d.StartGateway(n)); err != nil {
		d.t.Fatal(err)
	}
}

// Guards against an edit that a node misses, applies late or reverts, and
// against requests that fail while edits are made.
func TestEditInForceEverywhere(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.startLoad(true)
	for i := range 4 {
		path := d.writeDocument("edit.json", setTeam(fmt.Sprintf("team-%d", i)))
		d.expectExit(exitOK, "apply", "--yes", path)
		d.eventuallyInForce(d.Nodes)
	}
	stop()
	c.expectFullAnswers("edits were made")
	c.verify()
}

// Guards against a store outage that stops the tier. During the outage, queries
// are answered, edits are refused and a starting node obtains the configuration
// from its peers. The first edit afterwards is in force in time.
func TestStoreOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%t", silent), func(t *testing.T) {
			d := deploy(t, launcher.Options{})
			d.watchRevisions()
			d.expectExit(exitOK, "apply", "--yes", d.writeDocument("before.json", setTeam("before")))
			d.eventuallyInForce(d.Nodes)
			before, revision := d.storedDocument()
			c := newCallers(d)
			stop := c.startLoad(true)
			d.injectPlatformFaults(fault{"kind": "outage", "silent": silent})
			d.expectExit(exitStore, "apply", "--yes", d.writeDocument("refused.json", setTeam("refused")))
			restarted := d.Nodes[0]
			d.restart(restarted)
			d.eventually(startBound, "the restarted node serves without the store", d.fullyServing)
			if current := d.revisionInForce(restarted); current != revision {
				t.Errorf("%s started with revision %d during the outage, want %d", restarted.Name, current, revision)
			}
			c.awaitFullAnswers(failoverBound, "full answers during the outage")
			d.injectPlatformFaults(fault{"kind": "clear"})
			if current, r := d.storedDocument(); r != revision || current.Team != before.Team {
				t.Errorf("the refused edit changed the store to revision %d, team %s", r, current.Team)
			}
			d.expectExit(exitOK, "apply", "--yes", d.writeDocument("after.json", setTeam("after")))
			d.eventuallyInForce(d.Nodes)
			stop()
			c.verify()
		})
	}
}

// Guards against an edit that is applied twice, or reported as failed, when the
// store applies the write but its answer is lost.
func TestLostAnswerOfEdit(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1})
	d.expectExit(exitOK, "apply", "--yes", d.writeDocument("first.json", setTeam("first")))
	_, before := d.storedDocument()
	d.injectPlatformFaults(fault{"kind": "lose-answer"})
	d.expectExit(exitOK, "apply", "--yes", d.writeDocument("lost.json", setTeam("lost")))
	d.injectPlatformFaults(fault{"kind": "clear"})
	doc, after := d.storedDocument()
	// An edit makes two writes: the history entry and the document.
	if doc.Team != "lost" || after > before+2 {
		t.Errorf("after the edit: team %s, revision %d after %d", doc.Team, after, before)
	}
	d.eventuallyInForce(d.Nodes)
}

// Guards against concurrent edits of one revision that both report success, and
// against nodes that alternate between them.
func TestOperatorsRace(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	for round := range 3 {
		_, baseRevision := d.storedDocument()
		codes := make([]int, 2)
		teams := make([]string, 2)
		var race sync.WaitGroup
		for i := range codes {
			teams[i] = fmt.Sprintf("operator-%d-%d", round, i)
			path := d.writeDocument(teams[i]+".json", setTeam(teams[i]))
			race.Go(func() { codes[i], _ = d.ctl("apply", "--yes", "--revision", fmt.Sprint(baseRevision), path) })
		}
		race.Wait()
		winner := 0
		if codes[1] == exitOK {
			winner = 1
		}
		if codes[winner] != exitOK || codes[1-winner] != exitConflict {
			t.Errorf("exit codes %v, want one success and one conflict", codes)
		}
		if doc, _ := d.storedDocument(); doc.Team != teams[winner] {
			t.Errorf("the store has the edit of %s, but jackdawctl reported success for %s", doc.Team, teams[winner])
		}
		d.eventuallyInForce(d.Nodes)
	}
}

// Guards against a deleted service that reappears when a node restarts during a
// store outage.
func TestDeletedServiceStaysDeleted(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	unknown := func() bool {
		for i := range d.Nodes {
			a := c.query(c.viaGateway(i))
			if a.Code != string(callerapi.ErrorCodeUnknownService) {
				return false
			}
		}
		return true
	}
	d.expectExit(exitOK, "delete", "--yes", launcher.Service)
	d.eventually(configurationBound, "the service is unknown everywhere", unknown)
	d.injectPlatformFaults(fault{"kind": "outage"})
	for _, n := range d.Nodes[:2] {
		d.restart(n)
		d.eventually(startBound, "the restarted node is ready", func() bool { return d.ready(n.GatewayAdmin) })
		if !unknown() {
			t.Errorf("the deleted service is known after the restart of %s", n.Name)
		}
	}
	d.injectPlatformFaults(fault{"kind": "clear"})
	c.verify()
}

// Guards against a node that reports ready without a configuration.
func TestNoConfigurationIsNotReady(t *testing.T) {
	d := deploy(t, launcher.Options{Domains: []string{"north"}})
	d.injectPlatformFaults(fault{"kind": "outage"})
	for _, n := range d.Nodes {
		d.Process(n.Name + "-gateway").Kill()
		d.Process(n.Name + "-relay").Kill()
	}
	for _, n := range d.Nodes {
		if err := errors.Join(d.StartRelay(n), d.StartGateway(n)); err != nil {
			t.Fatal(err)
		}
	}
	c := newCallers(d)
	d.eventually(startBound, "the gateways refuse queries", func() bool {
		for i := range d.Nodes {
			if c.query(c.viaGateway(i)).Code != string(callerapi.ErrorCodeNotReady) {
				return false
			}
		}
		return true
	})
	for _, n := range d.Nodes {
		if d.ready(n.GatewayAdmin) || d.ready(n.RelayAdmin) {
			t.Errorf("%s is ready without a configuration", n.Name)
		}
	}
	d.injectPlatformFaults(fault{"kind": "clear"})
	d.eventually(startBound, "the gateways serve after the outage", d.fullyServing)
	if a := c.query(c.viaAnyGateway()); a.Outcome != checker.OutcomeAnswered {
		t.Errorf("after the outage: %s %s", a.Outcome, a.Code)
	}
	c.verify()
}
