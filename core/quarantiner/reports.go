package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Report states that a target was lost with a request in flight or, if Target is empty,
// that a run of the request has completed.
type Report struct {
	Fingerprint uint64
	Target      string
}

// Clearance reports whether a run of the request has completed.
func (r Report) Clearance() bool { return r.Target == "" }

const (
	// maxLossesPublished is the number of losses of one request that are published: a
	// process that reads them quarantines the request.
	maxLossesPublished = lossesForQuarantine
	// maxUnpublished limits the reports that wait to be published.
	maxUnpublished = 1024
	// maxBatch limits the reports that are published together.
	maxBatch = 32
)

// Reports decides which reports a process publishes where all processes read them. A
// loss of a request that is cleared soon, or of which enough losses are published, is
// not. Reports is not safe for concurrent use.
type Reports struct {
	published map[Report]struct{}
	// unpublished holds the time from which each report is to be published.
	unpublished map[Report]time.Time
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{published: make(map[Report]struct{}), unpublished: make(map[Report]time.Time)}
}

// Add schedules a report, unless it is published or scheduled.
func (r *Reports) Add(report Report, due time.Time) {
	_, published := r.published[report]
	_, scheduled := r.unpublished[report]
	if published || scheduled || len(r.unpublished) >= maxUnpublished {
		return
	}
	r.unpublished[report] = due
}

// Clear drops the unpublished losses of a request. If losses of it are published, it
// schedules a clearance.
func (r *Reports) Clear(now time.Time, fingerprint uint64) {
	for report := range r.unpublished {
		if report.Fingerprint == fingerprint && !report.Clearance() {
			delete(r.unpublished, report)
		}
	}
	if r.lossesPublished(fingerprint) > 0 {
		r.Add(Report{Fingerprint: fingerprint}, now)
	}
}

// Published records that a report can be read by all processes. A clearance ends the
// losses before it, and a loss the clearances.
func (r *Reports) Published(report Report) {
	delete(r.unpublished, report)
	for other := range r.published {
		if other.Fingerprint == report.Fingerprint && other.Clearance() != report.Clearance() {
			delete(r.published, other)
		}
	}
	r.published[report] = struct{}{}
}

// Withdrawn records that a report can no longer be read, and reports whether it could
// until now.
func (r *Reports) Withdrawn(report Report) bool {
	_, ok := r.published[report]
	delete(r.published, report)
	return ok
}

// AllPublished returns the reports that can be read by all processes.
func (r *Reports) AllPublished() []Report {
	reports := make([]Report, 0, len(r.published))
	for report := range r.published {
		reports = append(reports, report)
	}
	return reports
}

// Waiting returns the number of reports that are not yet published.
func (r *Reports) Waiting() int { return len(r.unpublished) }

// Due returns the reports to be published now, a limited number at once. It drops the
// losses of requests that are no longer suspected, and those beyond the number that a
// quarantine needs.
func (r *Reports) Due(now time.Time, suspected func(fingerprint uint64) bool) []Report {
	var due []Report
	for report, at := range r.unpublished {
		if !report.Clearance() && (!suspected(report.Fingerprint) || r.lossesPublished(report.Fingerprint) >= maxLossesPublished) {
			delete(r.unpublished, report)
			continue
		}
		if !now.Before(at) {
			due = append(due, report)
		}
	}
	slices.SortFunc(due, compareReports)
	return r.limit(due)
}

// limit returns the first reports of a sorted list, without losses beyond those that a
// quarantine needs.
func (r *Reports) limit(due []Report) []Report {
	losses := make(map[uint64]int)
	limited := due[:0]
	for _, report := range due {
		if !report.Clearance() {
			losses[report.Fingerprint]++
			if r.lossesPublished(report.Fingerprint)+losses[report.Fingerprint] > maxLossesPublished {
				continue
			}
		}
		limited = append(limited, report)
	}
	return limited[:min(len(limited), maxBatch)]
}

func (r *Reports) lossesPublished(fingerprint uint64) int {
	n := 0
	for report := range r.published {
		if report.Fingerprint == fingerprint && !report.Clearance() {
			n++
		}
	}
	return n
}

func compareReports(a, b Report) int {
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Target, b.Target))
}
