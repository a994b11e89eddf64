package exper

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Ways lists the ways of balancing in the order of tables.
var Strategies = []string{"lagoonramp", "roundRobin", "hash", "fifo"}

// Of returns the figures of a way.
func (r *Result) MetricsOf(way string) Metrics {
	if way == "lagoonramp" {
		return r.Lagoonramp
	}
	return r.Baselines[way]
}

// RunSeeds runs an experiment on the seeds first, first+1, …, on several
// processors. The results are in the order of the seeds.
func RunSeeds(name string, size Size, first uint64, seeds, parallel int) []Result {
	out := make([]Result, seeds)
	tickets := make(chan struct{}, max(1, parallel))
	var group sync.WaitGroup
	for i := range seeds {
		group.Add(1)
		tickets <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-tickets }()
			out[i] = Run(name, size, first+uint64(i))
		}()
	}
	group.Wait()
	return out
}

// column is a figure of the summary.
type column struct {
	title string
	value func(f *Metrics) float64
}

func share(part, of int) float64 {
	if of == 0 {
		return 0
	}
	return 100 * float64(part) / float64(of)
}

var columns = []column{
	{"broken planned", func(f *Metrics) float64 { return float64(f.BrokenFlowsPlanned) }},
	{"broken crash %", func(f *Metrics) float64 { return share(f.BrokenFlowsCrash, f.FlowsOnCrashedHost) }},
	{"imbalance", func(f *Metrics) float64 { return f.Imbalance }},
	{"useful at crest %", func(f *Metrics) float64 { return 100 * f.PeakGoodputRatio }},
	{"started too late", func(f *Metrics) float64 { return float64(f.StartedTooLate) }},
	{"answered %", func(f *Metrics) float64 { return 100 * f.OffPeakAnsweredRatio }},
	{"short p99 ms", func(f *Metrics) float64 { return f.ShortP99Ms }},
	{"alone ms", func(f *Metrics) float64 { return f.ShortOnlyP99Ms }},
	{"doubled", func(f *Metrics) float64 { return float64(f.Duplicated) }},
	{"lost", func(f *Metrics) float64 { return float64(f.AnsweredWithoutRun) }},
	{"false not run", func(f *Metrics) float64 { return float64(f.FalseNotRun) }},
	{"silent found", func(f *Metrics) float64 { return float64(f.BlackholesDetected) }},
	{"after s", func(f *Metrics) float64 { return f.MaxDetectionSeconds }},
	{"false alarms", func(f *Metrics) float64 { return float64(f.FalseAlarms) }},
}

// spread returns the median, the least and the highest of values.
func spread(values []float64) (median, low, high float64) {
	v := slices.Clone(values)
	slices.Sort(v)
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2, v[0], v[n-1]
}

// WriteTable writes the medians and ranges of an experiment as a Markdown
// table.
func WriteTable(w io.Writer, name string, results []Result) {
	fmt.Fprintf(w, "\n### %s\n\n", name)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(t, "| way\t")
	for _, c := range columns {
		fmt.Fprintf(t, "| %s\t", c.title)
	}
	fmt.Fprint(t, "|\n|---\t")
	for range columns {
		fmt.Fprint(t, "|---\t")
	}
	fmt.Fprintln(t, "|")
	for _, way := range Strategies {
		fmt.Fprintf(t, "| %s\t", way)
		for _, c := range columns {
			median, low, high := spread(values(results, way, c))
			if low == high {
				fmt.Fprintf(t, "| %.4g\t", median)
			} else {
				fmt.Fprintf(t, "| %.4g (%.4g–%.4g)\t", median, low, high)
			}
		}
		fmt.Fprintln(t, "|")
	}
	t.Flush()
}

func values(results []Result, way string, c column) []float64 {
	out := make([]float64, len(results))
	for i := range results {
		f := results[i].MetricsOf(way)
		out[i] = c.value(&f)
	}
	return out
}

// Plot draws the short requests' 99th percentile and the useful share at the
// crest of each way over the seeds, and writes them to a PNG file.
func Plot(file, name string, results []Result) error {
	p := plot.New()
	p.Title.Text = name + ": 99th percentile of short requests"
	p.X.Label.Text = "seed"
	p.Y.Label.Text = "ms"
	var lines []any
	for _, way := range Strategies {
		points := make(plotter.XYs, len(results))
		for i := range results {
			points[i].X = float64(i + 1)
			points[i].Y = results[i].MetricsOf(way).ShortP99Ms
		}
		lines = append(lines, way, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, file)
}
