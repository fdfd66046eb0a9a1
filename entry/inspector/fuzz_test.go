package inspector_test

import (
	"testing"

	"jackdawcart.org/core/timer"
	"jackdawcart.org/platform/storer"
)

// Values of any bytes under the key of a loss must leave the quarantine of the request as it
// was: the value of a clearance that could not be read ended it.
func FuzzItem(f *testing.F) {
	const key = "suspects/0000000000000007/"
	f.Fuzz(func(t *testing.T, value []byte) {
		timers := timer.NewService()
		defer timers.Close()
		i := newInspector(refuse, timers)
		var items []storer.Item
		for n, target := range []string{"t1", "t2", "t3"} {
			items = append(items, storer.Item{Key: key + target, Value: []byte(`{"parts":["a"]}`), Revision: uint64(n + 1)})
		}
		i.ReplaceItems(items)
		if i.Quarantined(poison) == 0 {
			t.Fatal("three losses began no quarantine")
		}
		for n := range items {
			items[n].Value, items[n].Revision = value, uint64(n+10)
		}
		i.ApplyItems(items)
		i.ReplaceItems(items)
		if i.Quarantined(poison) == 0 {
			t.Errorf("%q under the keys of the losses ended the quarantine", value)
		}
	})
}

// A value that cannot be read said as little as one without parts, so a clearance of any
// bytes ended a quarantine everywhere.
func TestInvalidClearance(t *testing.T) {
	timers := timer.NewService()
	defer timers.Close()
	for _, value := range []string{"x", "7", `{"part":["b"]}`, `{"parts":[""]}`, `{"parts":"a"}`} {
		i := newInspector(refuse, timers)
		var items []storer.Item
		for _, target := range []string{"t1", "t2", "t3"} {
			items = append(items, storer.Item{Key: "suspects/0000000000000007/" + target, Value: []byte(`{"parts":["a"]}`)})
		}
		i.ReplaceItems(items)
		i.ApplyItems([]storer.Item{{Key: "suspects/0000000000000007/cleared", Value: []byte(value)}})
		if i.Quarantined(poison) == 0 {
			t.Errorf("a clearance of value %q ended the quarantine", value)
		}
	}
}
