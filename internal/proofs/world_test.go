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
	// waitTimeout ends a wait that hangs. No assertion depends on its length.
	waitTimeout = 60 * time.Second
	// maxFleets bounds the fleets that run at the same time, so that at most 40 processes run: a fleet has 13.
	maxFleets = 3
	// sampleInterval is the time between two reads of an observer.
	sampleInterval = 50 * time.Millisecond
)

var (
	// binDir holds the programs that TestMain builds.
	binDir string
	// fleetSlots has an element for each running fleet.
	fleetSlots = make(chan struct{}, maxFleets)
	services   = []string{"match", "reserve"}
)

// TestMain builds the programs once for all tests.
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

// testFleet is a running fleet of a test, with what the test knows about it.
type testFleet struct {
	*localfleet.Fleet
	t   *testing.T
	ctx context.Context
	// table reads the store as a data centre of its own, so that the faults of the others do not affect it.
	table      *platformclient.Client
	httpClient *http.Client
	token      string
	// executionsBeforeKill holds the executions of killed target processes, by host.
	executionsBeforeKill map[string][]targetserver.Execution
	// lastTicket is the largest number of an accepted ticket.
	lastTicket uint64
}

type fleetOption func(*localfleet.Options)

func withSizes(entries, targets int) fleetOption {
	return func(o *localfleet.Options) { o.EntriesPerDC, o.TargetsPerDC = entries, targets }
}

func withListLag(d time.Duration) fleetOption { return func(o *localfleet.Options) { o.ListLag = d } }

// startFleet starts a fleet, by default of two data centres with two entry hosts and four targets each, declares its
// objects and waits until it serves requests. The fleet ends with the test.
func startFleet(t *testing.T, options ...fleetOption) *testFleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
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
	tf := &testFleet{
		Fleet: fleet, t: t, ctx: ctx,
		table: platformclient.New(platformclient.Options{URL: fleet.PlatformURL, DataCentre: "observer"}), executionsBeforeKill: make(map[string][]targetserver.Execution),
	}
	t.Cleanup(tf.shutDown)
	tf.httpClient, tf.token, err = fleet.OperatorHTTPClient()
	assert.NilError(t, err)
	path, err := fleet.WriteDeclarations()
	assert.NilError(t, err)
	tf.submitByCommand("apply", "--title", "declare the fleet", path)
	tf.awaitTicketsInEffect()
	tf.awaitAssignments()
	tf.observeVersions()
	return tf
}

// awaitAssignments waits until the leaders have assigned all hosts to their home pools and every entry host serves
// keyed requests.
func (tf *testFleet) awaitAssignments() {
	tf.t.Helper()
	for _, target := range tf.Targets {
		tf.awaitActive(target, target.Pool)
	}
	tf.awaitKeyedService()
}

// shutDown stops all processes. After a failure it logs the end of the log of each entry host.
func (tf *testFleet) shutDown() {
	// An entry host that cannot deregister exits with an error, so the faults of the store end first.
	var errs []error
	for _, dc := range []string{"", "dc1", "dc2"} {
		errs = append(errs, tf.SetPlatformFaults(dc, memory.Faults{}))
	}
	err := errors.Join(append(errs, tf.Close())...)
	if tf.t.Failed() {
		for _, e := range tf.Entries {
			tf.t.Logf("%s: %s", e.ID, logTail(e.LogPath))
		}
	}
	if err != nil {
		tf.t.Errorf("a process failed or did not stop gracefully: %v", err)
	}
	if n := tf.RunningProcesses(); n != 0 {
		tf.t.Errorf("%d processes are still running", n)
	}
}

// logTail returns the last 1500 bytes of a file.
func logTail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-1500):])
}

// must ends the test if err is not nil.
func (tf *testFleet) must(err error) {
	tf.t.Helper()
	assert.NilError(tf.t, err)
}

// waitFor polls check until it returns nil. It ends the test after waitTimeout.
func (tf *testFleet) waitFor(what string, check func() error) {
	tf.t.Helper()
	ctx, cancel := context.WithTimeout(tf.ctx, waitTimeout)
	defer cancel()
	if err := localfleet.Poll(ctx, check); err != nil {
		tf.t.Fatalf("%s: %v", what, err)
	}
}

// sleep lets faults and load act for a time. No assertion depends on its length.
func (tf *testFleet) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-tf.ctx.Done():
		tf.t.Fatal(tf.ctx.Err())
	}
}

// submitByCommand runs an operator command that submits a ticket, and repeats it until the ticket is accepted.
func (tf *testFleet) submitByCommand(args ...string) {
	tf.t.Helper()
	tf.waitFor(strings.Join(args, " "), func() error {
		stdout, stderr, code, err := tf.RunTamarack(tf.ctx, append(args, "--output", "json")...)
		if err != nil || code != 0 {
			return fmt.Errorf("exit code %d: %s%s %v", code, stdout, stderr, err)
		}
		var result struct{ Number uint64 }
		if err := json.Unmarshal([]byte(stdout), &result); err != nil {
			return err
		}
		tf.lastTicket = max(tf.lastTicket, result.Number)
		return nil
	})
}

// operatorClientOf returns a client of the operator API of one entry host.
func (tf *testFleet) operatorClientOf(e *localfleet.Entry) fleetv1connect.OperatorServiceClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+tf.token)
			return next(ctx, req)
		}
	})
	return fleetv1connect.NewOperatorServiceClient(tf.httpClient, "https://"+e.OperatorAddress, connect.WithInterceptors(auth))
}

// version returns the fleet version that is in effect on an entry host.
func (tf *testFleet) version(e *localfleet.Entry) (uint64, error) {
	ctx, cancel := context.WithTimeout(tf.ctx, time.Second)
	defer cancel()
	// Hardly any object is of this kind, so the response holds little besides the version.
	list, err := tf.operatorClientOf(e).ListObjects(ctx, connect.NewRequest(&fleetv1.ListObjectsRequest{Kind: string(structs.KindDrain)}))
	if err != nil {
		return 0, err
	}
	return list.Msg.GetVersion(), nil
}

// awaitTicketsInEffect waits until all accepted tickets are in effect on every running entry host (P8).
func (tf *testFleet) awaitTicketsInEffect() {
	tf.t.Helper()
	for _, e := range tf.Entries {
		if !e.Running() {
			continue
		}
		tf.waitFor("tickets in effect on "+e.ID, func() error {
			v, err := tf.version(e)
			if err == nil && v < tf.lastTicket {
				err = fmt.Errorf("version %d of %d", v, tf.lastTicket)
			}
			return err
		})
	}
}

// observeVersions reads the fleet version of each entry host until the end of the test, and fails the test if it
// decreases during one run of a process (P8).
func (tf *testFleet) observeVersions() {
	ctx, cancel := context.WithCancel(tf.ctx)
	var group sync.WaitGroup
	for _, e := range tf.Entries {
		group.Go(func() {
			var last uint64
			pid := 0
			for ctx.Err() == nil {
				before := e.PID()
				v, err := tf.version(e)
				if err == nil && before == e.PID() {
					if pid == before && v < last {
						tf.t.Errorf("version of %s decreased from %d to %d", e.ID, last, v)
					}
					last, pid = v, before
				}
				time.Sleep(sampleInterval)
			}
			if pid == 0 {
				tf.t.Errorf("%s never reported its version", e.ID)
			}
		})
	}
	tf.t.Cleanup(func() { cancel(); group.Wait() })
}

// mostlyKeyedDemand returns a demand in which most requests are non-idempotent and carry an idempotency key.
func mostlyKeyedDemand(seed uint64, length time.Duration) loadgen.Demand {
	return loadgen.Demand{
		Services: services, MeanRate: 40, BurstFactor: 2, IdleFactor: 0.5, BurstTime: 2 * time.Second, Length: length,
		RunTime: 30 * time.Millisecond, Deadline: 20 * time.Second, BatchShare: 0.2,
		NonIdempotentShare: 0.6, KeyedShare: 0.95, Seed: seed,
	}
}

// startLoad sends a demand through the entry hosts in the background. The returned function waits for the end of the
// load and returns the records of its requests.
func (tf *testFleet) startLoad(d loadgen.Demand, opts loadgen.Options) func() []loadgen.Record {
	arrivals, err := loadgen.Generate(d)
	tf.must(err)
	if len(opts.Entries) == 0 {
		opts.Entries = tf.CallerURLs("")
	}
	var records []loadgen.Record
	done := make(chan struct{})
	go func() {
		defer close(done)
		records = loadgen.NewRunner(opts).Run(tf.ctx, arrivals)
	}()
	return func() []loadgen.Record { <-done; return records }
}

// withRepeats lets callers repeat rejected and broken requests that may be repeated.
func withRepeats() loadgen.Options { return loadgen.Options{Repeat: true} }

// executions returns the executions of all targets, including those of killed processes.
func (tf *testFleet) executions() []targetserver.Execution {
	tf.t.Helper()
	var all []targetserver.Execution
	for _, t := range tf.Targets {
		all = append(all, tf.executionsBeforeKill[t.Host]...)
		if !t.Running() {
			continue
		}
		list, err := loadgen.Executions(tf.ctx, t.ControlAddress)
		tf.must(err)
		all = append(all, list...)
	}
	return all
}

// checkOutcomes compares the outcomes of the requests with the executions on the targets (P3, P4, P5), and returns a
// summary of the outcomes.
func (tf *testFleet) checkOutcomes(records []loadgen.Record) loadgen.Summary {
	tf.t.Helper()
	summary := loadgen.Summarize(records)
	executions := tf.executions()
	v := loadgen.Check(records, executions)
	tf.t.Logf("%d requests: %v, codes %v, %+v", summary.Total, summary.Outcomes, summary.Codes, v)
	if v.Total() > 0 {
		tf.t.Error("outcomes contradict the executions")
		byID := make(map[string][]targetserver.Execution)
		for _, e := range executions {
			byID[e.Text] = append(byID[e.Text], e)
		}
		for _, r := range records {
			if one := loadgen.Check([]loadgen.Record{r}, byID[r.ID]); one.Total() > 0 {
				tf.t.Errorf("%+v: %+v", one, r)
			}
		}
	}
	assert.Equal(tf.t, summary.MissingRetryAfter, 0)
	assert.Assert(tf.t, summary.Outcomes[structs.OutcomeDone] > 0, "no request was served")
	return summary
}

// assertIdempotentDone checks that every idempotent request was done in spite of the faults.
func (tf *testFleet) assertIdempotentDone(records []loadgen.Record) {
	tf.t.Helper()
	for _, r := range records {
		if r.Arrival.Idempotent && r.Outcome != structs.OutcomeDone {
			tf.t.Errorf("idempotent request ended as %s: status %d, code %s after %d attempts in %s", r.Outcome, r.Status, r.Code, r.Attempts, r.Latency)
		}
	}
}

// counters reads the counters of a target.
func (tf *testFleet) counters(t *localfleet.Target) targetserver.Counters {
	tf.t.Helper()
	var c targetserver.Counters
	resp, err := http.Get("http://" + t.ControlAddress + "/control/counters")
	tf.must(err)
	defer resp.Body.Close()
	tf.must(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// assertNoAborts checks that no target had a request aborted by its sender during the execution (P7).
func (tf *testFleet) assertNoAborts() {
	tf.t.Helper()
	for _, t := range tf.Targets {
		assert.Equal(tf.t, tf.counters(t).Aborted, uint64(0), "aborted requests on %s", t.Host)
	}
}

// killTarget kills a target when its running requests have finished, and keeps its executions for later checks.
// Requests that arrive meanwhile are held by the fault Freeze and break with the kill.
func (tf *testFleet) killTarget(t *localfleet.Target) {
	tf.t.Helper()
	tf.must(t.SetFaults(targetserver.Faults{Freeze: true}))
	tf.waitFor("end of the running requests on "+t.Host, func() error {
		list, err := loadgen.Executions(tf.ctx, t.ControlAddress)
		if err != nil {
			return err
		}
		for _, e := range list {
			if e.Finished.IsZero() {
				return fmt.Errorf("request %s is still running", e.RequestID)
			}
		}
		tf.executionsBeforeKill[t.Host] = append(tf.executionsBeforeKill[t.Host], list...)
		return nil
	})
	tf.must(t.Kill())
}

// leader returns the record of the current leader of a data centre from the store. After a resignation it waits for the next leader.
func (tf *testFleet) leader(dc string) leader.Record {
	var record leader.Record
	tf.waitFor("leader of "+dc, func() error {
		row, err := tf.table.Get(tf.ctx, leader.LeaseKey(dc))
		if err != nil {
			return err
		}
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return err
		}
		if record.Holder == "" {
			return errors.New("the leader has resigned")
		}
		return nil
	})
	return record
}

func (tf *testFleet) entry(id string) *localfleet.Entry {
	for _, e := range tf.Entries {
		if e.ID == id {
			return e
		}
	}
	tf.t.Fatalf("entry host %s does not exist", id)
	return nil
}

func (tf *testFleet) target(host string) *localfleet.Target {
	for _, t := range tf.Targets {
		if t.Host == host {
			return t
		}
	}
	tf.t.Fatalf("target of host %s does not exist", host)
	return nil
}

// assignment reads the assignment of a target's host from the store.
func (tf *testFleet) assignment(t *localfleet.Target) (structs.Assignment, error) {
	var a structs.Assignment
	row, err := tf.table.Get(tf.ctx, "assign/"+t.DataCentre+"/"+t.Host)
	if err == nil {
		err = json.Unmarshal(row.Value, &a)
	}
	return a, err
}

// setPlatformFaults sets the faults that one data centre sees of the platform, or all data centres if dc is empty.
func (tf *testFleet) setPlatformFaults(dc string, f memory.Faults) {
	tf.t.Helper()
	tf.must(tf.SetPlatformFaults(dc, f))
}

// restart starts an entry host again and waits until it is ready.
func (tf *testFleet) restart(e *localfleet.Entry) {
	tf.t.Helper()
	tf.must(e.Start())
	ctx, cancel := context.WithTimeout(tf.ctx, waitTimeout)
	defer cancel()
	tf.must(tf.WaitReady(ctx, e))
}
