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

// receivedRequests returns the number of requests that a target received: its
// runs and the refusals of its process, except for those of the connection limit.
func (d *deployment) receivedRequests(target string) int {
	d.t.Helper()
	var record checker.TargetRecord
	if err := d.get(d.ControlAddressByTarget[target], "/control/record", &record); err != nil {
		d.t.Fatal(err)
	}
	received := len(record.Runs)
	for code, count := range record.Refusals {
		if code != "connection-limit" {
			received += count
		}
	}
	return received
}

// Guards against a leaving target that still receives requests 3 s after any
// signal that it is leaving, and against requests that fail because it leaves.
func TestLeavingTarget(t *testing.T) {
	const leaving = "main-north-1"
	signals := map[string]func(*deployment){
		"status": func(d *deployment) { d.injectTargetFaults(leaving, fault{"kind": "status-lie", "state": "draining"}) },
		"status and answers": func(d *deployment) {
			d.injectTargetFaults(leaving, fault{"kind": "drain"})
		},
		"answers": func(d *deployment) {
			d.injectTargetFaults(leaving, fault{"kind": "status-lie", "state": "serving"}, fault{"kind": "drain"})
		},
		"VM list": func(d *deployment) {
			list := map[string]any{"vms": []any{map[string]any{
				"name": leaving, "address": d.targetAddress(leaving), "failure-domain": "north", "state": "leaving",
			}}}
			if err := d.post(d.Platform, "/control/vms", list); err != nil {
				d.t.Fatal(err)
			}
		},
		"document": func(d *deployment) {
			path := d.writeDocument("without.json", func(doc *parser.Document) {
				set := &doc.Sets[0]
				set.Targets = slices.DeleteFunc(set.Targets, func(target parser.Target) bool { return target.Name == leaving })
			})
			d.expectExit(exitOK, "apply", "--yes", path)
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, launcher.Options{SeparateTargets: true})
			c := newCallers(d)
			stop := c.startLoad(false)
			c.awaitFullAnswers(startBound, "full answers before the signal")
			d.eventually(startBound, "the target receives requests before the signal", func() bool { return d.receivedRequests(leaving) > 0 })
			signal(d)
			signaledAt := time.Now()
			time.Sleep(leavingBound)
			before := d.receivedRequests(leaving)
			c.awaitFullAnswers(startBound, "full answers without the target")
			// The target must receive no request for as long again.
			d.eventually(2*leavingBound, "the observation period ends", func() bool { return time.Since(signaledAt) > 2*leavingBound })
			if after := d.receivedRequests(leaving); after > before {
				t.Errorf("the target received %d requests later than %s after the signal", after-before, leavingBound)
			}
			stop()
			c.expectFullAnswers("a target left")
			c.verify()
		})
	}
}

func (d *deployment) targetAddress(target string) string {
	for _, set := range d.Document.Sets {
		for _, t := range set.Targets {
			if t.Name == target {
				return t.Address.String()
			}
		}
	}
	return ""
}

// Guards against faulty targets that make queries miss their deadline, report
// wrong coverage or receive the answer of another request.
func TestMisbehavingTargets(t *testing.T) {
	cases := []struct {
		name, targets string
		faults        []fault
		// complete requires full answers during the fault, from the other
		// replicas.
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
			stop := c.startLoad(true)
			c.awaitFullAnswers(startBound, "answers before the fault")
			start := time.Now()
			d.injectTargetFaults(test.targets, test.faults...)
			d.eventually(startBound, "requests are answered during the fault", func() bool {
				return len(c.sentAfter(start)) >= 120
			})
			if test.complete {
				c.awaitFullAnswers(failoverBound, "full answers during the fault")
			}
			d.injectTargetFaults(test.targets, fault{"kind": "clear"})
			c.awaitFullAnswers(2*failoverBound, "full answers after the fault")
			stop()
			c.verify()
		})
	}
}

// Guards against queries that keep waiting on unresponsive connections, and
// against a non-idempotent request that is sent again on another connection.
func TestSilentConnections(t *testing.T) {
	for _, targets := range []string{"main-north-1", "*"} {
		t.Run(targets, func(t *testing.T) {
			d := deploy(t, launcher.Options{})
			c := newCallers(d)
			stop := c.startLoad(true)
			c.awaitFullAnswers(startBound, "full answers before the fault")
			for range 3 {
				d.injectTargetFaults(targets, fault{"kind": "silent"})
				c.awaitFullAnswers(failoverBound, "full answers on new connections")
			}
			stop()
			c.verify()
		})
	}
}

// Guards against queries that fail because a target is slow after its start.
func TestColdStart(t *testing.T) {
	d := deploy(t, launcher.Options{
		SeparateTargets: true,
		ColdStart:       describer.ColdStart{For: describer.Duration(2 * time.Second), Factor: 20},
	})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the start")
	d.killTargetProcess(0)
	if err := d.StartTargets(0); err != nil {
		t.Fatal(err)
	}
	d.eventually(startBound, "the target serves", func() bool {
		return d.targetState(d.Nodes[0], "main-north-1") == adminapi.TargetServing
	})
	c.awaitFullAnswers(failoverBound, "full answers with the started target")
	stop()
	c.verify()
}

// Guards against answers that mix snapshots or miss shards while a snapshot is
// replaced by one with a different number of shards.
func TestRepartition(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the change")
	for i, shards := range []int{5, 2, 4} {
		d.injectTargetFaults("*", fault{"kind": "repartition", "shards": shards, "retire-after": "700ms"})
		start := time.Now()
		want := fmt.Sprintf("%s-main-%d", launcher.Service, i+2)
		d.eventually(failoverBound, "answers come from "+want, func() bool {
			answers := c.sentAfter(start)
			if len(answers) == 0 {
				return false
			}
			last := answers[len(answers)-1]
			return len(last.Services) > 0 && last.Services[0].Snapshot == want
		})
		c.awaitFullAnswers(failoverBound, "full answers after the change")
	}
	stop()
	c.expectFullAnswers("snapshots were replaced")
	c.verify()
}

// Guards against answers that mix two snapshots when the snapshot that a query
// uses is retired before the query ends.
func TestSnapshotGoneDuringQueries(t *testing.T) {
	d := deploy(t, launcher.Options{ServiceTime: 60 * time.Millisecond, Deadline: 2 * time.Second})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the change")
	for _, shards := range []int{5, 2, 4, 3} {
		// The snapshot is retired before a relay can detect the next one.
		d.injectTargetFaults("*", fault{"kind": "repartition", "shards": shards, "retire-after": "20ms"})
		c.awaitFullAnswers(failoverBound, "full answers after the change")
	}
	stop()
	c.verify()
}

// Guards against an answer whose coverage includes a shard without any replica
// left.
func TestLostShard(t *testing.T) {
	d := deploy(t, launcher.Options{})
	c := newCallers(d)
	stop := c.startLoad(false)
	c.awaitFullAnswers(startBound, "answers before the loss")
	lost := d.shardHolders(0)
	for _, name := range lost {
		d.injectTargetFaults(name, fault{"kind": "crash", "for": "3s"})
	}
	start := time.Now()
	d.eventually(failoverBound, "answers report the missing shard", func() bool {
		answers := c.sentAfter(start)
		return len(answers) > 0 && answers[len(answers)-1].Outcome == checker.OutcomeAnswered &&
			!answers[len(answers)-1].Complete && len(answers[len(answers)-1].Services[0].Missing) > 0
	})
	c.awaitFullAnswers(failoverBound, "full answers after the return of the targets")
	stop()
	c.verify()
}

// shardHolders returns the names of the targets that hold a shard of the lead
// set.
func (d *deployment) shardHolders(shard int) []string {
	var holders []string
	for _, target := range describer.FromDocument(d.Document, d.Shards) {
		s := target.Snapshots[0]
		if target.Set == d.Sets[0] && slices.Contains(s.Held, s.Shards[shard].Name) {
			holders = append(holders, target.Name)
		}
	}
	return holders
}
