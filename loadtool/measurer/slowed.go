package measurer

import (
	"encoding/json"
	"time"

	"jackdawcart.org/loadtool/scheduler"
)

// window is a time range relative to the start of the run; to is exclusive.
type window struct {
	from, to time.Duration
}

// targetFault holds the fields of a target's fault that the measures use.
type targetFault struct {
	Kind string   `json:"kind"`
	For  Duration `json:"for"`
}

// slowWindows returns the times during which the workload slows a target. A
// fault without a duration lasts until the next clear event or the end of the run.
func slowWindows(w *scheduler.Workload) []window {
	var windows []window
	for _, e := range w.Events {
		if e.To != scheduler.ToTargets {
			continue
		}
		at := time.Duration(e.At)
		for _, f := range faultsOf(e) {
			if f.Kind != "slow" {
				continue
			}
			end := at + time.Duration(f.For)
			if f.For == 0 {
				end = nextClear(w, at)
			}
			windows = append(windows, window{at, end})
		}
	}
	return windows
}

func nextClear(w *scheduler.Workload, after time.Duration) time.Duration {
	end := w.TotalDuration()
	for _, e := range w.Events {
		at := time.Duration(e.At)
		if e.To != scheduler.ToTargets || at <= after {
			continue
		}
		for _, f := range faultsOf(e) {
			if f.Kind == "clear" {
				end = min(end, at)
			}
		}
	}
	return end
}

// faultsOf decodes an event's faults. It returns none if they are malformed,
// because the stand-in rejects such an event.
func faultsOf(e scheduler.Event) []targetFault {
	var faults []targetFault
	if json.Unmarshal(e.Faults, &faults) != nil {
		return nil
	}
	return faults
}

func slowedOf(w *scheduler.Workload, requests []*request) Slowed {
	windows := slowWindows(w)
	during := func(r *request) bool { return inWindows(windows, r.offset) }
	other := func(r *request) bool { return !during(r) }
	slowed := Slowed{During: latencyOf(requests, during), Other: latencyOf(requests, other)}
	for offset := time.Duration(0); offset < w.TotalDuration(); offset += windowStep {
		if inWindows(windows, offset) {
			slowed.Time += Duration(windowStep)
		}
	}
	slowed.Ratio = ratio(float64(slowed.During.P99), float64(slowed.Other.P99))
	return slowed
}

func inWindows(windows []window, offset time.Duration) bool {
	for _, w := range windows {
		if offset >= w.from && offset < w.to {
			return true
		}
	}
	return false
}
