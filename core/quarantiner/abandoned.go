package quarantiner

import "time"

const (
	// maxRunTime is the time after which a run that was given up no longer counts against
	// its request if its target is lost.
	maxRunTime = 5 * time.Second
	// maxAbandonedRuns limits the runs that are remembered.
	maxAbandonedRuns = 4096
)

// AbandonedRuns holds the runs that a process has given up while their targets may still
// have been at work: a target may crash after its answer is no longer waited for. It is not
// safe for concurrent use.
type AbandonedRuns struct {
	byTarget map[string]map[Run]time.Time
	// targets counts the targets of each run.
	targets map[Run]int
	total   int
}

// Add records a run at a target. Beyond the limit it is forgotten.
func (a *AbandonedRuns) Add(now time.Time, target string, run Run) {
	if a.byTarget == nil {
		a.byTarget, a.targets = make(map[string]map[Run]time.Time), make(map[Run]int)
	}
	if a.total >= maxAbandonedRuns {
		a.Expire(now)
	}
	runs := a.byTarget[target]
	_, known := runs[run]
	if !known && a.total >= maxAbandonedRuns {
		return
	}
	if runs == nil {
		runs = make(map[Run]time.Time)
		a.byTarget[target] = runs
	}
	if !known {
		a.targets[run]++
		a.total++
	}
	runs[run] = now
}

// Completed drops a run that has been answered by a target of the same part.
func (a *AbandonedRuns) Completed(run Run) {
	if a.targets[run] == 0 {
		return
	}
	for target := range a.byTarget {
		a.remove(target, run)
	}
}

// Has reports whether there are runs at a target.
func (a *AbandonedRuns) Has(target string) bool { return len(a.byTarget[target]) > 0 }

// Take removes the runs at a target and returns the recent ones.
func (a *AbandonedRuns) Take(now time.Time, target string) []Run {
	var runs []Run
	for run, at := range a.byTarget[target] {
		if now.Sub(at) <= maxRunTime {
			runs = append(runs, run)
		}
		a.remove(target, run)
	}
	return runs
}

// Expire drops the runs that no longer count.
func (a *AbandonedRuns) Expire(now time.Time) {
	for target, runs := range a.byTarget {
		for run, at := range runs {
			if now.Sub(at) > maxRunTime {
				a.remove(target, run)
			}
		}
	}
}

func (a *AbandonedRuns) remove(target string, run Run) {
	if _, ok := a.byTarget[target][run]; !ok {
		return
	}
	delete(a.byTarget[target], run)
	if len(a.byTarget[target]) == 0 {
		delete(a.byTarget, target)
	}
	a.total--
	if a.targets[run]--; a.targets[run] == 0 {
		delete(a.targets, run)
	}
}
