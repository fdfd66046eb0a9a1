// Package meter provides the metrics of a process and the HTTP handler that
// exposes them for scraping.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the interval at which the scope reports its values to the
// handler.
const reportPeriod = time.Second

// Meter holds the root scope of a process's metrics and their HTTP handler.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process, prefixed with its name and tagged with
// its node.
func New(process, node string) *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "jackdawcart_" + process,
		Tags:           map[string]string{"node": node},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportPeriod)
	return &Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the final values and stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// LatencyBuckets are the bucket bounds of latency histograms. They are dense
// around the 130 ms within which callers expect an answer.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond,
	100 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 5 * time.Second,
}
