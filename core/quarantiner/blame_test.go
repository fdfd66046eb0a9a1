package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"jackdawcart.org/core/quarantiner"
)

// A query that was in flight at some of the targets that a poison request crashed at once, and
// found no other target of their shards, was quarantined with it. The request that was in
// flight at more of them is the cause; the query counts again if targets are lost under it
// alone.
func TestBystanderOfManyLossesIsNotQuarantined(t *testing.T) {
	const poison, bystander = 1, 2
	q := quarantiner.New(quarantiner.DefaultConfig())
	lose := func(now time.Time, i int, fingerprints ...uint64) {
		var runs []quarantiner.Run
		for _, f := range fingerprints {
			runs = append(runs, quarantiner.Run{Fingerprint: f, Part: fmt.Sprint("shard-", i)})
		}
		q.LostTarget(now, fmt.Sprint("t", i), uint64(i), runs)
	}
	for i := range 3 {
		lose(at(0), i, poison, bystander)
	}
	lose(at(0), 3, poison)
	q.Advance(at(time.Second))
	if q.Quarantined(at(time.Second), poison) == 0 {
		t.Error("the poison request is not quarantined")
	}
	if q.Quarantined(at(time.Second), bystander) > 0 || q.Blamed(quarantiner.Run{Fingerprint: bystander}) {
		t.Error("the bystander is quarantined, or blamed")
	}
	for i := 4; i < 6; i++ {
		lose(at(5*time.Second), i, bystander)
	}
	if q.Quarantined(at(6*time.Second), bystander) == 0 {
		t.Error("a request under which targets are lost alone is not quarantined")
	}
}
