// Command tamarack-replay generates traces of load and faults, replays them under several policies, and prints tables
// or plots of the results.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/replay"
)

type generateArgs struct {
	Scenario string        `arg:"--scenario,required" help:"steady, rotating, rackloss, wave, outage, wrong or cancel"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the random numbers"`
	Duration time.Duration `arg:"--duration" default:"50s" help:"length of the trace"`
	Services int           `arg:"--services" default:"5" help:"number of services"`
	Hosts    int           `arg:"--hosts" default:"4" help:"hosts in each pool"`
	Spare    int           `arg:"--spare" default:"4" help:"hosts in the spare pool"`
	Burst    time.Duration `arg:"--burst" default:"10s" help:"how long each service bursts"`
	Out      string        `arg:"--out" help:"file to write; standard output if empty"`
}

type runArgs struct {
	Policies []string `arg:"--policy,separate" help:"policy to replay; all if not given"`
	Traces   []string `arg:"positional,required" help:"trace files"`
}

type plotArgs struct {
	Trace string `arg:"positional,required" help:"trace file"`
	Out   string `arg:"--out" default:"docs/plots" help:"directory of the plots"`
}

type args struct {
	Generate *generateArgs `arg:"subcommand:generate" help:"make a trace"`
	Run      *runArgs      `arg:"subcommand:run" help:"replay policies over traces and print a table for each"`
	Plot     *plotArgs     `arg:"subcommand:plot" help:"plot burst, buffer and moves of the policies over a trace"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Generate != nil:
		err = generateTrace(a.Generate)
	case a.Run != nil:
		err = replayPolicies(a.Run)
	case a.Plot != nil:
		err = plotFigures(a.Plot)
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "tamarack-replay:", err)
		os.Exit(1)
	}
}

// generateTrace writes a trace to a file or to standard output.
func generateTrace(a *generateArgs) error {
	trace, err := replay.Generate(replay.GenerateOptions{
		Scenario: a.Scenario, Seed: a.Seed, Duration: a.Duration, Services: a.Services, HostsPerPool: a.Hosts,
		SpareHosts: a.Spare, BurstTime: a.Burst,
	})
	if err != nil {
		return err
	}
	if a.Out == "" {
		return trace.Write(os.Stdout)
	}
	f, err := os.Create(a.Out)
	if err != nil {
		return errors.Wrap(err, "create trace file")
	}
	return errors.Join(trace.Write(f), f.Close())
}

// readTrace reads a trace from a file.
func readTrace(path string) (*replay.Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer f.Close()
	return replay.Read(f)
}

// replayPolicies replays each trace under the policies and prints a table for each trace.
func replayPolicies(a *runArgs) error {
	policies, err := selectPolicies(a.Policies)
	if err != nil {
		return err
	}
	for _, path := range a.Traces {
		trace, err := readTrace(path)
		if err != nil {
			return err
		}
		if err := replay.WriteTable(os.Stdout, replay.Compare(trace, policies)); err != nil {
			return err
		}
		fmt.Println()
	}
	return nil
}

// selectPolicies returns the policies with the names, or all if names is empty.
func selectPolicies(names []string) ([]replay.Policy, error) {
	all := replay.Policies()
	if len(names) == 0 {
		return all, nil
	}
	var policies []replay.Policy
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.Name == name {
				policies, found = append(policies, p), true
			}
		}
		if !found {
			return nil, errors.Errorf("unknown policy %q", name)
		}
	}
	return policies, nil
}
