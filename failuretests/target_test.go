package failuretests_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/checker"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/failuretests/launcher"
	"jackdawcart.org/targetstandin/describer"
)

// work returns how often a target was asked to run something: the runs and the
// refusals of its own process, without those of its connection limit.
func (d *deployment) work(target string) int {
	d.t.Helper()
	var record checker.TargetRecord
	if err := d.get(d.ControlOf[target], "/control/record", &record); err != nil {
		d.t.Fatal(err)
	}
	asked := len(record.Runs)
	for code, count := range record.Refusals {
		if code != "connection-limit" {
			asked += count
		}
	}
	return asked
}

// Guards against a leaving target that still gets work 3 s after any sign of
// leaving, and against requests that fail because a target leaves.
func TestLeavingTarget(t *testing.T) {
	const leaving = "main-north-1"
	signs := map[string]func(*deployment){
		"status": func(d *deployment) { d.target(leaving, fault{"kind": "status-lie", "state": "draining"}) },
		"status and answers": func(d *deployment) {
			d.target(leaving, fault{"kind": "drain"})
		},
		"answers": func(d *deployment) {
			d.target(leaving, fault{"kind": "status-lie", "state": "serving"}, fault{"kind": "drain"})
		},
		"VM list": func(d *deployment) {
			list := map[string]any{"vms": []any{map[string]any{
				"name": leaving, "address": d.addressOf(leaving), "failure-domain": "north", "state": "leaving",
			}}}
			if err := d.post(d.Platform, "/control/vms", list); err != nil {
				d.t.Fatal(err)
			}
		},
		"document": func(d *deployment) {
			path := d.write("without.json", func(doc *parser.Document) {
				set := &doc.Sets[0]
				set.Targets = slices.DeleteFunc(set.Targets, func(target parser.Target) bool { return target.Name == leaving })
			})
			d.expect(exitOK, "apply", "--yes", path)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, launcher.Options{SeparateTargets: true})
			c := newCallers(d)
			stop := c.load(false)
			c.steady(startBound, "answers before the sign")
			d.eventually(startBound, "the target gets work before the sign", func() bool { return d.work(leaving) > 0 })
			sign(d)
			signed := time.Now()
			time.Sleep(leavingBound)
			before := d.work(leaving)
			c.steady(startBound, "full answers without the target")
			// Without new work for as long again, it stays so.
			d.eventually(2*leavingBound, "the time of watching passes", func() bool { return time.Since(signed) > 2*leavingBound })
			if after := d.work(leaving); after > before {
				t.Errorf("the target got %d requests later than %s after the sign", after-before, leavingBound)
			}
			stop()
			c.allAnswered("a target left")
			c.verify()
		})
	}
}

func (d *deployment) addressOf(target string) string {
	for _, set := range d.Document.Sets {
		for _, t := range set.Targets {
			if t.Name == target {
				return t.Address.String()
			}
		}
	}
	return ""
}

// Guards against queries that fail or are late because of what one or all
// targets do: the deadline holds, coverage is true, and no answer reaches
// another request.
func TestMisbehavingTargets(t *testing.T) {
	cases := []struct {
		name, targets string
		faults        []fault
		// complete says that the other replicas must make up for the targets.
		complete bool
	}{
		{name: "one sheds", targets: "main-north-1", faults: []fault{{"kind": "shed", "share": 0.5}}},
		{name: "all shed", targets: "*", faults: []fault{{"kind": "shed", "share": 0.2}}},
		{name: "one slowed tenfold", targets: "main-north-1", faults: []fault{{"kind": "slow", "factor": 10}}, complete: true},
		{name: "all slowed beyond the deadline", targets: "*", faults: []fault{{"kind": "slow", "factor": 400}}},
		{name: "one frozen", targets: "main-south-2", faults: []fault{{"kind": "freeze", "for": "2s"}}},
		{name: "late answers", targets: "*", faults: []fault{{"kind": "late-answer", "share": 0.1, "delay": "1500ms"}}},
		{name: "duplicated answers", targets: "*", faults: []fault{{"kind": "duplicate-answer", "share": 0.3}}},
		{name: "crossed answers", targets: "*", faults: []fault{{"kind": "crossed-answer", "share": 0.3}}},
		{name: "late duplicated and crossed", targets: "*", faults: []fault{
			{"kind": "late-answer", "share": 0.1, "delay": "200ms"},
			{"kind": "duplicate-answer", "share": 0.2},
			{"kind": "crossed-answer", "share": 0.2},
		}},
		{name: "status that lags and lies", targets: "main-north-*", faults: []fault{
			{"kind": "status-lag", "delay": "2s"},
			{"kind": "status-lie", "in-flight": 0},
		}, complete: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, launcher.Options{})
			c := newCallers(d)
			stop := c.load(true)
			c.steady(startBound, "answers before the fault")
			start := time.Now()
			d.target(test.targets, test.faults...)
			d.eventually(startBound, "requests are answered during the fault", func() bool {
				return len(c.sentAfter(start)) >= 120
			})
			if test.complete {
				c.steady(deathBound, "full answers during the fault")
			}
			d.target(test.targets, fault{"kind": "clear"})
			c.steady(2*deathBound, "full answers after the fault")
			stop()
			c.verify()
		})
	}
}

// Guards against queries that wait for connections which have gone silent, and
// against a non-idempotent request that is sent again on another connection.
func TestSilentConnections(t *testing.T) {
	for _, targets := range []string{"main-north-1", "*"} {
		t.Run(targets, func(t *testing.T) {
			d := deploy(t, launcher.Options{})
			c := newCallers(d)
			stop := c.load(true)
			c.steady(startBound, "answers before the silence")
			for range 3 {
				d.target(targets, fault{"kind": "silent"})
				c.steady(deathBound, "full answers on new connections")
			}
			stop()
			c.verify()
		})
	}
}

// Guards against a target that fails queries while it is cold after its start.
func TestColdStart(t *testing.T) {
	d := deploy(t, launcher.Options{
		SeparateTargets: true,
		ColdStart:       describer.ColdStart{For: describer.Duration(2 * time.Second), Factor: 20},
	})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the start")
	d.killTargets(0)
	if err := d.StartTargets(0); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the target serves", func() bool {
		return d.stateOf(d.Nodes[0], "main-north-1") == adminapi.TargetServing
	})
	c.steady(deathBound, "full answers with the started target")
	stop()
	c.verify()
}

// Guards against answers that mix snapshots or miss shards while a new
// snapshot with another number of shards replaces the present one.
func TestRepartition(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the change")
	for i, shards := range []int{5, 2, 4} {
		d.target("*", fault{"kind": "repartition", "shards": shards, "retire-after": "700ms"})
		start := time.Now()
		want := fmt.Sprintf("%s-main-%d", launcher.Service, i+2)
		d.eventually(deathBound, "answers come from "+want, func() bool {
			answers := c.sentAfter(start)
			if len(answers) == 0 {
				return false
			}
			last := answers[len(answers)-1]
			return len(last.Services) > 0 && last.Services[0].Snapshot == want
		})
		c.steady(deathBound, "full answers after the change")
	}
	stop()
	c.allAnswered("snapshots were replaced")
	c.verify()
}

// Guards against answers that mix two snapshots when the one that a query is
// pinned to goes before the query has ended.
func TestSnapshotGoneDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: 60 * time.Millisecond, Deadline: 2 * time.Second})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the change")
	for _, shards := range []int{5, 2, 4, 3} {
		// The snapshot goes before any relay can have learned of the next one.
		d.target("*", fault{"kind": "repartition", "shards": shards, "retire-after": "20ms"})
		c.steady(deathBound, "full answers after the change")
	}
	stop()
	c.verify()
}

// Guards against an answer that claims a shard of which all replicas are lost.
func TestLostShard(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.load(false)
	c.steady(startBound, "answers before the loss")
	lost := d.holdersOf(0)
	for _, name := range lost {
		d.target(name, fault{"kind": "crash", "for": "3s"})
	}
	start := time.Now()
	d.eventually(deathBound, "answers state the missing shard", func() bool {
		answers := c.sentAfter(start)
		return len(answers) > 0 && answers[len(answers)-1].Outcome == checker.OutcomeAnswered &&
			!answers[len(answers)-1].Complete && len(answers[len(answers)-1].Services[0].Missing) > 0
	})
	c.steady(deathBound, "full answers after the return of the targets")
	stop()
	c.verify()
}

// holdersOf returns the targets that hold a shard of the leading set.
func (d *deployment) holdersOf(shard int) []string {
	var holders []string
	for _, target := range describer.FromDocument(d.Document, d.Shards) {
		s := target.Snapshots[0]
		if target.Set == d.Sets[0] && slices.Contains(s.Held, s.Shards[shard].Name) {
			holders = append(holders, target.Name)
		}
	}
	return holders
}
