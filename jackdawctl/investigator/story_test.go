package investigator_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/jackdawctl/investigator"
)

const log = `ts=2026-03-03T10:00:00.000Z level=info msg="target reachability" process=entry node=vm-1 target=i-1 reachable=false
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

func logs() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(log)), nil }

// The story must hold what its own VM learned about the targets in question, and
// whether others had trouble there: that tells a slow target from a bad way to it.
func TestStoryOfARequest(t *testing.T) {
	story, err := investigator.Find(logs, "a")
	if err != nil {
		t.Fatal(err)
	}
	var beliefs []string
	for _, l := range story.Beliefs {
		beliefs = append(beliefs, l.Message+" "+l.Value("target"))
	}
	if diff := cmp.Diff([]string{"target reachability i-1", "store lost "}, beliefs); diff != "" {
		t.Errorf("beliefs (-want +got):\n%s", diff)
	}
	want := []investigator.Target{
		{ID: "i-1", Others: map[string]int{"open": 2, "lost": 1}, VMs: 2},
		{ID: "i-3", Others: map[string]int{}},
	}
	if diff := cmp.Diff(want, story.Targets); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
	if got := story.Request.Value("verdict"); got != "partial" {
		t.Errorf("verdict %q", got)
	}
	if story.Unreadable != 1 {
		t.Errorf("%d unreadable lines, want 1", story.Unreadable)
	}
}

// An id that no line has must not pass for a request without troubles.
func TestUnknownRequest(t *testing.T) {
	_, err := investigator.Find(logs, "z")
	var e *investigator.Error
	if !errors.As(err, &e) || e.Kind != investigator.KindNotFound {
		t.Errorf("error %v", err)
	}
}
