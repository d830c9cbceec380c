// Package demo runs the demonstration of `make demo`.
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

// ErrOutcome means that at least one outcome was wrong.
var ErrOutcome = errors.New("demo: wrong outcome")

// Args is the command line of tamarack-demo.
type Args struct {
	BinDir string `arg:"--bin-dir" help:"directory of the programs; default: that of this program"`
	Keep   bool   `arg:"--keep" help:"keep the directory with settings and logs"`
	Seed   uint64 `arg:"--seed" default:"1"`
}

const (
	// limit bounds the whole demonstration.
	limit = 55 * time.Second
	// loadTime is how long requests arrive.
	loadTime = 12 * time.Second
	// killAfter is when the entry host is killed under load.
	killAfter = 4 * time.Second
	// drainAfter is when a target is drained under load.
	drainAfter = 5 * time.Second
	// drainBound is how long after the ticket a draining target may still receive new work.
	drainBound = 3 * time.Second
	jobCount   = 4
	// jobRunTime is the real run time of each long job.
	jobRunTime = 3 * time.Second
)

var services = []string{"match", "reserve"}

// run is the state of one demonstration.
type run struct {
	fleet  *localfleet.Fleet
	out    io.Writer
	checks []check
	drain  drainResult
}

// check is one line of the outcome table.
type check struct {
	name   string
	result string
	ok     bool
}

// Run runs the demonstration and prints its table. It ends every process that it started.
func Run(ctx context.Context, args Args, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	r := &run{fleet: fleet, out: out}
	err = r.steps(ctx, args.Seed)
	r.stop()
	printed := r.print()
	if err == nil && printed == nil && !args.Keep {
		return os.RemoveAll(dir)
	}
	return errors.Join(err, printed)
}

func (r *run) steps(ctx context.Context, seed uint64) error {
	if err := r.applyTicket(ctx); err != nil {
		return err
	}
	jobs, err := r.submitJobs(ctx)
	if err != nil {
		return err
	}
	records, err := r.loadAndKill(ctx, seed)
	if err != nil {
		return err
	}
	if err := r.judge(ctx, records); err != nil {
		return err
	}
	if err := r.judgeWave(ctx); err != nil {
		return err
	}
	return r.awaitJobs(ctx, jobs)
}

func (r *run) add(name string, ok bool, format string, args ...any) {
	r.checks = append(r.checks, check{name: name, ok: ok, result: fmt.Sprintf(format, args...)})
}

// applyTicket declares the fleet and waits until the ticket is in effect on all entry hosts.
func (r *run) applyTicket(ctx context.Context) error {
	path, err := r.fleet.WriteDeclarations()
	if err != nil {
		return err
	}
	start := time.Now()
	stdout, stderr, code, err := r.fleet.RunTamarack(ctx, "apply", "--title", "declare the fleet", path)
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "apply: exit code %d: %s%s", code, stdout, stderr))
	}
	err = localfleet.Poll(ctx, func() error { return r.ticketInEffect(ctx) })
	r.add("ticket in effect on all entry hosts", err == nil, "after %s", time.Since(start).Round(time.Millisecond))
	return err
}

// loadAndKill sends the demand; meanwhile it kills one entry host and drains one target.
func (r *run) loadAndKill(ctx context.Context, seed uint64) ([]loadgen.Record, error) {
	arrivals, err := loadgen.Generate(loadgen.Demand{
		Services: services, MeanRate: 60, BurstFactor: 5, IdleFactor: 0.05, BurstTime: 3 * time.Second,
		Length: loadTime, RunTime: 40 * time.Millisecond, Deadline: 8 * time.Second,
		BatchShare: 0.2, NonIdempotentShare: 0.3, KeyedShare: 0.8, Seed: seed,
	})
	if err != nil {
		return nil, err
	}
	runner := loadgen.NewRunner(loadgen.Options{Entries: r.fleet.CallerURLs(""), Repeat: true})
	group, groupCtx := errgroup.WithContext(ctx)
	var records []loadgen.Record
	group.Go(func() error {
		records = runner.Run(groupCtx, arrivals)
		return nil
	})
	group.Go(func() error { return r.killEntry(groupCtx) })
	group.Go(func() error { return r.drainTarget(groupCtx) })
	group.Go(func() error { return r.startWave(groupCtx) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return records, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// killEntry kills one entry host of the first data centre and reports its machine as gone.
func (r *run) killEntry(ctx context.Context) error {
	if err := sleep(ctx, killAfter); err != nil {
		return err
	}
	e := r.fleet.Entries[0]
	if err := e.Kill(); err != nil {
		return err
	}
	fmt.Fprintln(r.out, "killed", e.ID)
	return r.fleet.SetHostState(structs.HostState{Name: e.Host, DataCentre: e.DataCentre, Incarnation: 1})
}

// judge compares the records with what the targets executed.
func (r *run) judge(ctx context.Context, records []loadgen.Record) error {
	summary := loadgen.Summarize(records)
	if err := summary.Print(r.out); err != nil {
		return err
	}
	v, err := loadgen.CheckTargets(ctx, r.fleet.ControlAddresses(), records)
	if err != nil {
		return err
	}
	lost := 0
	for _, rec := range records {
		if rec.Arrival.Idempotent && rec.Outcome != structs.OutcomeDone {
			lost++
		}
	}
	r.add("non-idempotent executed more than once", v.Doubled == 0, "%d", v.Doubled)
	r.add("reported as not run but executed", v.FalseNotRun == 0, "%d", v.FalseNotRun)
	r.add("response of another request", v.Foreign == 0, "%d", v.Foreign)
	r.add("reported as done but not executed", v.FalseDone == 0, "%d", v.FalseDone)
	r.add("executed for another service", v.WrongService == 0, "%d", v.WrongService)
	r.add("idempotent requests without an answer", lost == 0, "%d of %d requests", lost, len(records))
	r.add("rejections without Retry-After", summary.MissingRetryAfter == 0, "%d", summary.MissingRetryAfter)
	return r.judgeDrain(ctx)
}

// stop ends all processes; an entry host that does not stop by itself is a wrong outcome.
func (r *run) stop() {
	err := r.fleet.Close()
	result := "yes"
	if err != nil {
		result = err.Error()
	}
	r.add("all processes ended", err == nil && r.fleet.RunningProcesses() == 0, "%s", result)
}

func (r *run) print() error {
	wrong := 0
	for _, c := range r.checks {
		verdict := "ok"
		if !c.ok {
			verdict = "WRONG"
			wrong++
		}
		fmt.Fprintf(r.out, "%-45s %-20s %s\n", c.name, c.result, verdict)
	}
	if wrong > 0 {
		return errors.Wrapf(ErrOutcome, "%d of %d", wrong, len(r.checks))
	}
	fmt.Fprintf(r.out, "all %d outcomes right\n", len(r.checks))
	return nil
}
