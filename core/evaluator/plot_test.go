package evaluator_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"jackdawcart.org/core/evaluator"
)

// plotVariable is the environment variable with the path of the directory that
// TestPlot writes to.
const plotVariable = "JACKDAWCART_PLOT"

// TestPlot draws the latency distribution of two scenarios when the environment
// variable is set.
func TestPlot(t *testing.T) {
	directory := os.Getenv(plotVariable)
	if directory == "" {
		t.Logf("%s is not set; no plots are drawn", plotVariable)
		return
	}
	registro := evaluator.Litoral().Select("registro-campo")
	draw(t, filepath.Join(directory, "policy-healthy.svg"), evaluator.Healthy(registro, seed))
	draw(t, filepath.Join(directory, "policy-slowed.svg"), evaluator.Slowed(registro, seed))
}

func draw(t *testing.T, path string, s evaluator.Scenario) {
	t.Helper()
	p := plot.New()
	p.Title.Text = s.Deployment.Name + ", " + s.Name
	p.X.Label.Text = "latency (ms)"
	p.Y.Label.Text = "share of queries answered whole"
	p.X.Max = float64(evaluator.Deadline / time.Millisecond)
	err := plotutil.AddLines(
		p,
		"baseline", curve(run(t, s, evaluator.Baseline())),
		"policy", curve(run(t, s, evaluator.Policy())),
		"oracle", curve(evaluator.Oracle(s)),
	)
	if err != nil {
		t.Fatal(err)
	}
	p.Legend.Top = false
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		t.Fatal(err)
	}
}

// curve returns the share of queries with a complete answer within each latency.
func curve(r *evaluator.Result) plotter.XYs {
	var points plotter.XYs
	for i, latency := range r.Latencies {
		if latency == evaluator.Missed {
			break
		}
		points = append(points, plotter.XY{
			X: float64(latency) / float64(time.Millisecond),
			Y: float64(i+1) / float64(len(r.Latencies)),
		})
	}
	return points
}
