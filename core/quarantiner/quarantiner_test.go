package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"jackdawcart.org/core/quarantiner"
)

var start = time.Unix(0, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// runs returns runs of requests at one part.
func runs(fingerprints ...uint64) []quarantiner.Run {
	var list []quarantiner.Run
	for _, f := range fingerprints {
		list = append(list, quarantiner.Run{Fingerprint: f, Part: "part"})
	}
	return list
}

func Example() {
	q := quarantiner.New(quarantiner.DefaultConfig())
	poison := quarantiner.Fingerprint("trackfinder", "search", "  Hut\tBEYOND ")
	q.LostTarget(at(0), "t1", 1, runs(poison))
	fmt.Println(q.Quarantined(at(0), poison))
	q.LostTarget(at(3*time.Second), "t2", 2, runs(poison))
	fmt.Println(q.Quarantined(at(3*time.Second), quarantiner.Fingerprint("trackfinder", "search", "hut beyond")))
	// Output:
	// 0s
	// 10m0s
}

// Moving text from one field of a request to the next must change the
// fingerprint, or a harmless request shares the quarantine of another one.
func TestFingerprint(t *testing.T) {
	a := quarantiner.Fingerprint("s", "op", "x y")
	for _, other := range [][3]string{{"so", "p", "x y"}, {"s", "opx", "y"}, {"s", "op", "xy"}} {
		if quarantiner.Fingerprint(other[0], other[1], other[2]) == a {
			t.Errorf("%q has the same fingerprint", other)
		}
	}
}

// event is the loss of a target, or a completed run if target is empty.
type event struct {
	at       time.Duration
	target   string
	reportID uint64
}

// Whatever the order and the number of reports, the decision must be the same as
// if all events were known at once. A wrong one refuses a popular query for 10
// minutes or lets a poison request crash every target.
func TestOrderOfEvents(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		events []event
		// from is the start of the quarantine, zero for none.
		from time.Duration
	}{
		"one loss":                         {[]event{{0, "a", 1}}, 0},
		"two losses":                       {[]event{{0, "a", 1}, {4000 * ms, "b", 2}}, 4000 * ms},
		"two at once":                      {[]event{{0, "a", 1}, {0, "b", 2}}, 1000 * ms},
		"completed in between":             {[]event{{0, "a", 1}, {at: 2000 * ms}, {4000 * ms, "b", 2}}, 0},
		"completed between at once":        {[]event{{0, "a", 1}, {at: 1 * ms}, {2 * ms, "b", 2}}, 0},
		"completed after two at once":      {[]event{{0, "a", 1}, {0, "b", 2}, {at: 130 * ms}}, 0},
		"completed just before":            {[]event{{at: 0}, {10 * ms, "a", 1}, {20 * ms, "b", 2}}, 0},
		"completed long before":            {[]event{{at: 0}, {1010 * ms, "a", 1}, {4000 * ms, "b", 2}}, 4000 * ms},
		"completed, then two losses":       {[]event{{0, "a", 1}, {at: 10 * ms}, {3000 * ms, "b", 2}, {6000 * ms, "c", 3}}, 6000 * ms},
		"completed after the quarantine":   {[]event{{0, "a", 1}, {0, "b", 2}, {at: 1500 * ms}}, 0},
		"reported by two owners":           {[]event{{0, "a", 1}, {2000 * ms, "a", 2}}, 0},
		"repeated report":                  {[]event{{0, "a", 1}, {9000 * ms, "a", 1}}, 0},
		"same target lost again":           {[]event{{0, "a", 1}, {6000 * ms, "a", 2}}, 6000 * ms},
		"losses further apart than memory": {[]event{{0, "a", 1}, {601 * time.Second, "b", 2}}, 0},
	} {
		q := quarantiner.New(quarantiner.DefaultConfig())
		last := c.events[len(c.events)-1].at
		for _, e := range c.events {
			q.Advance(at(e.at))
			if e.target == "" {
				q.Completed(at(e.at), runs(7)[0])
			} else {
				q.LostTarget(at(e.at), e.target, e.reportID, runs(7))
			}
		}
		got := map[string]time.Duration{
			"before": q.Quarantined(at(max(c.from, last)-1), 7),
			"from":   q.Quarantined(at(max(c.from, last)), 7),
			"later":  q.Quarantined(at(last+5*time.Minute), 7),
			"after":  q.Quarantined(at(c.from+10*time.Minute), 7),
		}
		want := map[string]time.Duration{"before": 0, "from": 0, "later": 0, "after": 0}
		if c.from != 0 {
			want["from"] = 10 * time.Minute
			want["later"] = 5*time.Minute + c.from - last
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: quarantine differs (-want +got):\n%s", name, diff)
		}
	}
}

// Entries that peers repeat must neither extend a quarantine nor restore one
// that a completed run has ended, and no entry may exceed the period.
func TestMerge(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultConfig())
	quarantine := []quarantiner.Entry{{Fingerprint: 7, Remaining: time.Hour, LostTargets: 2}}
	var got [][]quarantiner.Entry
	got = append(got, q.Merge(at(0), quarantine), q.Entries(at(time.Minute)))
	got = append(got, q.Merge(at(time.Second), quarantine), q.Advance(at(time.Second)))
	q.Completed(at(time.Minute), runs(7)[0])
	got = append(got, q.Entries(at(time.Minute)), q.Advance(at(time.Minute)), q.Advance(at(time.Minute)))
	quarantine[0].Remaining = 9 * time.Minute
	got = append(got, q.Merge(at(time.Minute), quarantine), q.Advance(at(time.Minute)))
	quarantine[0].Remaining = 10 * time.Minute
	got = append(got, q.Merge(at(2*time.Minute), quarantine))
	got = append(got, q.Merge(at(3*time.Minute), []quarantiner.Entry{{Fingerprint: 7}}), q.Entries(at(3*time.Minute)))
	full := []quarantiner.Entry{{Fingerprint: 7, Remaining: 10 * time.Minute, LostTargets: 2}}
	minuteLater := []quarantiner.Entry{{Fingerprint: 7, Remaining: 9 * time.Minute, LostTargets: 2}}
	clearance := []quarantiner.Entry{{Fingerprint: 7}}
	clearanceOfPart := []quarantiner.Entry{{Fingerprint: 7, Parts: []string{"part"}}}
	want := [][]quarantiner.Entry{full, minuteLater, nil, nil, nil, clearanceOfPart, nil, nil, clearance, full, clearance, nil}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries differ (-want +got):\n%s", diff)
	}
	q.Merge(at(4*time.Minute), full)
	if len(q.Entries(at(14*time.Minute))) != 0 {
		t.Error("the quarantine is in force after its period")
	}
}

// Hostile reports must neither exhaust memory nor evict suspects that have
// counted losses.
func TestBounds(t *testing.T) {
	config := quarantiner.DefaultConfig()
	config.MaxSuspects, config.MaxEntries, config.MaxFingerprintsPerLoss = 4, 2, 3
	q := quarantiner.New(config)
	q.LostTarget(at(0), "a", 1, runs(0, 1, 2, 3))
	for fingerprint := uint64(10); fingerprint < 20; fingerprint++ {
		q.Merge(at(time.Second), []quarantiner.Entry{{Fingerprint: fingerprint}})
		q.Merge(at(time.Second), []quarantiner.Entry{{Fingerprint: fingerprint + 10, Remaining: time.Minute}})
	}
	if suspects, entries := q.Len(); suspects != 4 || entries != 2 {
		t.Errorf("got %d suspects and %d entries, want 4 and 2", suspects, entries)
	}
	q.LostTarget(at(2*time.Second), "b", 2, runs(0, 1, 3))
	got := []time.Duration{q.Quarantined(at(2*time.Second), 0), q.Quarantined(at(2*time.Second), 1), q.Quarantined(at(2*time.Second), 3)}
	if diff := cmp.Diff([]time.Duration{0, 10 * time.Minute, 0}, got); diff != "" {
		t.Errorf("quarantine of the zero fingerprint, a suspect and a fingerprint beyond MaxFingerprintsPerLoss differs (-want +got):\n%s", diff)
	}
	q.Advance(at(time.Hour))
	if suspects, entries := q.Len(); suspects != 0 || entries != 0 {
		t.Errorf("%d suspects and %d entries remain after their expiry", suspects, entries)
	}
}

// A completion just before a loss must discount it, however many other
// completions there are within the limit; otherwise a popular query is
// quarantined at peak load.
func TestRecentCompletions(t *testing.T) {
	config := quarantiner.DefaultConfig()
	config.MaxCompletions = 3
	q := quarantiner.New(config)
	for i, fingerprint := range []uint64{1, 7, 8, 9, 10, 11, 7, 12, 13} {
		q.Completed(at([]time.Duration{0, 1500, 1600, 1700, 1800, 2400, 2450, 2500, 2520}[i]*time.Millisecond), runs(fingerprint)[0])
	}
	for reportID, target := range []string{"a", "b"} {
		q.LostTarget(at(2550*time.Millisecond), target, uint64(reportID), runs(7, 10, 12))
	}
	got := map[uint64]bool{}
	for _, e := range q.Advance(at(4 * time.Second)) {
		got[e.Fingerprint] = e.Remaining > 0
	}
	if diff := cmp.Diff(map[uint64]bool{7: false, 10: true, 12: false}, got); diff != "" {
		t.Errorf("quarantined fingerprints differ (-want +got):\n%s", diff)
	}
}

// A loss that is discounted here because of a peer's clearance may count at
// another peer, which quarantines a harmless request unless it receives the
// next completion.
func TestCompletionAfterClearanceIsPublished(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultConfig())
	clearance := []quarantiner.Entry{{Fingerprint: 7, Parts: []string{"part"}}}
	q.Merge(at(0), clearance)
	q.LostTarget(at(500*time.Millisecond), "a", 1, runs(7))
	q.Completed(at(600*time.Millisecond), runs(7)[0])
	updates := q.Advance(at(time.Second))
	q.Completed(at(time.Second), runs(7)[0])
	if diff := cmp.Diff(clearance, append(updates, q.Advance(at(time.Second))...)); diff != "" {
		t.Errorf("updates differ (-want +got):\n%s", diff)
	}
}

// A request that crashes more targets during its quarantine, through relays that
// have not received the entry, must not be admitted when the first period ends.
func TestFurtherLossesExtendQuarantine(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultConfig())
	for i, target := range []string{"a", "b", "c", "d"} {
		when := at([]time.Duration{0, 4, 300, 304}[i] * time.Second)
		q.LostTarget(when, target, uint64(i), runs(7))
		q.Advance(when)
	}
	if got := q.Quarantined(at(304*time.Second), 7); got != 10*time.Minute {
		t.Errorf("got %v remaining, want 10m", got)
	}
}

const poison, popular = 1, 2

// Three relays receive losses and clearances in any order and with different
// delays. A popular query is in flight at each target that the poison request
// crashes, and completes at one of the relays around that time. Every relay must
// quarantine the poison request, and none may ever quarantine the popular query.
func TestGossipInAnyOrder(t *testing.T) {
	const ms = time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		type action struct {
			at  time.Duration
			run func(now time.Time)
		}
		var actions []action
		relays := make([]*quarantiner.Quarantiner, 3)
		for i := range relays {
			relays[i] = quarantiner.New(quarantiner.DefaultConfig())
		}
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * ms }
		relay := func() *quarantiner.Quarantiner { return rapid.SampledFrom(relays).Draw(t, "relay") }
		losses := rapid.IntRange(2, 6).Draw(t, "losses")
		for n, when := 0, 2*time.Second; n < losses; n++ {
			for _, q := range relays {
				actions = append(actions, action{when + delay(), func(now time.Time) {
					q.LostTarget(now, fmt.Sprint("t", n), uint64(n), runs(poison, popular))
				}})
			}
			q, done := relay(), when+delay()-150*ms
			actions = append(actions, action{done, func(now time.Time) { q.Completed(now, runs(popular)[0]) }})
			when += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms
		}
		for now := time.Duration(0); now < 30*time.Second; now += 10 * ms {
			for i := 0; i < len(actions); i++ {
				if a := actions[i]; a.at <= now {
					actions = slices.Delete(actions, i, i+1)
					i--
					a.run(at(now))
				}
			}
			for i, q := range relays {
				if q.Quarantined(at(now), popular) > 0 {
					t.Fatalf("relay %d quarantines the popular query at %v", i, now)
				}
				updates := q.Advance(at(now))
				if len(updates) == 0 {
					continue
				}
				for _, peer := range relays {
					actions = append(actions, action{now + delay(), func(now time.Time) { peer.Merge(now, updates) }})
				}
			}
		}
		for i, q := range relays {
			if q.Quarantined(at(30*time.Second), poison) == 0 {
				t.Fatalf("relay %d does not quarantine the poison request", i)
			}
		}
	})
}
