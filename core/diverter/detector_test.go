package diverter_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawcart.org/core/diverter"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cutOff(d *diverter.Detector, ms int) bool {
	cut, _ := d.CutOff(at(ms))
	return cut
}

func ExampleDetector() {
	d := diverter.NewDetector()
	for i := range 10 {
		d.Sent(at(0), fmt.Sprintf("shard-%d", i))
	}
	fmt.Println(cutOff(d, 50), cutOff(d, 250))
	d.Heard(at(900))
	fmt.Println(cutOff(d, 901))
	// Output:
	// false true
	// false
}

// Targets that pause, are slow or are down while others answer are no cut of this VM, and
// neither are a few targets that are silent together.
func TestSilentTargetsAreNoCut(t *testing.T) {
	d := diverter.NewDetector()
	for ms := range 1000 {
		d.Sent(at(ms), fmt.Sprintf("silent-%d", ms%9))
		if ms%100 == 0 {
			d.Heard(at(ms))
		}
		if cutOff(d, ms) {
			t.Fatalf("cut off at %d ms although a target answers every 100 ms", ms)
		}
	}
	d.Heard(at(1000))
	d.Sent(at(1000), "a")
	d.Sent(at(1000), "b")
	if cutOff(d, 5000) {
		t.Fatal("cut off although only two targets are silent")
	}
}

// The cut must last until a target answers, also if nothing is sent meanwhile, and be
// reported as new once.
func TestCutLastsUntilAnAnswer(t *testing.T) {
	d := diverter.NewDetector()
	for _, target := range []string{"a", "b", "c"} {
		d.Sent(at(0), target)
	}
	if _, isNew := d.CutOff(at(300)); !isNew {
		t.Fatal("the cut is not reported as new")
	}
	if cut, isNew := d.CutOff(at(60_000)); !cut || isNew {
		t.Fatalf("cut off %v, new %v; want true, false", cut, isNew)
	}
	if length, ended := d.Heard(at(61_000)); !ended || length != 60700*time.Millisecond {
		t.Fatalf("ended %v after %v, want true after 1m0.7s", ended, length)
	}
}
