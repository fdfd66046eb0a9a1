package reporter_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/measurer"
	"jackdawcart.org/loadtool/reporter"
	"jackdawcart.org/loadtool/scheduler"
)

// newRun returns a run of one request that is reported as not run although it ran.
func newRun(t *testing.T) *driver.Run {
	t.Helper()
	w, err := scheduler.Parse([]byte(`{"gateways": ["127.0.0.1:1"],
		"phases": [{"name": "steady", "for": "1s", "rate": 1}], "mix": [{"weight": 1, "services": ["agenda"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return &driver.Run{Workload: w, Start: at, Record: checker.Record{
		Requests: []checker.Request{{ID: "j", Kind: checker.RequestQuery, Text: "roof", Intended: at, Sent: at}},
		Answers:  []checker.Answer{{Request: "j", Outcome: checker.OutcomeNotRun, Code: "overloaded", At: at}},
		Targets:  checker.TargetRecord{Runs: []checker.Run{{Kind: checker.RunSearch, Text: "roof", Start: at}}},
	}}
}

// A saved run must load unchanged, and the report directory must contain all files.
func TestReportDirectory(t *testing.T) {
	directory := t.TempDir()
	run := newRun(t)
	if err := reporter.SaveRun(directory, run); err != nil {
		t.Fatal(err)
	}
	loaded, err := reporter.LoadRun(directory)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(run, loaded, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if err := reporter.Write(directory, measurer.Measure(loaded)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.json", "report.md", "latency.png", "coverage.png", "rate.png", "extra-load.png"} {
		if info, err := os.Stat(filepath.Join(directory, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	page, _ := os.ReadFile(filepath.Join(directory, "report.md"))
	if !strings.Contains(string(page), "- not-run, request j:") {
		t.Errorf("report.md does not list the violation:\n%s", page)
	}
}
