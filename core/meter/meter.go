// Package meter provides the metrics of a process and the endpoint from which
// operators scrape them.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often the scope hands its values to the endpoint.
const reportPeriod = time.Second

// Meter is the root of a process's metrics.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process.
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

// Close reports the last values.
func (m *Meter) Close() error { return m.closer.Close() }

// LatencyBuckets are the bounds of latency histograms, fine around the 130 ms
// within which callers expect their answer.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond,
	100 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 5 * time.Second,
}
