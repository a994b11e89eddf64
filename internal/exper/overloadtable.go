package exper

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// RunOverloadSeeds runs the overload experiment on the seeds first, first+1, …,
// with up to parallel runs at a time. The results are in the order of the seeds.
func RunOverloadSeeds(size Size, first uint64, seeds, parallel int) [][]OverloadMetrics {
	return runSeeds(first, seeds, parallel, func(seed uint64) []OverloadMetrics { return RunOverload(size, seed) })
}

// overloadColumn is a column of the table of the overload experiment.
type overloadColumn struct {
	title string
	value func(m *OverloadMetrics) float64
}

// overloadColumns returns the columns.
func overloadColumns() []overloadColumn {
	var out []overloadColumn
	for _, c := range overloadClasses {
		out = append(out, overloadColumn{c.name + " %", func(m *OverloadMetrics) float64 { return 100 * m.ClassInTime[c.name] }})
	}
	for _, k := range callerKinds {
		out = append(out, overloadColumn{k.name + " %", func(m *OverloadMetrics) float64 { return 100 * m.CallerInTime[k.name] }})
	}
	return append(out,
		overloadColumn{"refused %", func(m *OverloadMetrics) float64 { return 100 * m.RefusedRatio }},
		overloadColumn{"p99 ms", func(m *OverloadMetrics) float64 { return m.P99Ms }},
		overloadColumn{"Jain", func(m *OverloadMetrics) float64 { return m.Jain }},
	)
}

// WriteOverloadTable writes the medians and ranges over the seeds as a Markdown
// table.
func WriteOverloadTable(w io.Writer, results [][]OverloadMetrics) {
	fmt.Fprintf(w, "\n### %s\n\n", OverloadName)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	columns := overloadColumns()
	fmt.Fprint(t, "| load\t| policy\t")
	for _, c := range columns {
		fmt.Fprintf(t, "| %s\t", c.title)
	}
	fmt.Fprint(t, "|\n|---\t|---\t")
	for range columns {
		fmt.Fprint(t, "|---\t")
	}
	fmt.Fprintln(t, "|")
	for row := range results[0] {
		fmt.Fprintf(t, "| %g\t| %s\t", results[0][row].Load, results[0][row].Policy)
		for _, c := range columns {
			values := make([]float64, len(results))
			for i := range results {
				values[i] = c.value(&results[i][row])
			}
			fmt.Fprintf(t, "| %s\t", formatValues(values))
		}
		fmt.Fprintln(t, "|")
	}
	t.Flush()
}
