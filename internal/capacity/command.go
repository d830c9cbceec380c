package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Args is the command line of tamarack-capacity.
type Args struct {
	Cost   *CostArgs  `arg:"subcommand:cost" help:"measure what the control plane costs at several sizes"`
	Burst  *BurstArgs `arg:"subcommand:burst" help:"rotating bursts at today's size, fixed pools against both profiles"`
	BinDir string     `arg:"--bin-dir" help:"directory of the programs; default: that of this program"`
}

// CostArgs holds the arguments of the cost measurement.
type CostArgs struct {
	Settle time.Duration `arg:"--settle" default:"8s" help:"time between the start and the measurement"`
	Window time.Duration `arg:"--window" default:"20s" help:"measured time of each size"`
	Only   string        `arg:"--only" help:"measure one series: hosts, teams, entries, data-centres or changes"`
	JSON   bool          `arg:"--json" help:"print one JSON line for each size"`
}

// series is a list of sizes that differ in one dimension.
type series struct {
	name  string
	sizes []Size
}

// allSeries returns the series to measure. The largest size has 64 entry hosts, so that the machine is not overloaded.
func allSeries() []series {
	return []series{
		{"hosts", []Size{
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10},
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 200, Teams: 10},
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 750, Teams: 10},
		}},
		{"teams", []Size{
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10},
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 50, Teams: 340},
		}},
		{"entries", []Size{
			{DataCentres: 1, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10},
			{DataCentres: 1, EntriesPerDC: 4, HostsPerDC: 50, Teams: 10},
			{DataCentres: 1, EntriesPerDC: 8, HostsPerDC: 50, Teams: 10},
		}},
		{"data-centres", []Size{
			{DataCentres: 2, EntriesPerDC: 2, HostsPerDC: 47, Teams: 10},
			{DataCentres: 8, EntriesPerDC: 2, HostsPerDC: 47, Teams: 10},
			{DataCentres: 32, EntriesPerDC: 2, HostsPerDC: 47, Teams: 10},
		}},
		{"changes", []Size{
			{DataCentres: 4, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10, ChangesPerSecond: 0.5},
			{DataCentres: 4, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10, ChangesPerSecond: 2},
			{DataCentres: 4, EntriesPerDC: 2, HostsPerDC: 50, Teams: 10, ChangesPerSecond: 5},
		}},
	}
}

// Run runs the subcommand in args. It writes results to out and progress to status.
func Run(ctx context.Context, args Args, out, status io.Writer) error {
	if args.Burst != nil {
		return RunBurst(ctx, args.BinDir, *args.Burst, out, status)
	}
	return runCost(ctx, args.BinDir, *args.Cost, out, status)
}

// runCost measures the sizes of all series, or of the one in args.Only, and prints a table or a JSON line for each
// size.
func runCost(ctx context.Context, binDir string, args CostArgs, out, status io.Writer) error {
	opts := Options{BinDir: binDir, Settle: args.Settle, Window: args.Window}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "series\tDCs\tentries\thosts\tteams\tchanges/s\tCPU mean %\tCPU max %\tRSS max MB\theap MB\tpeer B/s mean\tpeer B/s max\tplatform B/s mean\tplatform B/s max\treads/s\twrites/s\trollout max")
	for _, s := range allSeries() {
		if args.Only != "" && args.Only != s.name {
			continue
		}
		for _, size := range s.sizes {
			fmt.Fprintf(status, "measuring %s %+v\n", s.name, size)
			r, err := Measure(ctx, opts, size)
			if err != nil {
				return err
			}
			if args.JSON {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return err
				}
				continue
			}
			r.writeRow(table, s.name)
		}
	}
	return table.Flush()
}

// bytesPerMB is decimal, like the memory objective of 128 MB.
const bytesPerMB = 1e6

// writeRow writes the result as a row of the table, with CPU in per cent and memory in MB.
func (r Result) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%g\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%s\n",
		name, r.DataCentres, r.EntriesPerDC, r.HostsPerDC, r.Teams, r.ChangesPerSecond, 100*r.CPUMean, 100*r.CPUMax,
		r.MemoryMax/bytesPerMB, r.HeapMax/bytesPerMB, r.PeerMean, r.PeerMax, r.PlatformMean, r.PlatformMax,
		r.ReadsPerSecond, r.WritesPerSecond, r.RolloutMax.Round(time.Millisecond))
}
