package reporter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jackdawcart.org/loadtool/measurer"
)

// maxListedViolations bounds the violations in the Markdown report; report.json
// has all of them.
const maxListedViolations = 20

// Markdown returns the report as a Markdown document.
func Markdown(r *measurer.Report) string {
	var b strings.Builder
	c := r.Counts
	fmt.Fprintf(&b, "# Load report\n\nStarted %s, %s long.\n\n", r.Start.UTC().Format(time.RFC3339), time.Duration(r.Duration))
	fmt.Fprintf(&b, "%d requests: %d answered (%d partial), %d not run (%d of them not sent), %d ran without an answer, %d unknown.\n\n",
		c.Offered, c.Answered, c.Partial, c.NotRun, c.NotSent, c.Ran, c.Unknown)
	writeMeasures(&b, r)
	writeLatencies(&b, r)
	writeCodes(&b, r.Codes)
	writeViolations(&b, r)
	for _, note := range r.Notes {
		fmt.Fprintf(&b, "- Note: %s\n", note)
	}
	for _, p := range charts {
		fmt.Fprintf(&b, "\n![%s](%s)\n", p.title, p.file)
	}
	return b.String()
}

func writeMeasures(b *strings.Builder, r *measurer.Report) {
	fmt.Fprintf(b, "## Measures\n\n| measure | value |\n|---|---|\n")
	row := func(name, format string, args ...any) {
		fmt.Fprintf(b, "| %s | %s |\n", name, fmt.Sprintf(format, args...))
	}
	t, cov, e, crest, s := r.TailLatency, r.Coverage, r.ExtraLoad, r.Crest, r.Slowed
	row("tail latency", "p99 %s, p99.9 %s, %s in time", formatDuration(t.P99), formatDuration(t.P999), formatPercent(t.InTime))
	row("coverage", "mean %s, lowest %s, %s complete", formatPercent(cov.Mean), formatPercent(cov.Lowest), formatPercent(cov.Complete))
	row("extra load on targets", "%s (%d runs, %d needed, %d cancelled)", formatPercent(e.Share), e.Runs, e.Needed, e.Cancelled)
	row("service at the crest", "goodput %.1f/s of %.1f/s offered: %s%s", crest.Goodput, crest.Offered, formatPercent(crest.OverOffered), formatCapacity(crest))
	row("tail latency while targets are slowed", "%s", formatSlowed(s))
}

func formatCapacity(c measurer.Crest) string {
	if c.OverCapacity == 0 {
		return ""
	}
	return ", " + formatPercent(c.OverCapacity) + " of capacity"
}

func formatSlowed(s measurer.Slowed) string {
	if s.Time == 0 {
		return "no target was slowed"
	}
	return fmt.Sprintf("p99 %s during %s, %s otherwise, ratio %.2f", formatDuration(s.During.P99), time.Duration(s.Time), formatDuration(s.Other.P99), s.Ratio)
}

func writeLatencies(b *strings.Builder, r *measurer.Report) {
	fmt.Fprintf(b, "\n## Latencies\n\n| requests | count | p50 | p90 | p99 | p99.9 | max | in time |\n|---|---|---|---|---|---|---|---|\n")
	row := func(name string, l measurer.Latency) {
		fmt.Fprintf(b, "| %s | %d | %s | %s | %s | %s | %s | %s |\n", name, l.Count,
			formatDuration(l.P50), formatDuration(l.P90), formatDuration(l.P99), formatDuration(l.P999), formatDuration(l.Max), formatPercent(l.InTime))
	}
	row("all", r.TailLatency)
	for _, name := range slices.Sorted(maps.Keys(r.Phases)) {
		row("phase "+name, r.Phases[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Priorities)) {
		row("priority "+name, r.Priorities[name])
	}
	row("crest", r.Crest.Latency)
	row("slowed", r.Slowed.During)
}

func writeCodes(b *strings.Builder, codes map[string]int) {
	if len(codes) == 0 {
		return
	}
	fmt.Fprintf(b, "\n## Errors\n\n| code | count |\n|---|---|\n")
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(b, "| %s | %d |\n", code, codes[code])
	}
}

func writeViolations(b *strings.Builder, r *measurer.Report) {
	fmt.Fprintf(b, "\n## Violations\n\n")
	if r.TargetsPartial {
		fmt.Fprintf(b, "The targets' record is partial: checks that need a run or a shard map were left out.\n\n")
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(b, "None.\n\n")
		return
	}
	for _, rule := range slices.Sorted(maps.Keys(r.ViolationCounts)) {
		fmt.Fprintf(b, "- %s: %d\n", rule, r.ViolationCounts[rule])
	}
	fmt.Fprintf(b, "\nThe first ones:\n\n")
	for _, v := range r.Violations[:min(maxListedViolations, len(r.Violations))] {
		fmt.Fprintf(b, "- %s, request %s: %s\n", v.Rule, v.Request, v.Message)
	}
	fmt.Fprintln(b)
}

func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func formatDuration(d measurer.Duration) string {
	return time.Duration(d).Round(10 * time.Microsecond).String()
}
