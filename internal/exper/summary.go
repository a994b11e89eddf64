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

// Strategies lists the strategies in the order of the rows of tables.
var Strategies = []string{"lagoonramp", "roundRobin", "hash", "fifo"}

// MetricsOf returns the measurements of a strategy.
func (r *Result) MetricsOf(strategy string) Metrics {
	if strategy == "lagoonramp" {
		return r.Lagoonramp
	}
	return r.Baselines[strategy]
}

// RunSeeds runs an experiment on the seeds first, first+1, …, with up to parallel
// runs at a time. The results are in the order of the seeds.
func RunSeeds(name string, size Size, first uint64, seeds, parallel int) []Result {
	return runSeeds(first, seeds, parallel, func(seed uint64) Result { return Run(name, size, seed) })
}

// runSeeds calls run for the seeds first, first+1, …, with up to parallel calls at
// a time. The results are in the order of the seeds.
func runSeeds[T any](first uint64, seeds, parallel int, run func(seed uint64) T) []T {
	out := make([]T, seeds)
	semaphore := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			out[i] = run(first + uint64(i))
		}()
	}
	wg.Wait()
	return out
}

// column is a column of the summary table.
type column struct {
	title string
	value func(m *Metrics) float64
}

// percent returns count as a percentage of total, or 0 if total is 0.
func percent(count, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(count) / float64(total)
}

var summaryColumns = []column{
	{"broken planned", func(m *Metrics) float64 { return float64(m.BrokenFlowsPlanned) }},
	{"broken crash %", func(m *Metrics) float64 { return percent(m.BrokenFlowsCrash, m.FlowsOnCrashedHost) }},
	{"imbalance", func(m *Metrics) float64 { return m.Imbalance }},
	{"useful at crest %", func(m *Metrics) float64 { return 100 * m.PeakGoodputRatio }},
	{"started too late", func(m *Metrics) float64 { return float64(m.StartedTooLate) }},
	{"answered %", func(m *Metrics) float64 { return 100 * m.OffPeakAnsweredRatio }},
	{"short p99 ms", func(m *Metrics) float64 { return m.ShortP99Ms }},
	{"alone ms", func(m *Metrics) float64 { return m.ShortOnlyP99Ms }},
	{"doubled", func(m *Metrics) float64 { return float64(m.Duplicated) }},
	{"lost", func(m *Metrics) float64 { return float64(m.AnsweredWithoutRun) }},
	{"false not run", func(m *Metrics) float64 { return float64(m.FalseNotRun) }},
	{"silent found", func(m *Metrics) float64 { return float64(m.BlackholesDetected) }},
	{"after s", func(m *Metrics) float64 { return m.MaxDetectionSeconds }},
	{"false alarms", func(m *Metrics) float64 { return float64(m.FalseAlarms) }},
}

// medianAndRange returns the median, the minimum and the maximum of values.
func medianAndRange(values []float64) (median, low, high float64) {
	v := slices.Clone(values)
	slices.Sort(v)
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2, v[0], v[n-1]
}

// formatValues returns the median of values, and their range if they differ.
func formatValues(values []float64) string {
	median, low, high := medianAndRange(values)
	if low == high {
		return fmt.Sprintf("%.4g", median)
	}
	return fmt.Sprintf("%.4g (%.4g–%.4g)", median, low, high)
}

// WriteTable writes the medians and ranges of an experiment's results as a
// Markdown table.
func WriteTable(w io.Writer, name string, results []Result) {
	fmt.Fprintf(w, "\n### %s\n\n", name)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(t, "| way\t")
	for _, c := range summaryColumns {
		fmt.Fprintf(t, "| %s\t", c.title)
	}
	fmt.Fprint(t, "|\n|---\t")
	for range summaryColumns {
		fmt.Fprint(t, "|---\t")
	}
	fmt.Fprintln(t, "|")
	for _, strategy := range Strategies {
		fmt.Fprintf(t, "| %s\t", strategy)
		for _, c := range summaryColumns {
			fmt.Fprintf(t, "| %s\t", formatValues(columnValues(results, strategy, c)))
		}
		fmt.Fprintln(t, "|")
	}
	t.Flush()
}

// columnValues returns the value of a column for each result.
func columnValues(results []Result, strategy string, c column) []float64 {
	out := make([]float64, len(results))
	for i := range results {
		m := results[i].MetricsOf(strategy)
		out[i] = c.value(&m)
	}
	return out
}

// Plot draws the 99th percentile latency of short requests over the results, one
// line for each strategy, and writes the chart to a PNG file.
func Plot(file, name string, results []Result) error {
	p := plot.New()
	p.Title.Text = name + ": 99th percentile of short requests"
	p.X.Label.Text = "seed"
	p.Y.Label.Text = "ms"
	var lines []any
	for _, strategy := range Strategies {
		points := make(plotter.XYs, len(results))
		for i := range results {
			points[i].X = float64(i + 1)
			points[i].Y = results[i].MetricsOf(strategy).ShortP99Ms
		}
		lines = append(lines, strategy, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, file)
}
