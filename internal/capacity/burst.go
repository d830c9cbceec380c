package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/structs"
)

// BurstArgs holds the arguments of the experiment with rotating bursts at the size of the current fleets.
type BurstArgs struct {
	BurstTime time.Duration `arg:"--burst-time" default:"10s"`
	Length    time.Duration `arg:"--length" default:"60s"`
	Rate      float64       `arg:"--rate" default:"100" help:"mean requests a second of each service"`
	RunTime   time.Duration `arg:"--run-time" default:"200ms" help:"mean run time of a request"`
	Seed      uint64        `arg:"--seed" default:"1"`
}

// The size of the current fleets, "today's size" in the help text: three data centres, about 50 targets with 8 slots, a
// spare pool of about 8, 7 to 9 entry hosts.
const (
	currentDataCentres  = 3
	currentEntriesPerDC = 3
	currentTargetsPerDC = 14
	currentSparePerDC   = 3
	// burstDeadline is the deadline of the requests. It is longer than the urgent start limit, so that the limit and
	// not the deadline decides which urgent requests are rejected.
	burstDeadline = 15 * time.Second
)

// policyVariant is one of the policies that are compared under the same demand.
type policyVariant struct {
	name       string
	profile    string
	fixedPools bool
}

func policyVariants() []policyVariant {
	return []policyVariant{{"fixed pools", "buffer", true}, {"profile buffer", "buffer", false}, {"profile moves", "moves", false}}
}

// RunBurst sends the same rotating bursts to fleets with fixed pools and with each of the two policy profiles, and
// prints a table with a row for each. The fleets run as processes on loopback.
func RunBurst(ctx context.Context, binDir string, args BurstArgs, out, status io.Writer) error {
	arrivals, err := loadgen.Generate(loadgen.Demand{
		Services: services[:5], MeanRate: args.Rate, BurstFactor: 5, IdleFactor: 0.05, BurstTime: args.BurstTime,
		Length: args.Length, RunTime: args.RunTime, Deadline: burstDeadline,
		NonIdempotentShare: 0.2, KeyedShare: 1, Seed: args.Seed,
	})
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\trequests\tdone\tdone %\tnot run\tunknown\tp50\tp99\tmax\tmoves\tviolations")
	for _, v := range policyVariants() {
		fmt.Fprintf(status, "running %s, %d requests\n", v.name, len(arrivals))
		if err := runVariant(ctx, binDir, v, arrivals, table); err != nil {
			return err
		}
	}
	return table.Flush()
}

// runVariant starts a fleet with the policy, sends the arrivals and writes a row of the table.
func runVariant(ctx context.Context, binDir string, v policyVariant, arrivals []loadgen.Arrival, out io.Writer) (err error) {
	dir, err := os.MkdirTemp("", "tamarack-burst-")
	if err != nil {
		return err
	}
	fleet, err := localfleet.Start(ctx, localfleet.Options{
		BinDir: binDir, Dir: dir, DataCentres: dataCentres(currentDataCentres), EntriesPerDC: currentEntriesPerDC,
		TargetsPerDC: currentTargetsPerDC, SparePerDC: currentSparePerDC, Services: services[:5], MaxUnavailable: 1,
		ListLag: time.Second, RebootTime: time.Second, Profile: v.profile, FixedPools: v.fixedPools, LogLevel: "warn",
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close(), os.RemoveAll(dir)) }()
	last, err := fleet.SubmitDeclarations(ctx)
	if err != nil {
		return err
	}
	if err := awaitFleetVersion(ctx, fleet, last); err != nil {
		return err
	}
	// The leaders assign the hosts to their pools within seconds after the declarations are in effect.
	if err := sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	records := loadgen.NewRunner(loadgen.Options{Entries: fleet.CallerURLs("")}).Run(ctx, arrivals)
	violations, err := loadgen.CheckTargets(ctx, fleet.ControlAddresses(), records)
	if err != nil {
		return err
	}
	moves, err := totalMoves(ctx, fleet)
	if err != nil {
		return err
	}
	summary := loadgen.Summarize(records)
	done, latency := summary.Outcomes[structs.OutcomeDone], summary.Latency[structs.PriorityUrgent]
	fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%d\t%d\t%s\t%s\t%s\t%.0f\t%d\n", v.name, summary.Total, done, 100*float64(done)/float64(summary.Total),
		summary.Outcomes[structs.OutcomeNotRun], summary.Outcomes[structs.OutcomeUnknown],
		latency.P50.Round(time.Millisecond), latency.P99.Round(time.Millisecond), latency.Max.Round(time.Millisecond), moves, violations.Total())
	return nil
}

// totalMoves returns the number of moves that all leaders have begun.
func totalMoves(ctx context.Context, fleet *localfleet.Fleet) (float64, error) {
	total := 0.0
	for _, e := range fleet.Entries {
		s, err := scrape(ctx, e)
		if err != nil {
			return 0, err
		}
		total += s.moves
	}
	return total, nil
}
