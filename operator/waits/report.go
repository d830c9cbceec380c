package waits

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// report sums the jobs by window and queue, and completes the usage of the pools up to the last line. A job counts in the window in
// which it was first accepted, or rejected if it never was accepted.
func (r *logReader) report(opts Options) *Report {
	begin, end := r.lines[0].Timestamp, r.lines[len(r.lines)-1].Timestamp
	windows, queues := make(map[int64]*JobStats), make(map[string]*JobStats)
	for _, j := range r.jobs {
		submittedAt := j.acceptedAt
		if submittedAt.IsZero() {
			submittedAt = j.rejectedAt
		}
		if submittedAt.IsZero() {
			// The line about its submission is in a log that was not given.
			continue
		}
		index := int64(submittedAt.Sub(begin) / opts.Window)
		if windows[index] == nil {
			windows[index] = &JobStats{Waits: make(map[string]int64)}
		}
		if queues[j.queue] == nil {
			queues[j.queue] = &JobStats{Queue: j.queue, Waits: make(map[string]int64)}
		}
		windows[index].add(j)
		queues[j.queue].add(j)
	}
	report := &Report{Orders: r.orders, Skipped: r.skipped, Dropped: r.dropped}
	for _, index := range slices.Sorted(maps.Keys(windows)) {
		report.Windows = append(report.Windows, Window{begin.Add(time.Duration(index) * opts.Window), *windows[index]})
	}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		report.Queues = append(report.Queues, *queues[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		usage := r.pools[name]
		usage.add(end.Sub(usage.lastLine.Timestamp))
		report.Pools = append(report.Pools, usage.PoolUsage)
	}
	return report
}

// add counts a job and, unless it was on time, cancelled, rejected or has not ended, adds its waits.
func (g *JobStats) add(j *job) {
	if j.acceptedAt.IsZero() {
		g.Rejected++
		return
	}
	g.Accepted++
	if j.endLine == nil {
		g.Open++
		return
	}
	tookMS, objectiveMS := j.endLine.intField("took_ms"), j.endLine.intField("objective_ms")
	switch {
	case j.endLine.Message == "job cancelled":
		g.Cancelled++
		return
	case j.endLine.Message == "job failed":
		g.Failed++
	case tookMS <= objectiveMS:
		g.OnTime++
		return
	case tookMS <= expiredFactor*objectiveMS:
		g.Late++
	default:
		g.Expired++
	}
	for name := range j.endLine.Fields {
		if cause, ok := strings.CutPrefix(name, "wait_"); ok {
			g.Waits[strings.TrimSuffix(cause, "_ms")] += j.endLine.intField(name)
		}
	}
	g.Waits["start"] += j.endLine.intField("slowest_start_ms")
	g.Waits["retries"] += j.endLine.intField("retries")
}

// waitCauses returns the causes of waits in any of the groups, that with the largest sum first.
func waitCauses(groups []JobStats) []string {
	sums := make(map[string]int64)
	for _, g := range groups {
		for cause, ms := range g.Waits {
			sums[cause] += ms
		}
	}
	delete(sums, "retries")
	names := slices.Collect(maps.Keys(sums))
	sort.Slice(names, func(a, b int) bool {
		return sums[names[a]] > sums[names[b]] || (sums[names[a]] == sums[names[b]] && names[a] < names[b])
	})
	return names
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as tables. Waits are in seconds, summed over the jobs that were late or expired or that failed.
func (r *Report) WriteTable(w io.Writer) error {
	windows := make([]JobStats, len(r.Windows))
	for i := range r.Windows {
		windows[i] = r.Windows[i].JobStats
		windows[i].Queue = r.Windows[i].Start.Format("15:04:05.000")
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeStats(out, "window", windows)
	writeStats(out, "queue", r.Queues)
	fmt.Fprintln(out, "pool\tbusy s\tidle s\tcoming s\tupkeep s\tstandby s")
	for _, p := range r.Pools {
		fmt.Fprintf(out, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", p.Pool, p.Busy, p.Idle, p.Arriving, p.Maintenance, p.Standby)
	}
	fmt.Fprintf(out, "\nmoves: %d out of standby, %d back, %d of them reversed within %s; %d between pools; %d upkeeps\n",
		r.Orders.FromStandby, r.Orders.ToStandby, r.Orders.Reversed, MaxReversalTime, r.Orders.BetweenPools, r.Orders.Maintenance)
	fmt.Fprintf(out, "not seen: %d lines that cannot be read, %d that were dropped\n", r.Skipped, r.Dropped)
	return out.Flush()
}

// writeStats writes a table with a row for each group and a column for each cause of waits.
func writeStats(out io.Writer, title string, groups []JobStats) {
	names := waitCauses(groups)
	fmt.Fprintf(out, "%s\taccepted\ton time\tlate\texpired\tfailed\trejected\topen\tretries", title)
	for _, name := range names {
		fmt.Fprintf(out, "\t%s s", name)
	}
	fmt.Fprintln(out)
	for _, g := range groups {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", g.Queue, g.Accepted, g.OnTime, g.Late, g.Expired, g.Failed, g.Rejected, g.Open, g.Waits["retries"])
		for _, name := range names {
			fmt.Fprintf(out, "\t%.1f", float64(g.Waits[name])/1000)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out)
}
