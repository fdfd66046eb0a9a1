package reporter

import (
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"jackdawcart.org/loadtool/measurer"
)

// chart plots measures over the time of the run.
type chart struct {
	file, title, axis string
	curves            []curve
}

type curve struct {
	name  string
	value func(measurer.Bucket) float64
}

var charts = []chart{
	{"latency.png", "Latency quantiles", "ms", []curve{
		{"p50", func(b measurer.Bucket) float64 { return milliseconds(b.P50) }},
		{"p99", func(b measurer.Bucket) float64 { return milliseconds(b.P99) }},
	}},
	{"coverage.png", "Coverage", "%", []curve{
		{"mean coverage", func(b measurer.Bucket) float64 { return 100 * b.Coverage }},
	}},
	{"rate.png", "Offered rate and goodput", "requests/s", []curve{
		{"offered", func(b measurer.Bucket) float64 { return b.Offered }},
		{"goodput", func(b measurer.Bucket) float64 { return b.Goodput }},
	}},
	{"extra-load.png", "Extra load on targets", "%", []curve{
		{"extra runs", func(b measurer.Bucket) float64 { return 100 * b.ExtraLoad }},
	}},
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func milliseconds(d measurer.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func saveCharts(directory string, report *measurer.Report) error {
	for _, c := range charts {
		if err := c.save(filepath.Join(directory, c.file), report.Timeline); err != nil {
			return newError("plot", err)
		}
	}
	return nil
}

func (c chart) save(path string, timeline []measurer.Bucket) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "s"
	p.Y.Label.Text = c.axis
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, curve := range c.curves {
		line, err := plotter.NewLine(curve.points(timeline))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}

func (c curve) points(timeline []measurer.Bucket) plotter.XYs {
	points := make(plotter.XYs, len(timeline))
	for i, b := range timeline {
		points[i] = plotter.XY{X: time.Duration(b.At).Seconds(), Y: c.value(b)}
	}
	return points
}
