package evaluator

import (
	"fmt"
	"io"
	"time"
)

// Row holds the five measures of one variant on one deployment.
type Row struct {
	Variant                                   string
	Healthy, Crest, Slowed, ReplicaLost, Cold *Result
}

// tableHead names the columns of the measures.
const tableHead = `| variant | p50 | p99 | p99.9 | coverage | extra load | goodput at crest | high served | recovery | p99 slowed | extra slowed | coverage, replica lost | p99, cold replicas |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteTable writes the measures of several variants on one deployment.
func WriteTable(w io.Writer, title string, rows []Row) {
	fmt.Fprintf(w, "## %s\n\n%s", title, tableHead)
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
