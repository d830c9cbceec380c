package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Row is the result of one policy on a trace, with the bound of the trace.
type Row struct {
	Result
	Bound Bound
}

// Compare replays a trace under each of the policies.
func Compare(t *Trace, policies []Policy) []Row {
	bound := ClairvoyantBound(t)
	rows := make([]Row, 0, len(policies))
	for _, p := range policies {
		rows = append(rows, Row{Result: Run(t, p, nil), Bound: bound})
	}
	return rows
}

// WriteTable prints the rows of one trace as a text table: one line for each policy and one for the bound. Column P1 is
// BudgetViolations, column P2 WrongPoolStarts.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trace\tpolicy\thosts\turgent\ton time %\trejected\tlate\tcancelled\tbatch\tdone\trefused\tfailed\tbuffer %\tto bound\tmoves\tto bound\tmaintained\tP1\tP2\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s\t%d\t%s\t%d\t%d\t%d\t\n",
			r.Scenario, r.Policy, r.Hosts, r.Urgent, 100*r.OnTimeShare(), r.Rejected, r.Late, r.Cancelled,
			r.Batch, r.BatchDone, r.BatchRefused, r.BatchFailed, 100*r.BufferCost(), ratio(r.BufferMS, r.Bound.BufferMS),
			r.Moves, ratio(float64(r.Moves), float64(r.Bound.Moves)), r.Maintained, r.BudgetViolations, r.WrongPoolStarts)
	}
	if len(rows) > 0 {
		r := rows[0]
		fmt.Fprintf(t, "%s\tbound\t%d\t%d\t%.3f\t\t\t\t\t\t\t\t%.2f\t\t%d\t\t\t\t\t\n", r.Scenario, r.Hosts, r.Urgent,
			100*min(1, float64(r.Bound.OnTime)/float64(r.Urgent)), 100*r.Bound.BufferMS/r.HostMS, r.Bound.Moves)
	}
	return t.Flush()
}

// ratio formats a figure as a multiple of its bound, or as a dash if the bound is 0.
func ratio(x, bound float64) string {
	if bound == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", x/bound)
}
