package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/quarantiner"
)

// A request that crashes the targets of one shard is answered by those of the others each
// time. Their answers must neither discount a loss nor end a quarantine.
func TestCompletedRunsOfOtherParts(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultConfig())
	sound, crashing := quarantiner.Run{Fingerprint: 7, Part: "sound"}, quarantiner.Run{Fingerprint: 7, Part: "crashing"}
	for i := range 2 {
		now := at(time.Duration(i) * 2 * time.Second)
		q.Completed(now, sound)
		q.LostTarget(now, fmt.Sprint("t", i), uint64(i), []quarantiner.Run{crashing})
		q.Completed(now, sound)
		q.Advance(now)
	}
	if got := q.Quarantined(at(2*time.Second), 7); got != 10*time.Minute {
		t.Errorf("%v remain of the quarantine, want 10m", got)
	}
	q.Completed(at(3*time.Second), sound)
	if diff := cmp.Diff([]string{"crashing"}, q.SuspectedParts(7)); diff != "" {
		t.Errorf("suspected parts (-want +got):\n%s", diff)
	}
	if q.Quarantined(at(3*time.Second), 7) == 0 {
		t.Error("a run at another part has ended the quarantine")
	}
	q.Completed(at(4*time.Second), crashing)
	if got := q.Quarantined(at(4*time.Second), 7); got != 0 {
		t.Errorf("%v remain of the quarantine after a run at the suspected part", got)
	}
}

// A peer that knows a quarantine only by its entry must not end it because of an answer of
// another part.
func TestMergedQuarantineNamesItsParts(t *testing.T) {
	a, b := quarantiner.New(quarantiner.DefaultConfig()), quarantiner.New(quarantiner.DefaultConfig())
	for i, part := range []string{"x", "y"} {
		a.LostTarget(at(0), part, uint64(i), []quarantiner.Run{{Fingerprint: 7, Part: part}})
	}
	b.Merge(at(time.Second), a.Advance(at(time.Second)))
	b.Completed(at(time.Second), quarantiner.Run{Fingerprint: 7, Part: "z"})
	b.Completed(at(time.Second), quarantiner.Run{Fingerprint: 7, Part: "x"})
	if b.Quarantined(at(time.Second), 7) == 0 {
		t.Fatal("answers of other parts have ended the quarantine")
	}
	a.Merge(at(2*time.Second), b.Advance(at(2*time.Second)))
	if got := a.Quarantined(at(2*time.Second), 7); got != 0 {
		t.Errorf("%v remain of a quarantine with one loss left", got)
	}
}
