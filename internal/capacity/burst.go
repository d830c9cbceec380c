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

// BurstArgs describe the experiment with rotating bursts at today's size.
type BurstArgs struct {
	BurstTime time.Duration `arg:"--burst-time" default:"10s"`
	Length    time.Duration `arg:"--length" default:"60s"`
	Rate      float64       `arg:"--rate" default:"100" help:"mean requests a second of each service"`
	RunTime   time.Duration `arg:"--run-time" default:"200ms" help:"mean run time of a request"`
	Seed      uint64        `arg:"--seed" default:"1"`
}

// Today's size: three data centres, about 50 targets with 8 slots, a spare pool of about 8, 7 to 9 entry hosts.
const (
	todayDataCentres = 3
	todayEntries     = 3
	todayTargets     = 14
	todaySpare       = 3
	// burstDeadline is longer than the urgent start limit, which decides about urgent requests.
	burstDeadline = 15 * time.Second
)

// variant is one policy under the same demand.
type variant struct {
	name    string
	profile string
	fixed   bool
}

func variants() []variant {
	return []variant{{"fixed pools", "buffer", true}, {"profile buffer", "buffer", false}, {"profile moves", "moves", false}}
}

// RunBurst sends the same rotating bursts to fixed pools and to both profiles, with real processes.
func RunBurst(ctx context.Context, binDir string, args BurstArgs, out, status io.Writer) error {
	arrivals, err := loadgen.Generate(loadgen.Demand{
		Services: services[:5], MeanRate: args.Rate, BurstFactor: 5, IdleFactor: 0.05, BurstTime: args.BurstTime,
		Length: args.Length, RunTime: args.RunTime, Deadline: burstDeadline,
		NonIdempotentShare: 0.2, KeyedShare: 1, Seed: args.Seed,
	})
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "policy\trequests\tdone\tdone %\tnot run\tunknown\tp50\tp99\tmax\tmoves\tviolations")
	for _, v := range variants() {
		fmt.Fprintf(status, "running %s, %d requests\n", v.name, len(arrivals))
		if err := burstRow(ctx, binDir, v, arrivals, t); err != nil {
			return err
		}
	}
	return t.Flush()
}

func burstRow(ctx context.Context, binDir string, v variant, arrivals []loadgen.Arrival, out io.Writer) (err error) {
	dir, err := os.MkdirTemp("", "tamarack-burst-")
	if err != nil {
		return err
	}
	fleet, err := localfleet.Start(ctx, localfleet.Options{
		BinDir: binDir, Dir: dir, DataCentres: dataCentres(todayDataCentres), EntriesPerDC: todayEntries,
		TargetsPerDC: todayTargets, SparePerDC: todaySpare, Services: services[:5], MaxUnavailable: 1,
		ListLag: time.Second, RebootTime: time.Second, Profile: v.profile, FixedPools: v.fixed, LogLevel: "warn",
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close(), os.RemoveAll(dir)) }()
	last, err := fleet.SubmitDeclarations(ctx)
	if err != nil {
		return err
	}
	if err := awaitVersion(ctx, fleet, last); err != nil {
		return err
	}
	// The leaders assign the hosts within seconds after the declaration.
	if err := sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	records := loadgen.NewRunner(loadgen.Options{Entries: fleet.CallerURLs("")}).Run(ctx, arrivals)
	violations, err := loadgen.CheckTargets(ctx, fleet.ControlAddresses(), records)
	if err != nil {
		return err
	}
	moves, err := movesOf(ctx, fleet)
	if err != nil {
		return err
	}
	s := loadgen.Summarize(records)
	done, l := s.Outcomes[structs.OutcomeDone], s.Latency[structs.PriorityUrgent]
	fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%d\t%d\t%s\t%s\t%s\t%.0f\t%d\n", v.name, s.Total, done, 100*float64(done)/float64(s.Total),
		s.Outcomes[structs.OutcomeNotRun], s.Outcomes[structs.OutcomeUnknown],
		l.P50.Round(time.Millisecond), l.P99.Round(time.Millisecond), l.Max.Round(time.Millisecond), moves, violations.Total())
	return nil
}

// movesOf adds up the moves that all leaders began.
func movesOf(ctx context.Context, fleet *localfleet.Fleet) (float64, error) {
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
