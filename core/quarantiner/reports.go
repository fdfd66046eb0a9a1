package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Report states that a target was lost with a request in flight or, if Target is empty,
// that runs of the request have completed.
type Report struct {
	Fingerprint uint64
	Target      string
	// Parts holds the part at which the target was lost, or those at which runs have
	// completed. A loss without any concerns all parts, and a clearance only losses without
	// any: a process that does not tell parts apart takes a run at another part as proof.
	Parts []string
}

// Clearance reports whether runs of the request have completed.
func (r Report) Clearance() bool { return r.Target == "" }

// concerns reports whether a completed run at the part cancels a loss, or is stated by a
// clearance.
func (r Report) concerns(part string) bool {
	return len(r.Parts) == 0 || slices.ContainsFunc(r.Parts, func(p string) bool { return covers(part, p) })
}

// Runs returns the runs that the report is about.
func (r Report) Runs() []Run {
	if len(r.Parts) == 0 {
		return []Run{{Fingerprint: r.Fingerprint}}
	}
	runs := make([]Run, len(r.Parts))
	for i, part := range r.Parts {
		runs[i] = Run{r.Fingerprint, part}
	}
	return runs
}

const (
	// maxLossesPublished is the number of losses of one request that are published: a
	// process that reads them quarantines the request.
	maxLossesPublished = lossesForQuarantine
	// maxUnpublished limits the reports that wait to be published.
	maxUnpublished = 1024
	// maxBatch limits the reports that are published together.
	maxBatch = 32
)

// reportKey identifies a report. There is one clearance of a request at most, which names
// all parts at which runs have completed.
type reportKey struct {
	fingerprint uint64
	target      string
}

func (r Report) key() reportKey { return reportKey{r.Fingerprint, r.Target} }

func (k reportKey) clearance() bool { return k.target == "" }

// scheduledReport is a report that is to be published at a time.
type scheduledReport struct {
	Report
	due time.Time
}

// Reports decides which reports a process publishes where all processes read them. A
// loss of a request that is cleared soon, or of which enough losses are published, is
// not. Reports is not safe for concurrent use.
type Reports struct {
	published   map[reportKey]Report
	unpublished map[reportKey]scheduledReport
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{published: make(map[reportKey]Report), unpublished: make(map[reportKey]scheduledReport)}
}

// Add schedules a report, unless it is published or scheduled. A clearance is joined with
// the parts of the one that is published or scheduled.
func (r *Reports) Add(report Report, due time.Time) {
	key := report.key()
	published, isPublished := r.published[key]
	scheduled, isScheduled := r.unpublished[key]
	if report.Clearance() {
		if isPublished {
			report = joinClearances(published, report)
			isPublished = slices.Equal(published.Parts, report.Parts)
		}
		if isScheduled {
			report, due = joinClearances(scheduled.Report, report), scheduled.due
			isScheduled = false
		}
	}
	if isPublished || isScheduled || len(r.unpublished) >= maxUnpublished {
		return
	}
	r.unpublished[key] = scheduledReport{report, due}
}

// joinClearances returns the clearance of the parts of both. The losses without parts, which
// one without parts ends, are ended by each clearance.
func joinClearances(a, b Report) Report {
	parts := slices.Concat(a.Parts, b.Parts)
	if len(parts) == 0 {
		return Report{Fingerprint: a.Fingerprint}
	}
	slices.Sort(parts)
	return Report{Fingerprint: a.Fingerprint, Parts: slices.Compact(parts)}
}

// Clear drops the unpublished losses of a run that has completed. If losses of it are
// published, it schedules a clearance.
func (r *Reports) Clear(now time.Time, run Run) {
	clearance := clearanceOf(run)
	for key, report := range r.unpublished {
		if key.fingerprint == run.Fingerprint && !key.clearance() && clearance.Ends(report.Report) {
			delete(r.unpublished, key)
		}
	}
	for key, report := range r.published {
		if key.fingerprint == run.Fingerprint && !key.clearance() && clearance.Ends(report) {
			r.Add(clearance, now)
			return
		}
	}
}

func clearanceOf(run Run) Report {
	if run.Part == "" {
		return Report{Fingerprint: run.Fingerprint}
	}
	return Report{Fingerprint: run.Fingerprint, Parts: []string{run.Part}}
}

// Published records that a report can be read by all processes. A clearance ends the
// losses before it at its parts, and a loss the clearances of its part.
func (r *Reports) Published(report Report) {
	if s, ok := r.unpublished[report.key()]; ok && (!report.Clearance() || slices.Equal(s.Parts, report.Parts)) {
		delete(r.unpublished, report.key())
	}
	for key, other := range r.published {
		if key.fingerprint != report.Fingerprint || key.clearance() == report.Clearance() {
			continue
		}
		if left, ok := endedBy(other, report); ok {
			r.published[key] = left
		} else {
			delete(r.published, key)
		}
	}
	r.published[report.key()] = report
}

// endedBy returns what is left of an earlier report after a later one of the other kind, and
// false if nothing is.
func endedBy(earlier, later Report) (Report, bool) {
	if later.Clearance() && !later.Ends(earlier) {
		return earlier, true
	}
	if len(earlier.Parts) == 0 || len(later.Parts) == 0 {
		return Report{}, false
	}
	earlier.Parts = slices.DeleteFunc(slices.Clone(earlier.Parts), later.concerns)
	return earlier, len(earlier.Parts) > 0
}

// Ends reports whether a clearance ends a loss, or a part of it.
func (r Report) Ends(loss Report) bool {
	if len(r.Parts) == 0 || len(loss.Parts) == 0 {
		return len(loss.Parts) == 0
	}
	return slices.ContainsFunc(loss.Parts, r.concerns)
}

// Withdrawn records that a report can no longer be read, and returns it if it could until
// now.
func (r *Reports) Withdrawn(report Report) (Report, bool) {
	published, ok := r.published[report.key()]
	delete(r.published, report.key())
	return published, ok
}

// AllPublished returns the reports that can be read by all processes.
func (r *Reports) AllPublished() []Report {
	reports := make([]Report, 0, len(r.published))
	for _, report := range r.published {
		reports = append(reports, report)
	}
	return reports
}

// Current returns the reports that hold among those that were published one after the other.
func Current(reports []Report) []Report {
	r := NewReports()
	for _, report := range reports {
		r.Published(report)
	}
	return r.AllPublished()
}

// Waiting returns the number of reports that are not yet published.
func (r *Reports) Waiting() int { return len(r.unpublished) }

// Due returns the reports to be published now, a limited number at once. It drops the
// losses of runs that are no longer suspected.
func (r *Reports) Due(now time.Time, suspected func(Run) bool) []Report {
	var due []Report
	for key, report := range r.unpublished {
		if !key.clearance() && !slices.ContainsFunc(report.Runs(), suspected) {
			delete(r.unpublished, key)
			continue
		}
		if !now.Before(report.due) {
			due = append(due, report.Report)
		}
	}
	slices.SortFunc(due, compareReports)
	return r.limit(due)
}

// limit returns the first reports of a sorted list, without losses beyond those that are
// published. The others are dropped.
func (r *Reports) limit(due []Report) []Report {
	losses := make(map[uint64]int)
	limited := due[:0]
	for _, report := range due {
		if !report.Clearance() {
			losses[report.Fingerprint]++
			if r.lossesPublished(report.Fingerprint)+losses[report.Fingerprint] > maxLossesPublished {
				delete(r.unpublished, report.key())
				continue
			}
		}
		limited = append(limited, report)
	}
	return limited[:min(len(limited), maxBatch)]
}

func (r *Reports) lossesPublished(fingerprint uint64) int {
	n := 0
	for key := range r.published {
		if key.fingerprint == fingerprint && !key.clearance() {
			n++
		}
	}
	return n
}

func compareReports(a, b Report) int {
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Target, b.Target))
}
