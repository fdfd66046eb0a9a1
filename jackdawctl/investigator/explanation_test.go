package investigator_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/jackdawctl/investigator"
)

const logText = `ts=2026-03-03T10:00:00.000Z level=info msg="target reachability" process=entry node=vm-1 target=i-1 reachable=false
ts=2026-03-03T10:00:20.000Z level=info msg="target reachability" process=entry node=vm-1 target=i-1 reachable=true
goroutine 1 [running]:
ts=2026-03-03T10:00:20.100Z level=info msg="target reachability" process=entry node=vm-1 target=i-7 reachable=false
ts=2026-03-03T10:00:20.200Z level=warn msg="store lost" process=entry node=vm-2 op=watch
ts=2026-03-03T10:00:20.300Z level=warn msg="store lost" process=entry node=vm-1 op=watch
ts=2026-03-03T10:00:20.400Z level=info msg="request ended" process=entry node=vm-2 request=b verdict=partial troubles="s/i-1 first +0s 90ms open; s/i-2 hedge +36ms 54ms answered"
ts=2026-03-03T10:00:20.500Z level=info msg="request ended" process=entry node=vm-1 request=a verdict=partial status=200 troubles="s/i-1 first +0s 112ms open; t/i-3 first +0s 8ms unsent courier: dial: unreachable"
ts=2026-03-03T10:00:20.900Z level=info msg="request ended" process=entry node=vm-3 request=c verdict=partial troubles="s/i-1 first +0s 95ms open; s/i-1 waited +5ms 80ms lost read: closed"
ts=2026-03-03T10:00:29.000Z level=info msg="request ended" process=entry node=vm-3 request=d verdict=partial troubles="s/i-1 first +0s 95ms open"
`

func openLogs() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(logText)), nil }

// The explanation must hold the state changes on the request's own VM and the outcomes
// of other requests at the same targets: these distinguish a slow target from a bad
// network path to it.
func TestExplainRequest(t *testing.T) {
	explanation, err := investigator.Explain(openLogs, "a")
	if err != nil {
		t.Fatal(err)
	}
	var stateChanges []string
	for _, l := range explanation.StateChanges {
		stateChanges = append(stateChanges, l.Message+" "+l.Value("target"))
	}
	if diff := cmp.Diff([]string{"target reachability i-1", "store lost "}, stateChanges); diff != "" {
		t.Errorf("state changes (-want +got):\n%s", diff)
	}
	want := []investigator.Target{
		{ID: "i-1", Others: map[string]int{"open": 2, "lost": 1}, VMs: 2},
		{ID: "i-3", Others: map[string]int{}},
	}
	if diff := cmp.Diff(want, explanation.Targets); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
	if got := explanation.Request.Value("verdict"); got != "partial" {
		t.Errorf("got verdict %q, want partial", got)
	}
	if explanation.Unreadable != 1 {
		t.Errorf("%d unreadable lines, want 1", explanation.Unreadable)
	}
}

// A request that one VM has passed to another must be explained from the lines of all VMs
// that had to do with it, with the line of the VM that has served it first.
func TestExplainDelegatedRequest(t *testing.T) {
	const log = `ts=2026-03-03T10:00:20.000Z level=warn msg="cut off from all targets" node=vm-1
ts=2026-03-03T10:00:20.100Z level=info msg="request delegated" node=vm-1 request=z vm=vm-3
ts=2026-03-03T10:00:20.400Z level=info msg="request refused" node=vm-2 request=a for-vm=vm-1 reason="cut off from all targets"
ts=2026-03-03T10:00:20.500Z level=info msg="request ended" node=vm-3 request=a for-vm=vm-1 verdict=whole troubles=
ts=2026-03-03T10:00:20.501Z level=info msg="request delegated" node=vm-1 request=a vm=vm-3 asked=2
`
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(log)), nil }, "a")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range append([]investigator.Line{explanation.Request}, append(explanation.Hops, explanation.StateChanges...)...) {
		got = append(got, l.Node+" "+l.Message)
	}
	want := []string{"vm-3 request ended", "vm-2 request refused", "vm-1 request delegated", "vm-1 cut off from all targets"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// An unknown request ID must be an error, not a request without troubles.
func TestUnknownRequest(t *testing.T) {
	_, err := investigator.Explain(openLogs, "z")
	var e *investigator.Error
	if !errors.As(err, &e) || e.Kind != investigator.KindNotFound {
		t.Errorf("got error %v, want kind not-found", err)
	}
}

// For a request that was rejected because of overload, the explanation must hold the
// targets that refused parts of other requests at that time. Its own line names none.
func TestExplainOverload(t *testing.T) {
	const text = `ts=2026-03-03T10:00:20.000Z level=info msg="request ended" process=entry node=vm-1 request=b verdict=unserved troubles="s/i-1 first +0s 3ms refused 503; t/i-4 first +0s 90ms answered"
ts=2026-03-03T10:00:20.100Z level=info msg="request refused" process=entry node=vm-1 request=a reason=overload admitted-share=0.4
ts=2026-03-03T10:00:20.200Z level=info msg="request ended" process=entry node=vm-2 request=c verdict=partial troubles="s/i-1 first +0s 3ms refused 503; s/i-2 hedge +36ms 54ms open"
ts=2026-03-03T10:00:25.000Z level=info msg="request ended" process=entry node=vm-2 request=d verdict=partial troubles="s/i-9 first +0s 3ms refused 503"
`
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }, "a")
	if err != nil {
		t.Fatal(err)
	}
	want := []investigator.Target{{ID: "i-1", Others: map[string]int{"refused": 2}, VMs: 2}}
	if diff := cmp.Diff(want, explanation.Targets); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// A line of several megabytes must not end the reading of the log.
func TestLongLine(t *testing.T) {
	long := strings.Repeat("x", 5<<20) + "\n" + logText
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(long)), nil }, "a")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, explanation.Unreadable); diff != "" {
		t.Errorf("unreadable lines (-want +got):\n%s", diff)
	}
}

// For a request that is refused as quarantined, the explanation must hold how targets were
// lost under equal requests on other VMs. Its own line names no target.
func TestExplainQuarantine(t *testing.T) {
	const text = `ts=2026-03-03T10:00:10.000Z level=info msg="request ended" process=entry node=vm-1 request=b fingerprint=7f verdict=unserved troubles="s/i-1 first +0s 3ms lost courier: read: closed: EOF"
ts=2026-03-03T10:00:10.100Z level=warn msg="target lost with requests in flight" process=entry node=vm-1 target=i-1 fingerprints=5a,7f given-up=
ts=2026-03-03T10:00:10.150Z level=warn msg="target lost with requests in flight" process=entry node=vm-2 target=i-2 fingerprints= given-up=7f
ts=2026-03-03T10:00:10.200Z level=info msg="request ended" process=entry node=vm-2 request=c fingerprint=5a verdict=partial
ts=2026-03-03T10:00:11.000Z level=warn msg="quarantine began" process=entry node=vm-2 fingerprint=7f lost-targets=2
ts=2026-03-03T10:00:20.000Z level=info msg="request refused" process=entry node=vm-2 request=a reason=quarantined fingerprint=7f
ts=2026-03-03T10:00:21.000Z level=info msg="request refused" process=entry node=vm-2 request=d reason=quarantined fingerprint=7f
`
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }, "a")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explanation.EqualRequests {
		got = append(got, l.Node+" "+l.Message)
	}
	want := []string{"vm-1 request ended", "vm-1 target lost with requests in flight", "vm-2 target lost with requests in flight", "vm-2 quarantine began"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("equal requests (-want +got):\n%s", diff)
	}
}

// For a request that found no room, the explanation must hold what the targets had said and
// was in force on its VM, however long before.
func TestExplainLimits(t *testing.T) {
	const text = `ts=2026-03-03T10:00:00.000Z level=info msg="target limit" process=entry node=vm-1 target=i-1 named=true per-second=3
ts=2026-03-03T10:00:01.000Z level=info msg="target limit" process=entry node=vm-1 target=i-2 named=true per-second=4
ts=2026-03-03T10:00:02.000Z level=info msg="target limit" process=entry node=vm-2 target=i-3 named=true per-second=5
ts=2026-03-03T10:00:19.000Z level=info msg="target limit" process=entry node=vm-1 target=i-2 named=false per-second=0
ts=2026-03-03T10:00:03.000Z level=info msg="target says that it leaves" process=entry node=vm-1 target=i-4
ts=2026-03-03T10:00:04.000Z level=info msg="target asks for a pause" process=entry node=vm-1 target=i-5 pause=20s
ts=2026-03-03T10:00:05.000Z level=info msg="target asks for a pause" process=entry node=vm-1 target=i-6 pause=1.5s
ts=2026-03-03T10:00:20.000Z level=info msg="request ended" process=entry node=vm-1 request=a verdict=not-run limited=2 troubles=
`
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }, "a")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explanation.StateChanges {
		got = append(got, l.Message+" "+l.Value("target"))
	}
	if diff := cmp.Diff([]string{"target limit i-1", "target says that it leaves i-4", "target asks for a pause i-5"}, got); diff != "" {
		t.Errorf("state changes (-want +got):\n%s", diff)
	}
}
