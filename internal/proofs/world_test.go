package proofs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1/fleetv1connect"
	"github.com/tamarackworks/tamarackworks/internal/localfleet"
	"github.com/tamarackworks/tamarackworks/leader"
	"github.com/tamarackworks/tamarackworks/loadgen"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/platformclient"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// hangLimit ends a stuck wait. It is no part of a verdict.
	hangLimit = 60 * time.Second
	// maxFleets keeps the number of processes at most 40: a fleet has 13.
	maxFleets = 3
	// samplePause is the time between two reads of an observer.
	samplePause = 50 * time.Millisecond
)

var (
	binDir   string
	fleets   = make(chan struct{}, maxFleets)
	services = []string{"match", "reserve"}
)

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarack-proofs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// world is a running fleet with its declared state, and what was observed about it.
type world struct {
	*localfleet.Fleet
	t   *testing.T
	ctx context.Context
	// table reads the store as a data centre of its own, which faults of the others do not touch.
	table *platformclient.Client
	http  *http.Client
	token string
	// lost holds, by host, the executions of targets that were killed since.
	lost map[string][]targetserver.Execution
	// tickets are the numbers of the accepted tickets.
	tickets uint64
}

type option func(*localfleet.Options)

func sizes(entries, targets int) option {
	return func(o *localfleet.Options) { o.EntriesPerDC, o.TargetsPerDC = entries, targets }
}

func lag(d time.Duration) option { return func(o *localfleet.Options) { o.ListLag = d } }

// start runs a fleet of two data centres with two entry hosts and four targets each, and ends it after the test.
func start(t *testing.T, options ...option) *world {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	opts := localfleet.Options{
		BinDir: binDir, Dir: t.TempDir(), DataCentres: []string{"dc1", "dc2"}, EntriesPerDC: 2, TargetsPerDC: 4,
		Services: services, MaxUnavailable: 1, ListLag: 300 * time.Millisecond, RebootTime: time.Second,
	}
	for _, o := range options {
		o(&opts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakTime+5*time.Minute)
	t.Cleanup(cancel)
	fleet, err := localfleet.Start(ctx, opts)
	assert.NilError(t, err)
	w := &world{
		Fleet: fleet, t: t, ctx: ctx,
		table: platformclient.New(platformclient.Options{URL: fleet.PlatformURL, DataCentre: "observer"}), lost: make(map[string][]targetserver.Execution),
	}
	t.Cleanup(w.end)
	w.http, w.token, err = fleet.OperatorHTTPClient()
	assert.NilError(t, err)
	path, err := fleet.WriteDeclarations()
	assert.NilError(t, err)
	w.accept("apply", "--title", "declare the fleet", path)
	w.inEffect()
	w.assigned()
	w.observeVersions()
	return w
}

// assigned waits until the leaders have assigned all hosts and every entry host serves requests.
func (w *world) assigned() {
	w.t.Helper()
	for _, target := range w.Targets {
		w.awaitPool(target, target.Pool)
	}
	w.served()
}

// end stops all processes and shows the errors in their logs after a failure.
func (w *world) end() {
	// An entry host that cannot deregister reports that with its exit code, so the store is healed first.
	var errs []error
	for _, dc := range []string{"", "dc1", "dc2"} {
		errs = append(errs, w.SetPlatformFaults(dc, memory.Faults{}))
	}
	err := errors.Join(append(errs, w.Close())...)
	if w.t.Failed() {
		for _, e := range w.Entries {
			w.t.Logf("%s: %s", e.ID, tail(e.LogPath))
		}
	}
	if err != nil {
		w.t.Errorf("a process did not stop by itself: %v", err)
	}
	if n := w.RunningProcesses(); n != 0 {
		w.t.Errorf("%d processes still run", n)
	}
}

func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-1500):])
}

func (w *world) must(err error) {
	w.t.Helper()
	assert.NilError(w.t, err)
}

// until polls a condition.
func (w *world) until(what string, check func() error) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, hangLimit)
	defer cancel()
	if err := localfleet.Poll(ctx, check); err != nil {
		w.t.Fatalf("%s: %v", what, err)
	}
}

// pass lets faults and load act for a time. No verdict depends on it.
func (w *world) pass(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
		w.t.Fatal(w.ctx.Err())
	}
}

// accept runs the operator command that submits a ticket and counts it as accepted.
func (w *world) accept(args ...string) {
	w.t.Helper()
	w.until(strings.Join(args, " "), func() error {
		stdout, stderr, code, err := w.RunTamarack(w.ctx, append(args, "--output", "json")...)
		if err != nil || code != 0 {
			return fmt.Errorf("exit code %d: %s%s %v", code, stdout, stderr, err)
		}
		var result struct{ Number uint64 }
		if err := json.Unmarshal([]byte(stdout), &result); err != nil {
			return err
		}
		w.tickets = max(w.tickets, result.Number)
		return nil
	})
}

func (w *world) operator(e *localfleet.Entry) fleetv1connect.OperatorServiceClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+w.token)
			return next(ctx, req)
		}
	})
	return fleetv1connect.NewOperatorServiceClient(w.http, "https://"+e.OperatorAddress, connect.WithInterceptors(auth))
}

// version returns the version that an entry host reports about itself.
func (w *world) version(e *localfleet.Entry) (uint64, error) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	// No object is of this kind, so the answer holds only the version.
	list, err := w.operator(e).ListObjects(ctx, connect.NewRequest(&fleetv1.ListObjectsRequest{Kind: string(structs.KindDrain)}))
	if err != nil {
		return 0, err
	}
	return list.Msg.GetVersion(), nil
}

// inEffect waits until all accepted tickets are in effect on every running entry host (P8).
func (w *world) inEffect() {
	w.t.Helper()
	for _, e := range w.Entries {
		if !e.Running() {
			continue
		}
		w.until("tickets in effect on "+e.ID, func() error {
			v, err := w.version(e)
			if err == nil && v < w.tickets {
				err = fmt.Errorf("version %d of %d", v, w.tickets)
			}
			return err
		})
	}
}

// observeVersions reads the version of each entry host until the end of the test. It must never decrease
// within one run of a process (P8).
func (w *world) observeVersions() {
	ctx, cancel := context.WithCancel(w.ctx)
	var group sync.WaitGroup
	for _, e := range w.Entries {
		group.Go(func() {
			var last uint64
			pid := 0
			for ctx.Err() == nil {
				before := e.PID()
				v, err := w.version(e)
				if err == nil && before == e.PID() {
					if pid == before && v < last {
						w.t.Errorf("%s went back from version %d to %d", e.ID, last, v)
					}
					last, pid = v, before
				}
				time.Sleep(samplePause)
			}
			if pid == 0 {
				w.t.Errorf("%s never reported its version", e.ID)
			}
		})
	}
	w.t.Cleanup(func() { cancel(); group.Wait() })
}

// demand is a load in which most requests are keyed and not idempotent.
func demand(seed uint64, length time.Duration) loadgen.Demand {
	return loadgen.Demand{
		Services: services, MeanRate: 40, BurstFactor: 2, IdleFactor: 0.5, BurstTime: 2 * time.Second, Length: length,
		RunTime: 30 * time.Millisecond, Deadline: 20 * time.Second, BatchShare: 0.2,
		NonIdempotentShare: 0.6, KeyedShare: 0.95, Seed: seed,
	}
}

// load sends a demand through the entry hosts in the background. The returned function waits for its end.
func (w *world) load(d loadgen.Demand, opts loadgen.Options) func() []loadgen.Record {
	arrivals, err := loadgen.Generate(d)
	w.must(err)
	if len(opts.Entries) == 0 {
		opts.Entries = w.CallerURLs("")
	}
	var records []loadgen.Record
	done := make(chan struct{})
	go func() {
		defer close(done)
		records = loadgen.NewRunner(opts).Run(w.ctx, arrivals)
	}()
	return func() []loadgen.Record { <-done; return records }
}

func repeat() loadgen.Options { return loadgen.Options{Repeat: true} }

// executions returns what all targets executed.
func (w *world) executions() []targetserver.Execution {
	w.t.Helper()
	var all []targetserver.Execution
	for _, t := range w.Targets {
		all = append(all, w.lost[t.Host]...)
		if !t.Running() {
			continue
		}
		list, err := loadgen.Executions(w.ctx, t.ControlAddress)
		w.must(err)
		all = append(all, list...)
	}
	return all
}

// judge compares the outcomes with the executions: P3, P4 and P5. It returns the number of each outcome.
func (w *world) judge(records []loadgen.Record) loadgen.Summary {
	w.t.Helper()
	summary := loadgen.Summarize(records)
	executions := w.executions()
	v := loadgen.Check(records, executions)
	w.t.Logf("%d requests: %v, codes %v, %+v", summary.Total, summary.Outcomes, summary.Codes, v)
	if v.Total() > 0 {
		w.t.Error("outcomes contradict the executions")
		byID := make(map[string][]targetserver.Execution)
		for _, e := range executions {
			byID[e.Text] = append(byID[e.Text], e)
		}
		for _, r := range records {
			if one := loadgen.Check([]loadgen.Record{r}, byID[r.ID]); one.Total() > 0 {
				w.t.Errorf("%+v: %+v", one, r)
			}
		}
	}
	assert.Equal(w.t, summary.MissingRetryAfter, 0)
	assert.Assert(w.t, summary.Outcomes[structs.OutcomeDone] > 0, "no request was served")
	return summary
}

// allIdempotentDone checks that the faults cost no idempotent request.
func (w *world) allIdempotentDone(records []loadgen.Record) {
	w.t.Helper()
	for _, r := range records {
		if r.Arrival.Idempotent && r.Outcome != structs.OutcomeDone {
			w.t.Errorf("idempotent request ended as %s: status %d, code %s after %d attempts in %s", r.Outcome, r.Status, r.Code, r.Attempts, r.Latency)
		}
	}
}

func (w *world) counters(t *localfleet.Target) targetserver.Counters {
	w.t.Helper()
	var c targetserver.Counters
	resp, err := http.Get("http://" + t.ControlAddress + "/control/counters")
	w.must(err)
	defer resp.Body.Close()
	w.must(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// noAborts checks that no target saw a caller go away during an execution (P7).
func (w *world) noAborts() {
	w.t.Helper()
	for _, t := range w.Targets {
		assert.Equal(w.t, w.counters(t).Aborted, uint64(0), "aborted requests on %s", t.Host)
	}
}

// killTarget ends a target after reading what it executed; requests that arrive meanwhile are held, then broken.
func (w *world) killTarget(t *localfleet.Target) {
	w.t.Helper()
	w.must(t.SetFaults(targetserver.Faults{Freeze: true}))
	w.until("running requests on "+t.Host, func() error {
		list, err := loadgen.Executions(w.ctx, t.ControlAddress)
		if err != nil {
			return err
		}
		for _, e := range list {
			if e.Finished.IsZero() {
				return fmt.Errorf("%s still runs", e.RequestID)
			}
		}
		w.lost[t.Host] = append(w.lost[t.Host], list...)
		return nil
	})
	w.must(t.Kill())
}

func (w *world) leader(dc string) leader.Record {
	var record leader.Record
	w.until("leader of "+dc, func() error {
		row, err := w.table.Get(w.ctx, leader.LeaseKey(dc))
		if err != nil {
			return err
		}
		return json.Unmarshal(row.Value, &record)
	})
	return record
}

func (w *world) entry(id string) *localfleet.Entry {
	for _, e := range w.Entries {
		if e.ID == id {
			return e
		}
	}
	w.t.Fatalf("no entry host %s", id)
	return nil
}

func (w *world) target(host string) *localfleet.Target {
	for _, t := range w.Targets {
		if t.Host == host {
			return t
		}
	}
	w.t.Fatalf("no target %s", host)
	return nil
}

func (w *world) assignment(t *localfleet.Target) (structs.Assignment, error) {
	var a structs.Assignment
	row, err := w.table.Get(w.ctx, "assign/"+t.DataCentre+"/"+t.Host)
	if err == nil {
		err = json.Unmarshal(row.Value, &a)
	}
	return a, err
}

// platformFaults sets the faults that all data centres or one of them see.
func (w *world) platformFaults(dc string, f memory.Faults) {
	w.t.Helper()
	w.must(w.SetPlatformFaults(dc, f))
}

// restart starts an entry host again and waits until it is ready.
func (w *world) restart(e *localfleet.Entry) {
	w.t.Helper()
	w.must(e.Start())
	ctx, cancel := context.WithTimeout(w.ctx, hangLimit)
	defer cancel()
	w.must(w.WaitReady(ctx, e))
}
