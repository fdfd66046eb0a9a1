package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/quarantiner"
)

func always(quarantiner.Run) bool { return true }

// A poison request over many shards loses dozens of targets at once, on several VMs.
// Each write to the store is paid for, and two losses are enough for all VMs.
func TestFewLossesArePublished(t *testing.T) {
	r := quarantiner.NewReports()
	for i := range 30 {
		r.Add(quarantiner.Report{Fingerprint: 1, Target: fmt.Sprintf("t%02d", i)}, at(time.Second))
	}
	if due := r.Due(at(0), always); len(due) > 0 {
		t.Errorf("%v due before their time", due)
	}
	due := r.Due(at(time.Second), always)
	want := []quarantiner.Report{{Fingerprint: 1, Target: "t00"}, {Fingerprint: 1, Target: "t01"}}
	if diff := cmp.Diff(want, due); diff != "" {
		t.Fatalf("due (-want +got):\n%s", diff)
	}
	for _, report := range due {
		r.Published(report)
	}
	if due := r.Due(at(time.Minute), always); len(due) > 0 {
		t.Errorf("%v due although enough losses are published", due)
	}
}

// A clearance is needed only where losses can be read, and ends those before it.
func TestClearances(t *testing.T) {
	r := quarantiner.NewReports()
	loss, clearance := quarantiner.Report{Fingerprint: 1, Target: "t1"}, quarantiner.Report{Fingerprint: 1}
	r.Add(loss, at(0))
	r.Clear(at(0), quarantiner.Run{Fingerprint: 1})
	if due := r.Due(at(time.Second), always); len(due) > 0 {
		t.Errorf("%v due after the only loss was dropped", due)
	}
	r.Published(loss)
	r.Clear(at(0), quarantiner.Run{Fingerprint: 1})
	if diff := cmp.Diff([]quarantiner.Report{clearance}, r.Due(at(0), always)); diff != "" {
		t.Errorf("due (-want +got):\n%s", diff)
	}
	r.Published(clearance)
	r.Clear(at(0), quarantiner.Run{Fingerprint: 1})
	if due := r.Due(at(0), always); len(due) > 0 {
		t.Errorf("%v due again", due)
	}
}

// A clearance of one part leaves the losses at the others readable, and a process that reads
// all reports in order ends with the same ones.
func TestClearanceOfOnePart(t *testing.T) {
	const fingerprint = 1
	loss := func(target, part string) quarantiner.Report {
		return quarantiner.Report{Fingerprint: fingerprint, Target: target, Parts: []string{part}}
	}
	r := quarantiner.NewReports()
	written := []quarantiner.Report{loss("t1", "a"), loss("t2", "b")}
	for _, report := range written {
		r.Published(report)
	}
	r.Clear(at(0), quarantiner.Run{Fingerprint: fingerprint, Part: "a"})
	r.Clear(at(0), quarantiner.Run{Fingerprint: fingerprint, Part: "c"})
	cleared := quarantiner.Report{Fingerprint: fingerprint, Parts: []string{"a"}}
	if diff := cmp.Diff([]quarantiner.Report{cleared}, r.Due(at(0), always)); diff != "" {
		t.Fatalf("due (-want +got):\n%s", diff)
	}
	written = append(written, cleared, loss("t3", "b"))
	want := map[string][]string{"": {"a"}, "t2": {"b"}, "t3": {"b"}}
	got := make(map[string][]string)
	for _, report := range quarantiner.Current(written) {
		got[report.Target] = report.Parts
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}
