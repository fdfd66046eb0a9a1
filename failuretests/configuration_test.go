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

const serviceKey = "/v1/kv/services/" + launcher.Service

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

// expect runs jackdawctl and checks its exit code.
func (d *deployment) expect(want int, arguments ...string) {
	d.t.Helper()
	if code, output := d.ctl(arguments...); code != want {
		d.t.Errorf("jackdawctl %v: exit status %d, want %d\n%s", arguments, code, want, output)
	}
}

// write writes a variant of the service document to a file.
func (d *deployment) write(name string, change func(*parser.Document)) (path string) {
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

// stored returns the service document in the store with its revision.
func (d *deployment) stored() (*parser.Document, uint64) {
	d.t.Helper()
	var entry struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	if err := d.get(d.Platform, serviceKey, &entry); err != nil {
		d.t.Fatal(err)
	}
	doc, err := parser.Parse([]byte(entry.Value))
	if err != nil {
		d.t.Fatal(err)
	}
	return doc, entry.Revision
}

// inForce returns the revision of the service document that a gateway uses,
// or zero if it uses none.
func (d *deployment) inForce(n launcher.Node) uint64 {
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
	_, revision := d.stored()
	d.eventually(configurationBound, fmt.Sprintf("revision %d is in force", revision), func() bool {
		for _, n := range nodes {
			if d.inForce(n) != revision {
				return false
			}
		}
		return true
	})
}

// watchRevisions checks until the end of the test that no gateway goes back to
// an older revision.
func (d *deployment) watchRevisions() {
	var stop atomic.Bool
	var watch sync.WaitGroup
	for _, n := range d.Nodes {
		watch.Go(func() {
			newest := uint64(0)
			for !stop.Load() {
				// Zero is the revision of a process that is being replaced.
				if now := d.inForce(n); now > 0 && now < newest {
					d.t.Errorf("%s went back from revision %d to %d", n.Name, newest, now)
					return
				} else if now > newest {
					newest = now
				}
				time.Sleep(5 * pollPeriod)
			}
		})
	}
	d.t.Cleanup(func() {
		stop.Store(true)
		watch.Wait()
	})
}

// restart replaces both processes of a node, which keeps no state.
func (d *deployment) restart(n launcher.Node) {
	d.t.Helper()
	d.Process(n.Name + "-gateway").Kill()
	d.Process(n.Name + "-relay").Kill()
	if err := errors.Join(d.StartRelay(n), d.StartGateway(n)); err != nil {
		d.t.Fatal(err)
	}
}

// Guards against an edit that some node does not take, takes late, or takes
// back, and against queries that fail meanwhile.
func TestEditInForceEverywhere(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	c := newCallers(d)
	stop := c.load(true)
	for i := range 4 {
		path := d.write("edit.json", setTeam(fmt.Sprintf("team-%d", i)))
		d.expect(exitOK, "apply", "--yes", path)
		d.eventuallyInForce(d.Nodes)
	}
	stop()
	c.allAnswered("edits were made")
	c.verify()
}

// Guards against a tier that stops with the store: queries go on, edits are
// refused, a node that starts meanwhile takes the configuration of its peers,
// and the first edit afterwards is in force in time.
func TestStoreOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%t", silent), func(t *testing.T) {
			d := deploy(t, launcher.Options{})
			d.watchRevisions()
			d.expect(exitOK, "apply", "--yes", d.write("before.json", setTeam("before")))
			d.eventuallyInForce(d.Nodes)
			before, revision := d.stored()
			c := newCallers(d)
			stop := c.load(true)
			d.platform(fault{"kind": "outage", "silent": silent})
			d.expect(exitStore, "apply", "--yes", d.write("refused.json", setTeam("refused")))
			restarted := d.Nodes[0]
			d.restart(restarted)
			d.eventually(startBound, "the new node serves without the store", d.whole)
			if now := d.inForce(restarted); now != revision {
				t.Errorf("%s started with revision %d during the outage, want %d", restarted.Name, now, revision)
			}
			c.steady(deathBound, "full answers during the outage")
			d.platform(fault{"kind": "clear"})
			if now, r := d.stored(); r != revision || now.Team != before.Team {
				t.Errorf("the refused edit changed the store to revision %d, team %s", r, now.Team)
			}
			d.expect(exitOK, "apply", "--yes", d.write("after.json", setTeam("after")))
			d.eventuallyInForce(d.Nodes)
			stop()
			c.verify()
		})
	}
}

// Guards against an edit that is made twice, or reported as failed, when the
// store's answer to the write is lost after it took effect.
func TestLostAnswerOfEdit(t *testing.T) {
	d := deploy(t, launcher.Options{Nodes: 1})
	d.expect(exitOK, "apply", "--yes", d.write("first.json", setTeam("first")))
	_, before := d.stored()
	d.platform(fault{"kind": "lose-answer"})
	d.expect(exitOK, "apply", "--yes", d.write("lost.json", setTeam("lost")))
	d.platform(fault{"kind": "clear"})
	doc, after := d.stored()
	// One edit writes the history and the document.
	if doc.Team != "lost" || after > before+2 {
		t.Errorf("after the edit: team %s, revision %d after %d", doc.Team, after, before)
	}
	d.eventuallyInForce(d.Nodes)
}

// Guards against two operators who both believe that their edit took effect,
// and against nodes that waver between the two.
func TestOperatorsRace(t *testing.T) {
	d := deploy(t, launcher.Options{})
	d.watchRevisions()
	for round := range 3 {
		_, seen := d.stored()
		codes := make([]int, 2)
		teams := make([]string, 2)
		var race sync.WaitGroup
		for i := range codes {
			teams[i] = fmt.Sprintf("operator-%d-%d", round, i)
			path := d.write(teams[i]+".json", setTeam(teams[i]))
			race.Go(func() { codes[i], _ = d.ctl("apply", "--yes", "--revision", fmt.Sprint(seen), path) })
		}
		race.Wait()
		winner := 0
		if codes[1] == exitOK {
			winner = 1
		}
		if codes[winner] != exitOK || codes[1-winner] != exitConflict {
			t.Errorf("exit codes %v, want one success and one conflict", codes)
		}
		if doc, _ := d.stored(); doc.Team != teams[winner] {
			t.Errorf("the store has the edit of %s, but %s was told of success", doc.Team, teams[winner])
		}
		d.eventuallyInForce(d.Nodes)
	}
}

// Guards against a deleted service that comes back with a node that restarts
// while the store is down.
func TestDeletedServiceStaysDeleted(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	unknown := func() bool {
		for i := range d.Nodes {
			a := c.query(c.at(i))
			if a.Code != string(callerapi.ErrorCodeUnknownService) {
				return false
			}
		}
		return true
	}
	d.expect(exitOK, "delete", "--yes", launcher.Service)
	d.eventually(configurationBound, "the service is unknown everywhere", unknown)
	d.platform(fault{"kind": "outage"})
	for _, n := range d.Nodes[:2] {
		d.restart(n)
		d.eventually(startBound, "the restarted node is ready", func() bool { return d.ready(n.GatewayAdmin) })
		if !unknown() {
			t.Errorf("the deleted service is known after the restart of %s", n.Name)
		}
	}
	d.platform(fault{"kind": "clear"})
	c.verify()
}

// Guards against a node that calls itself ready without any configuration.
func TestNoConfigurationIsNotReady(t *testing.T) {
	d := deploy(t, launcher.Options{Domains: []string{"north"}})
	d.platform(fault{"kind": "outage"})
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
			if c.query(c.at(i)).Code != string(callerapi.ErrorCodeNotReady) {
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
	d.platform(fault{"kind": "clear"})
	d.eventually(startBound, "the gateways serve after the outage", d.whole)
	if a := c.query(c.rotated()); a.Outcome != checker.OutcomeAnswered {
		t.Errorf("after the outage: %s %s", a.Outcome, a.Code)
	}
	c.verify()
}
