package simulator

import (
	"net/http"
	"time"

	"jackdawcart.org/core/checker"
	"jackdawcart.org/targetstandin/describer"
)

// States of a target.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
)

type statusAnswer struct {
	Target    string               `json:"target"`
	State     string               `json:"state"`
	InFlight  int                  `json:"in-flight"`
	Slots     int                  `json:"slots"`
	Snapshots []describer.Snapshot `json:"snapshots"`
}

type statusSample struct {
	at     time.Time
	answer statusAnswer
}

// maxSamples bounds the history of a lagging status.
const maxSamples = 1024

func (t *Target) status(rw http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.sample()
	answer := t.lie(t.lagging())
	t.mu.Unlock()
	writeJSON(rw, http.StatusOK, encode(answer))
}

// sample keeps the present status for later lagging answers.
func (t *Target) sample() {
	if len(t.samples) == maxSamples {
		t.samples = t.samples[maxSamples/2:]
	}
	t.samples = append(t.samples, statusSample{time.Now(), t.present()})
}

func (t *Target) present() statusAnswer {
	return statusAnswer{
		Target: t.description.Name, State: t.state(),
		InFlight: t.running + len(t.queue), Slots: t.description.Slots,
		Snapshots: append([]describer.Snapshot{}, t.snapshots...),
	}
}

func (t *Target) state() string {
	if t.has(FaultDrain) {
		return stateDraining
	}
	if time.Since(t.startedAt) < time.Duration(t.description.ColdStart.For) {
		return stateStarting
	}
	return stateServing
}

// lagging returns the newest sample that is as old as the lag.
func (t *Target) lagging() statusAnswer {
	lag := max(time.Duration(t.description.StatusLag), t.delay(FaultStatusLag))
	limit := time.Now().Add(-lag)
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].at.After(limit) || lag == 0 {
			return t.samples[i].answer
		}
	}
	return t.samples[0].answer
}

// lie replaces the parts of the status that a fault names.
func (t *Target) lie(answer statusAnswer) statusAnswer {
	f, ok := t.find(FaultStatusLie)
	if !ok {
		return answer
	}
	if f.State != "" {
		answer.State = f.State
	}
	if f.InFlight != nil {
		answer.InFlight = *f.InFlight
	}
	if f.Snapshot != nil {
		answer.Snapshots = append(answer.Snapshots, *f.Snapshot)
	}
	return answer
}

// holds reports whether the target can search the shard of the snapshot.
func (t *Target) holds(snapshot, shard string) bool {
	for _, s := range t.snapshots {
		if s.ID != snapshot {
			continue
		}
		for _, held := range s.Held {
			if held == shard {
				return true
			}
		}
	}
	return false
}

// publish adds a snapshot or replaces the one of the same identity.
func (t *Target) publish(s describer.Snapshot) {
	t.retire(s.ID)
	t.snapshots = append(t.snapshots, s)
	t.maps = append(t.maps, checker.ShardMap{
		Service: t.description.Service, Set: t.description.Set,
		Snapshot: s.ID, Sequence: s.Sequence, Shards: s.Shards,
	})
}

func (t *Target) retire(id string) {
	kept := t.snapshots[:0:0]
	for _, s := range t.snapshots {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	t.snapshots = kept
}

// Snapshots returns the snapshots that the target holds now.
func (t *Target) Snapshots() []describer.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]describer.Snapshot{}, t.snapshots...)
}
