package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/security"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
)

// ErrViolated means that outcomes reported to callers contradict the executions of the targets.
var ErrViolated = errors.New("loadgen: outcomes contradict the executions of the targets")

// Args is the command line of tamarack-load.
type Args struct {
	Generate *GenerateArgs `arg:"subcommand:generate" help:"write a trace of rotating bursts"`
	Run      *RunArgs      `arg:"subcommand:run" help:"send a trace to entry hosts and check the outcomes"`
}

// GenerateArgs are the arguments of the subcommand generate. They describe a Demand.
type GenerateArgs struct {
	Services      []string      `arg:"--service,separate,required" help:"service that bursts in turn; repeat the flag"`
	Rate          float64       `arg:"--rate" default:"50" help:"mean requests a second of each service"`
	Burst         float64       `arg:"--burst" default:"5" help:"factor of the mean rate during a burst"`
	Idle          float64       `arg:"--idle" default:"0.05" help:"factor of the mean rate between bursts"`
	BurstTime     time.Duration `arg:"--burst-time" default:"5s"`
	Length        time.Duration `arg:"--length" default:"30s"`
	RunTime       time.Duration `arg:"--run-time" default:"20ms" help:"mean run time of a request"`
	Deadline      time.Duration `arg:"--deadline" default:"5s"`
	Batch         float64       `arg:"--batch" default:"0.2" help:"share of batch requests"`
	NonIdempotent float64       `arg:"--non-idempotent" default:"0.2" help:"share of non-idempotent requests"`
	Keyed         float64       `arg:"--keyed" default:"0.9" help:"share of non-idempotent requests with a key"`
	Seed          uint64        `arg:"--seed" default:"1"`
	Out           string        `arg:"--out,required" help:"file for the trace (JSON lines)"`
}

// RunArgs are the arguments of the subcommand run.
type RunArgs struct {
	Trace     string   `arg:"positional,required" help:"trace to send (JSON lines)"`
	Entries   []string `arg:"--entry,separate,required" help:"base URL of a caller API; repeat the flag"`
	Controls  []string `arg:"--target-control,separate" help:"control address of a fake target, to check executions"`
	TokenFile string   `arg:"--token-file" help:"credential of the caller"`
	Repeat    bool     `arg:"--repeat" help:"repeat requests that may be repeated, as the answer says"`
	Record    string   `arg:"--record" help:"file for the outcome of each request (JSON lines)"`
	JSON      bool     `arg:"--json" help:"print the summary as JSON"`
}

// Command runs the subcommand in args. It writes results to out and progress to status. A run whose outcomes contradict
// the executions of the targets returns ErrViolated.
func Command(ctx context.Context, args Args, out, status io.Writer) error {
	if args.Generate != nil {
		return generateTrace(*args.Generate, status)
	}
	return runTrace(ctx, *args.Run, out, status)
}

func generateTrace(a GenerateArgs, status io.Writer) error {
	arrivals, err := Generate(Demand{
		Services: a.Services, MeanRate: a.Rate, BurstFactor: a.Burst, IdleFactor: a.Idle,
		BurstTime: a.BurstTime, Length: a.Length, RunTime: a.RunTime, Deadline: a.Deadline,
		BatchShare: a.Batch, NonIdempotentShare: a.NonIdempotent, KeyedShare: a.Keyed, Seed: a.Seed,
	})
	if err != nil {
		return err
	}
	err = writeFile(a.Out, func(w io.Writer) error { return WriteTrace(w, arrivals) })
	if err != nil {
		return err
	}
	fmt.Fprintf(status, "%d arrivals written to %s\n", len(arrivals), a.Out)
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// runTrace sends a trace, stores the records if a file is given, and reports the results.
func runTrace(ctx context.Context, a RunArgs, out, status io.Writer) error {
	file, err := os.Open(a.Trace)
	if err != nil {
		return err
	}
	defer file.Close()
	arrivals, err := ReadTrace(file)
	if err != nil {
		return err
	}
	token, err := security.Token(a.TokenFile)
	if err != nil {
		return err
	}
	runner := NewRunner(Options{
		Entries: a.Entries, Token: token, Repeat: a.Repeat,
		Progress: func(finished, total int) { fmt.Fprintf(status, "finished %d of %d\n", finished, total) },
	})
	records := runner.Run(ctx, arrivals)
	if a.Record != "" {
		if err := writeFile(a.Record, func(w io.Writer) error { return writeRecords(w, records) }); err != nil {
			return err
		}
	}
	return reportResults(ctx, a, records, out)
}

func writeRecords(w io.Writer, records []Record) error {
	encoder := json.NewEncoder(w)
	for _, rec := range records {
		if err := encoder.Encode(rec); err != nil {
			return err
		}
	}
	return nil
}

// reportResults prints the summary and, if control addresses are given, checks the outcomes.
func reportResults(ctx context.Context, a RunArgs, records []Record, out io.Writer) error {
	summary := Summarize(records)
	if a.JSON {
		if err := json.NewEncoder(out).Encode(summary); err != nil {
			return err
		}
	} else if err := summary.Print(out); err != nil {
		return err
	}
	if len(a.Controls) == 0 {
		return nil
	}
	v, err := CheckTargets(ctx, a.Controls, records)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "violations: %+v\n", v)
	if v.Total() > 0 {
		return errors.Wrapf(ErrViolated, "%d", v.Total())
	}
	return nil
}

// CheckTargets reads the executions of all targets from their control addresses and checks the records against them.
func CheckTargets(ctx context.Context, controls []string, records []Record) (Violations, error) {
	var all []targetserver.Execution
	for _, control := range controls {
		executions, err := Executions(ctx, control)
		if err != nil {
			return Violations{}, err
		}
		all = append(all, executions...)
	}
	return Check(records, all), nil
}
