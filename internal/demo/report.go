package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the results of a run.
type Report struct {
	BrokenFlowsPlanned int `json:"brokenFlowsPlanned"`
	BrokenFlowsCrash   int `json:"brokenFlowsCrash"`
	CrossService       int `json:"crossService"`
	// WrongAnswers counts the answers that belong to another flow or request. A
	// run of RunMarked adds the forged packets that servers received.
	WrongAnswers      int `json:"wrongAnswers"`
	LostRegistrations int `json:"lostRegistrations"`
	// DoubledRegistrations counts the registrations that servers ran more than
	// once, or, in a run of RunMarked, all requests that they ran more than once.
	DoubledRegistrations int `json:"doubledRegistrations"`
	RanThoughNotRun      int `json:"ranThoughNotRun"`
	NewAfterDrain        int `json:"newAfterDrain"`
	// Imbalance is the highest load of an entry-desk server over the mean. The
	// load is the time in use of the server's slots, or, in a run of RunMarked,
	// the number of its answers.
	Imbalance      float64 `json:"imbalance"`
	ShortP50Ms     float64 `json:"shortP50Ms"`
	ShortP99Ms     float64 `json:"shortP99Ms"`
	LongP50Ms      float64 `json:"longP50Ms"`
	LongP99Ms      float64 `json:"longP99Ms"`
	InForceSeconds float64 `json:"inForceSeconds"`
	// InForce holds the seconds until the edit was in force on each host, by name.
	InForce       map[string]float64 `json:"inForce"`
	Flows         int                `json:"flows"`
	Requests      int                `json:"requests"`
	Registrations int                `json:"registrations"`
	Answered      int                `json:"answered"`
	NotRun        int                `json:"notRun"`
	Unknown       int                `json:"unknown"`
	// UnknownCauses counts the requests with unknown outcome, by cause.
	UnknownCauses map[string]int `json:"doubts,omitempty"`
	// Breaks describes each broken flow: the time and the reason.
	Breaks []string `json:"breaks,omitempty"`
	// OpenAtKill is the number of flows and connections that were open on all
	// hosts when one of them was killed.
	OpenAtKill int `json:"openAtKill"`
}

// Violations describes the guarantees that the run violated.
func (r *Report) Violations() []string {
	var out []string
	for _, c := range []struct {
		what  string
		count int
	}{
		{"flows broken by planned change", r.BrokenFlowsPlanned},
		{"packets that crossed services", r.CrossService},
		{"answers to another request", r.WrongAnswers},
		{"lost registrations", r.LostRegistrations},
		{"doubled registrations", r.DoubledRegistrations},
		{"requests that ran though told not run", r.RanThoughNotRun},
		{"new flows at a server that drains", r.NewAfterDrain},
	} {
		if c.count > 0 {
			out = append(out, fmt.Sprintf("%d %s", c.count, c.what))
		}
	}
	if r.InForceSeconds < 0 {
		out = append(out, "the edit was not in force on every host")
	}
	if r.Flows == 0 || r.Answered == 0 {
		out = append(out, "no traffic was served")
	}
	return out
}

// Write writes the report as a table.
func (r *Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("flows and connections", r.Flows)
	row("broken by planned change", r.BrokenFlowsPlanned)
	row("broken by the crash", fmt.Sprintf("%d of %d open", r.BrokenFlowsCrash, r.OpenAtKill))
	for _, b := range r.Breaks {
		row("", b)
	}
	row("packets across services", r.CrossService)
	row("answers not one's own", r.WrongAnswers)
	row("requests", r.Requests)
	row("answered / not run / unknown", fmt.Sprintf("%d / %d / %d", r.Answered, r.NotRun, r.Unknown))
	for why, n := range r.UnknownCauses {
		row("", fmt.Sprintf("%d unknown: %s", n, why))
	}
	row("registrations lost / doubled", fmt.Sprintf("%d / %d of %d", r.LostRegistrations, r.DoubledRegistrations, r.Registrations))
	row("ran though told not run", r.RanThoughNotRun)
	row("new flows at the draining server", r.NewAfterDrain)
	row("imbalance (max over mean)", fmt.Sprintf("%.2f", r.Imbalance))
	row("short requests p50 / p99", fmt.Sprintf("%.1f / %.1f ms", r.ShortP50Ms, r.ShortP99Ms))
	row("long requests p50 / p99", fmt.Sprintf("%.1f / %.1f ms", r.LongP50Ms, r.LongP99Ms))
	row("edit in force everywhere after", fmt.Sprintf("%.2f s", r.InForceSeconds))
}
