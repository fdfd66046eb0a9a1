package evaluator

import (
	"fmt"
	"io"
	"time"
)

// Row holds the results of one variant in five scenarios of one deployment.
type Row struct {
	Variant                                   string
	Healthy, Crest, Slowed, ReplicaLost, Cold *Result
}

// tableHeader is the header of a Markdown table of results.
const tableHeader = `| variant | p50 | p99 | p99.9 | coverage | extra load | goodput at crest | high served | recovery | p99 slowed | extra slowed | coverage, replica lost | p99, cold replicas |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteTable writes the results of several variants on one deployment as a
// Markdown table.
func WriteTable(w io.Writer, title string, rows []Row) {
	fmt.Fprintf(w, "## %s\n\n%s", title, tableHeader)
	for _, row := range rows {
		row.write(w)
	}
	fmt.Fprintln(w)
}

func (r Row) write(w io.Writer) {
	fmt.Fprintf(
		w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
		r.Variant,
		milliseconds(r.Healthy.P50), milliseconds(r.Healthy.P99), milliseconds(r.Healthy.P999),
		percent(r.Healthy.Coverage), percent(r.Healthy.ExtraLoad),
		percent(r.Crest.Goodput), percent(r.Crest.HighServed), r.Crest.Recovery,
		milliseconds(r.Slowed.P99), percent(r.Slowed.ExtraLoad),
		percent(r.ReplicaLost.Coverage), milliseconds(r.Cold.P99),
	)
}

func milliseconds(d time.Duration) string {
	if d == Missed {
		return "missed"
	}
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }
