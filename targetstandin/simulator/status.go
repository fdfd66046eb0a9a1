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

// maxStatusSamples limits the status history. The older half is dropped when it
// is full.
const maxStatusSamples = 1024

func (t *Target) handleStatus(rw http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.sampleStatus()
	answer := t.applyStatusLie(t.laggedStatus())
	t.mu.Unlock()
	writeJSON(rw, http.StatusOK, encode(answer))
}

// sampleStatus appends the current status to the history, from which delayed
// statuses are answered.
func (t *Target) sampleStatus() {
	if len(t.statusSamples) == maxStatusSamples {
		t.statusSamples = t.statusSamples[maxStatusSamples/2:]
	}
	t.statusSamples = append(t.statusSamples, statusSample{time.Now(), t.currentStatus()})
}

func (t *Target) currentStatus() statusAnswer {
	return statusAnswer{
		Target: t.description.Name, State: t.state(),
		InFlight: t.running + len(t.queue), Slots: t.description.Slots,
		Snapshots: append([]describer.Snapshot{}, t.snapshots...),
	}
}

func (t *Target) state() string {
	if t.hasFault(FaultDrain) {
		return stateDraining
	}
	if time.Since(t.startedAt) < time.Duration(t.description.ColdStart.For) {
		return stateStarting
	}
	return stateServing
}

// laggedStatus returns the newest sample that is at least as old as the lag, or
// the oldest sample if there is none.
func (t *Target) laggedStatus() statusAnswer {
	lag := max(time.Duration(t.description.StatusLag), t.delay(FaultStatusLag))
	cutoff := time.Now().Add(-lag)
	for i := len(t.statusSamples) - 1; i >= 0; i-- {
		if !t.statusSamples[i].at.After(cutoff) || lag == 0 {
			return t.statusSamples[i].answer
		}
	}
	return t.statusSamples[0].answer
}

// applyStatusLie replaces the fields that an active status-lie fault sets and
// adds its snapshot.
func (t *Target) applyStatusLie(answer statusAnswer) statusAnswer {
	f, ok := t.findFault(FaultStatusLie)
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

// holdsShard reports whether the target holds the shard in the snapshot.
func (t *Target) holdsShard(snapshot, shard string) bool {
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

// publish adds a snapshot, replacing one with the same ID, and records its shard
// map.
func (t *Target) publish(s describer.Snapshot) {
	t.retire(s.ID)
	t.snapshots = append(t.snapshots, s)
	t.maps = append(t.maps, checker.ShardMap{
		Service: t.description.Service, Set: t.description.Set,
		Snapshot: s.ID, Sequence: s.Sequence, Shards: s.Shards,
	})
}

func (t *Target) retire(id string) {
	remaining := t.snapshots[:0:0]
	for _, s := range t.snapshots {
		if s.ID != id {
			remaining = append(remaining, s)
		}
	}
	t.snapshots = remaining
}

// Snapshots returns the snapshots that the target currently holds.
func (t *Target) Snapshots() []describer.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]describer.Snapshot{}, t.snapshots...)
}
