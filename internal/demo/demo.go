// Package demo implements the demonstration of `make demo`. It runs a small fleet on loopback under load, kills an
// entry host, drains a target and runs a maintenance wave meanwhile, and prints a table of outcomes: whether any
// request or job was lost, executed twice or reported wrongly.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrOutcome means that at least one outcome was wrong, or that a command of the demonstration failed.
var ErrOutcome = errors.New("demo: wrong outcome")

// Args is the command line of tamarack-demo.
type Args struct {
	BinDir string `arg:"--bin-dir" help:"directory of the programs; default: that of this program"`
	Keep   bool   `arg:"--keep" help:"keep the directory with settings and logs"`
	Seed   uint64 `arg:"--seed" default:"1"`
}

const (
	// totalTimeout bounds the whole demonstration.
	totalTimeout = 55 * time.Second
	// loadLength is how long requests arrive.
	loadLength = 12 * time.Second
	// killAfter is the time from the start of the load until an entry host is killed.
	killAfter = 4 * time.Second
	// drainAfter is the time from the start of the load until a target is drained.
	drainAfter = 5 * time.Second
	// drainBound is how long a draining target may receive new work after the ticket was accepted.
	drainBound = 3 * time.Second
	// jobCount is the number of long jobs that must succeed.
	jobCount = 4
	// jobRunTime is the actual run time of each long job; the jobs declare a shorter one.
	jobRunTime = 3 * time.Second
)

var services = []string{"match", "reserve"}

// demonstration is the state of one run.
type demonstration struct {
	fleet   *localfleet.Fleet
	out     io.Writer
	checks  []outcomeCheck
	drained drainedTarget
}

// outcomeCheck is one line of the table of outcomes.
type outcomeCheck struct {
	name   string
	result string
	ok     bool
}

// Run runs the demonstration and prints the table of outcomes. It ends every process that it started. The directory
// with settings and logs is kept after a wrong outcome or an error.
func Run(ctx context.Context, args Args, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "tamarack-demo-")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "settings and logs:", dir)
	fleet, err := localfleet.Start(ctx, localfleet.Options{
		BinDir: args.BinDir, Dir: dir, DataCentres: []string{"dc1", "dc2"}, EntriesPerDC: 2,
		TargetsPerDC: 4, SparePerDC: 2, Services: services, MaxUnavailable: 1,
		ListLag: 500 * time.Millisecond, RebootTime: time.Second,
	})
	if err != nil {
		return err
	}
	d := &demonstration{fleet: fleet, out: out}
	err = d.runSteps(ctx, args.Seed)
	d.stopFleet()
	printed := d.print()
	if err == nil && printed == nil && !args.Keep {
		return os.RemoveAll(dir)
	}
	return errors.Join(err, printed)
}

// runSteps declares the fleet, submits long jobs, sends the load, and checks the outcomes of requests, wave and jobs.
func (d *demonstration) runSteps(ctx context.Context, seed uint64) error {
	if err := d.declareFleet(ctx); err != nil {
		return err
	}
	jobs, err := d.submitJobs(ctx)
	if err != nil {
		return err
	}
	records, err := d.runLoad(ctx, seed)
	if err != nil {
		return err
	}
	if err := d.checkOutcomes(ctx, records); err != nil {
		return err
	}
	if err := d.checkWave(ctx); err != nil {
		return err
	}
	return d.awaitJobs(ctx, jobs)
}

// addCheck adds a line to the table of outcomes.
func (d *demonstration) addCheck(name string, ok bool, format string, args ...any) {
	d.checks = append(d.checks, outcomeCheck{name: name, ok: ok, result: fmt.Sprintf(format, args...)})
}

// declareFleet submits the declarations of the fleet as a ticket, and waits until it is in effect on all entry hosts.
func (d *demonstration) declareFleet(ctx context.Context) error {
	path, err := d.fleet.WriteDeclarations()
	if err != nil {
		return err
	}
	start := time.Now()
	stdout, stderr, code, err := d.fleet.RunTamarack(ctx, "apply", "--title", "declare the fleet", path)
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "apply: exit code %d: %s%s", code, stdout, stderr))
	}
	err = localfleet.Poll(ctx, func() error { return d.checkTicketInEffect(ctx) })
	d.addCheck("ticket in effect on all entry hosts", err == nil, "after %s", time.Since(start).Round(time.Millisecond))
	return err
}

// runLoad sends the requests of the demand and returns their records. Meanwhile it kills an entry host, drains a target
// and starts a maintenance wave.
func (d *demonstration) runLoad(ctx context.Context, seed uint64) ([]loadgen.Record, error) {
	arrivals, err := loadgen.Generate(loadgen.Demand{
		Services: services, MeanRate: 60, BurstFactor: 5, IdleFactor: 0.05, BurstTime: 3 * time.Second,
		Length: loadLength, RunTime: 40 * time.Millisecond, Deadline: 8 * time.Second,
		BatchShare: 0.2, NonIdempotentShare: 0.3, KeyedShare: 0.8, Seed: seed,
	})
	if err != nil {
		return nil, err
	}
	runner := loadgen.NewRunner(loadgen.Options{Entries: d.fleet.CallerURLs(""), Repeat: true})
	group, groupCtx := errgroup.WithContext(ctx)
	var records []loadgen.Record
	group.Go(func() error {
		records = runner.Run(groupCtx, arrivals)
		return nil
	})
	group.Go(func() error { return d.killEntry(groupCtx) })
	group.Go(func() error { return d.drainTarget(groupCtx) })
	group.Go(func() error { return d.startWave(groupCtx) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return records, nil
}

// sleep waits for d or until ctx ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// killEntry kills an entry host of the first data centre and marks its host as not live in the platform's list of
// hosts.
func (d *demonstration) killEntry(ctx context.Context) error {
	if err := sleep(ctx, killAfter); err != nil {
		return err
	}
	e := d.fleet.Entries[0]
	if err := e.Kill(); err != nil {
		return err
	}
	fmt.Fprintln(d.out, "killed", e.ID)
	return d.fleet.SetHostState(structs.HostState{Name: e.Host, DataCentre: e.DataCentre, Incarnation: 1})
}

// checkOutcomes compares the outcomes of the requests with what the targets executed.
func (d *demonstration) checkOutcomes(ctx context.Context, records []loadgen.Record) error {
	summary := loadgen.Summarize(records)
	if err := summary.Print(d.out); err != nil {
		return err
	}
	v, err := loadgen.CheckTargets(ctx, d.fleet.ControlAddresses(), records)
	if err != nil {
		return err
	}
	unanswered := 0
	for _, rec := range records {
		if rec.Arrival.Idempotent && rec.Outcome != structs.OutcomeDone {
			unanswered++
		}
	}
	d.addCheck("non-idempotent executed more than once", v.Doubled == 0, "%d", v.Doubled)
	d.addCheck("reported as not run but executed", v.FalseNotRun == 0, "%d", v.FalseNotRun)
	d.addCheck("response of another request", v.Foreign == 0, "%d", v.Foreign)
	d.addCheck("reported as done but not executed", v.FalseDone == 0, "%d", v.FalseDone)
	d.addCheck("executed for another service", v.WrongService == 0, "%d", v.WrongService)
	d.addCheck("idempotent requests without an answer", unanswered == 0, "%d of %d requests", unanswered, len(records))
	d.addCheck("rejections without Retry-After", summary.MissingRetryAfter == 0, "%d", summary.MissingRetryAfter)
	return d.checkDrain(ctx)
}

// stopFleet ends all processes. An entry host that does not stop gracefully is a wrong outcome.
func (d *demonstration) stopFleet() {
	err := d.fleet.Close()
	result := "yes"
	if err != nil {
		result = err.Error()
	}
	d.addCheck("all processes ended", err == nil && d.fleet.RunningProcesses() == 0, "%s", result)
}

// print prints the table of outcomes. It returns ErrOutcome if any of them is wrong.
func (d *demonstration) print() error {
	wrong := 0
	for _, c := range d.checks {
		verdict := "ok"
		if !c.ok {
			verdict = "WRONG"
			wrong++
		}
		fmt.Fprintf(d.out, "%-45s %-20s %s\n", c.name, c.result, verdict)
	}
	if wrong > 0 {
		return errors.Wrapf(ErrOutcome, "%d of %d", wrong, len(d.checks))
	}
	fmt.Fprintf(d.out, "all %d outcomes right\n", len(d.checks))
	return nil
}
